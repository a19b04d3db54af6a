//! Access to the log through another member while the log service cannot be reached.

use std::net::SocketAddr;
use std::sync::Arc;

use acaciaring_core::Time;
use acaciaring_schema::peer::{Append, Records, call, reply};

use crate::appender::{self, AppendOutcome};
use crate::clock;
use crate::peer::Transport;
use crate::reader;
use crate::view::{Shared, View, peer_address};
use crate::wire;

/// Returns the functions that read and append through another live member.
pub(super) fn relays(
    shared: &Arc<Shared>,
    transport: &Transport,
) -> (reader::Relay, appender::Relay) {
    (read_relay(shared, transport), append_relay(shared, transport))
}

/// Returns a function that appends a record through another live member.
fn append_relay(shared: &Arc<Shared>, transport: &Transport) -> appender::Relay {
    let (shared, transport) = (Arc::clone(shared), transport.clone());
    Box::new(move |record| {
        let Some(to) = shared.view().relay_address(clock::now()) else {
            return AppendOutcome::NotAppended;
        };
        let append = call::Body::Append(Append { record: record.to_vec() });
        match transport.blocking_call(to, append, wire::CALL_TIMEOUT) {
            Ok(reply::Body::Appended(appended)) if appended.offset > 0 => {
                AppendOutcome::Appended(appended.offset)
            }
            Ok(reply::Body::Done(_)) => AppendOutcome::NotAppended,
            Err(error) if !error.may_have_run() => AppendOutcome::NotAppended,
            Ok(_) | Err(_) => AppendOutcome::Unknown,
        }
    })
}

/// Returns a function that reads records from another live member.
fn read_relay(shared: &Arc<Shared>, transport: &Transport) -> reader::Relay {
    let (shared, transport) = (Arc::clone(shared), transport.clone());
    Box::new(move |from, max| {
        let to = shared.view().relay_address(clock::now())?;
        let records = call::Body::Records(Records { from, max });
        match transport.blocking_call(to, records, wire::CALL_TIMEOUT) {
            Ok(reply::Body::Records(batch)) if !batch.entries.is_empty() => Some(batch),
            _ => None,
        }
    })
}

impl View {
    /// Returns the address of another live member; the choice rotates with time.
    fn relay_address(&self, now: Time) -> Option<SocketAddr> {
        let others: Vec<SocketAddr> = self
            .state
            .members()
            .filter(|member| member.alive() && Some(member.id) != self.me)
            .filter_map(peer_address)
            .collect();
        let index = usize::try_from(now.since_start().as_millis() / 100).unwrap_or(0);
        others.get(index % others.len().max(1)).copied()
    }
}
