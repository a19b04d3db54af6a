//! Records from other members, when they are ahead of what the log service has told this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::{Offset, Time};
use acaciaring_schema::peer::{DeclarationQuery, Records, call, reply};
use tracing::debug;

use super::{Control, Event};
use crate::wire;

/// Time for which the log service itself may bring the records, beyond the rest between two reads.
const LOG_GRACE: Duration = Duration::from_millis(300);

/// Time between two questions for the declared configuration.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Records asked for at once.
const MAX_RECORDS: u32 = 512;

impl Control {
    /// Has the log read up to a record that a message of another member depends on.
    ///
    /// Without it what the message brings would wait for the pace of the reads.
    pub(super) fn require_record(&self, record: Offset) {
        if record >= self.state.next() {
            self.context.read_pacer.request_before(record.saturating_add(1));
        }
    }

    /// Asks a member for records that it has folded and this one has not.
    ///
    /// Guards against a read of the log that has gone silent while another one
    /// works: configuration would come into force here only after its time-out.
    /// Records carry their offsets, so a gap is seen and never skipped.
    pub(super) fn catch_up(&mut self, now: Time, from: SocketAddr, applied: Offset) {
        let next = self.state.next();
        let grace = LOG_GRACE + self.context.read_pacer.interval();
        let quiet = now.since(self.progress.last_folded) >= grace
            && now.since(self.progress.last_queried) >= LOG_GRACE;
        if applied <= next || !quiet {
            return;
        }
        self.progress.last_queried = now;
        debug!(%from, applied, next, "another member is ahead, asking it for records");
        let events = self.context.events.clone();
        let done = move |reply: Option<reply::Body>| {
            let Some(reply::Body::Records(batch)) = reply else { return };
            if batch.entries.is_empty() {
                return;
            }
            // Control may have ended in the meantime.
            let _ = events.send(Event::Relayed(batch));
        };
        let records = call::Body::Records(Records { from: next.max(1), max: MAX_RECORDS });
        self.context.outbox.call(from, records, wire::CALL, Box::new(done));
    }

    /// Asks a member for a configuration that it has and this one has not.
    ///
    /// Guards against a member that cannot read where the configuration is declared while
    /// others can: it would go on by an old one.
    pub(super) fn fetch_declaration(&mut self, now: Time, from: SocketAddr, version: u64) {
        let declarations = &self.context.declarations;
        if version <= declarations.version() || now.since(self.config_queried) < QUERY_INTERVAL {
            return;
        }
        self.config_queried = now;
        debug!(%from, version, "another member has a newer configuration, asking it");
        let declarations = Arc::clone(declarations);
        let done = move |reply: Option<reply::Body>| {
            let Some(reply::Body::Declaration(declaration)) = reply else { return };
            if declaration.version > 0 {
                declarations.offer(&declaration.content, "member");
            }
        };
        let query = call::Body::Declaration(DeclarationQuery {});
        self.context.outbox.call(from, query, wire::CALL, Box::new(done));
    }
}
