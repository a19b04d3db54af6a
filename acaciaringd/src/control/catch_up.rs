//! Catch-up from members that are ahead of this one: log records and declarations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::{Offset, Time};
use acaciaring_schema::peer::{DeclarationQuery, Records, call, reply};
use tracing::debug;

use super::{Control, Event};
use crate::declared::KnownVersions;
use crate::wire;

/// Time granted to the log service to deliver records, in addition to the read interval.
const LOG_GRACE: Duration = Duration::from_millis(300);

/// Least time between two requests for the declarations.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of records per request.
const MAX_RECORDS: u32 = 512;

impl Control {
    /// Requests a log read up to the record that a message of another member depends on.
    ///
    /// Without it the message would take effect only after the next paced read.
    pub(super) fn require_record(&self, record: Offset) {
        if record >= self.state.next() {
            self.context.read_scheduler.request_before(record.saturating_add(1));
        }
    }

    /// Requests records from a member that has folded more than this one.
    ///
    /// Guards against a stalled read of the log: records would be folded only after its timeout.
    /// Records carry their offsets, so a gap is detected and never skipped.
    pub(super) fn catch_up(&mut self, now: Time, from: SocketAddr, applied: Offset) {
        let next = self.replica.position();
        let grace = LOG_GRACE + self.context.read_scheduler.interval();
        let quiet = now.since(self.progress.last_folded) >= grace
            && now.since(self.progress.last_queried) >= LOG_GRACE;
        if applied <= next || !quiet {
            return;
        }
        debug!(%from, applied, next, "another member is ahead in the log, requesting records");
        self.fetch_records(now, from, next);
    }

    /// Requests records from another member, from an offset on.
    pub(super) fn fetch_records(&mut self, now: Time, from: SocketAddr, next: Offset) {
        self.progress.last_queried = now;
        let events = self.context.events.clone();
        let done = move |reply: Option<reply::Body>| {
            let Some(reply::Body::Records(batch)) = reply else { return };
            if batch.entries.is_empty() {
                return;
            }
            // The control thread may have ended.
            let _ = events.send(Event::Relayed(batch));
        };
        let records = call::Body::Records(Records { from: next.max(1), max: MAX_RECORDS });
        self.context.outbox.call(from, records, wire::CALL_TIMEOUT, Box::new(done));
    }

    /// Requests the declarations from a member that knows newer ones.
    ///
    /// Guards against a stale configuration, or an evacuation that is not noticed, when this member
    /// cannot read the source and others can.
    pub(super) fn fetch_declaration(&mut self, now: Time, from: SocketAddr, known: KnownVersions) {
        let declarations = &self.context.declarations;
        let newer = known.exceeds(declarations.known());
        if !newer || now.since(self.config_queried) < QUERY_INTERVAL {
            return;
        }
        self.config_queried = now;
        debug!(%from, ?known, "another member has newer declarations, requesting them");
        let declarations = Arc::clone(declarations);
        let done = move |reply: Option<reply::Body>| {
            let Some(reply::Body::Declaration(declaration)) = reply else { return };
            declarations.receive(&declaration);
        };
        let query = call::Body::Declaration(DeclarationQuery {});
        self.context.outbox.call(from, query, wire::CALL_TIMEOUT, Box::new(done));
    }
}
