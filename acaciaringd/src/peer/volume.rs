//! Bytes of messages between members, by kind and direction.

use std::fmt::{self, Display, Formatter};
use std::sync::atomic::{AtomicU64, Ordering};

use acaciaring_schema::peer::{call, reply};

const KINDS: usize = 5;

/// Kind of a message between members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Request with its body.
    Request,
    /// Answer to a request with its body.
    Answer,
    /// Records of the log, and declarations.
    Records,
    /// Leases, loads, probes and all other messages.
    Control,
    /// Handshakes of connections, as counted by QUIC.
    Handshake,
}

impl Kind {
    pub(super) const fn of_call(call: Option<&call::Body>) -> Self {
        match call {
            Some(call::Body::Request(_)) => Self::Request,
            Some(call::Body::Feed(_)) => Self::Records,
            _ => Self::Control,
        }
    }

    pub(super) const fn of_reply(reply: Option<&reply::Body>) -> Self {
        match reply {
            Some(reply::Body::Answer(_) | reply::Body::Fetch(_)) => Self::Answer,
            Some(reply::Body::Records(_) | reply::Body::Declaration(_)) => Self::Records,
            _ => Self::Control,
        }
    }
}

/// Counters of the bytes sent and received.
#[derive(Debug, Default)]
pub(super) struct Volume {
    sent: [AtomicU64; KINDS],
    received: [AtomicU64; KINDS],
}

impl Volume {
    pub(super) fn sent(&self, kind: Kind, bytes: usize) {
        self.sent[kind as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn received(&self, kind: Kind, bytes: usize) {
        self.received[kind as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn totals(&self) -> Volumes {
        let load = |counters: &[AtomicU64; KINDS]| {
            std::array::from_fn(|kind| counters[kind].load(Ordering::Relaxed))
        };
        Volumes { sent: load(&self.sent), received: load(&self.received) }
    }
}

/// Bytes sent and received by kind, as of one moment or within a span.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Volumes {
    sent: [u64; KINDS],
    received: [u64; KINDS],
}

impl Volumes {
    /// Returns the bytes since an earlier moment.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let span = |now: &[u64; KINDS], then: &[u64; KINDS]| {
            std::array::from_fn(|kind| now[kind].saturating_sub(then[kind]))
        };
        Self {
            sent: span(&self.sent, &earlier.sent),
            received: span(&self.received, &earlier.received),
        }
    }
}

impl Display for Volumes {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        for (direction, [request, answer, records, control, handshake]) in
            [("sent", self.sent), ("received", self.received)]
        {
            write!(
                out,
                "{direction} request={request} answer={answer} records={records} \
                 control={control} handshake={handshake} "
            )?;
        }
        Ok(())
    }
}
