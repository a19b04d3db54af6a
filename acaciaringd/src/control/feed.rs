//! Log records that members pass on to each other, so that few of them read the log service.

use std::sync::atomic::Ordering;
use std::time::Duration;

use acaciaring_core::fanout::{Fanout, ReadMode};
use acaciaring_core::{Generation, MemberId, Offset, Time};
use acaciaring_schema::log::{Batch, Record};
use acaciaring_schema::peer::{Feed, call};
use prost::Message;
use tracing::{debug, warn};

use super::Control;
use crate::declared::KnownVersions;
use crate::reader::Origin;
use crate::view::peer_address;
use crate::wire;

impl Control {
    /// Recomputes from whom this member gets records and to whom it passes them on.
    pub(super) fn update_fanout(&mut self, now: Time) {
        self.fanout = match &self.identity {
            Some(identity) => Fanout::new(identity.me, &self.state),
            None => Fanout::default(),
        };
        self.context.shared.readers.store(self.fanout.readers, Ordering::Release);
        self.update_read_mode(now);
    }

    /// Updates whether this member reads the log service.
    pub(super) fn update_read_mode(&mut self, now: Time) {
        let leased = self.identity.as_ref().is_some_and(|identity| identity.holder.holds(now));
        let max_age = self.fanout.max_age(self.context.lease.interval);
        let stale = self.freshness.is_stale(now, max_age);
        // Until a generation of the log has begun there is nothing to pass on.
        let open = self.replica.is_open();
        let mode = if open { self.fanout.mode(leased, stale) } else { ReadMode::Paced };
        if mode == self.read_mode {
            return;
        }
        debug!(?mode, "records of the log now reach this member in another way");
        self.read_mode = mode;
        self.context.shared.passed.store(mode == ReadMode::Passed, Ordering::Release);
        self.context.read_scheduler.set_mode(mode);
    }

    /// Passes on records that end at the position of this member, and the versions of its declarations.
    pub(super) fn pass_on(&self, now: Time, entries: Vec<Vec<u8>>) {
        let Some(identity) = &self.identity else { return };
        if self.fanout.children.is_empty() || !identity.holder.holds(now) {
            return;
        }
        let next = self.replica.position();
        let start = next.saturating_sub(entries.len() as u64);
        let known = self.context.declarations.known();
        let generation = self.replica.generation().0;
        let feed = Feed {
            member: identity.me.0,
            records: Some(Batch { oldest: start, next, start, entries, generation }),
            declared: known.config,
            age: self.log_age(now),
            evacuation: known.evacuation,
        };
        for child in &self.fanout.children {
            let Some(to) = self.state.member(*child).and_then(peer_address) else { continue };
            let body = call::Body::Feed(feed.clone());
            self.context.outbox.call(to, body, wire::CALL_TIMEOUT, Box::new(|_| {}));
        }
    }

    /// Handles records that another member passes on.
    pub(super) fn on_feed(&mut self, now: Time, feed: Feed) {
        let member = MemberId(feed.member);
        let Some(from) = self.state.member(member).and_then(peer_address) else {
            debug!(%member, "an unknown member passes records on, ignoring them");
            return;
        };
        let known = KnownVersions { config: feed.declared, evacuation: feed.evacuation };
        self.fetch_declaration(now, from, known);
        if let Some(batch) = &feed.records {
            self.hear_generation(now, from, Generation(batch.generation));
        }
        let position = self.replica.position();
        let Some(batch) = feed.records.filter(|_| self.progress.caught_up) else { return };
        if batch.generation != self.replica.generation().0 {
            return debug!(%member, "records passed on are of an earlier generation of the log");
        }
        if batch.next < position {
            debug!(%member, position, next = batch.next, "records passed on are already folded");
            return;
        }
        if batch.start + batch.entries.len() as u64 != batch.next {
            let (start, next) = (batch.start, batch.next);
            warn!(%member, start, next, "records passed on do not match their offsets");
            return;
        }
        let batch = Batch { oldest: batch.start, ..batch };
        if batch.start > position {
            debug!(%member, position, start = batch.start, "records passed on skip an offset");
            return self.fetch_records(now, from, position);
        }
        // Records of the log that do not decode are skipped, but these may differ from the log's.
        if !batch.entries.iter().all(|entry| Record::decode(entry.as_slice()).is_ok()) {
            warn!(%member, start = batch.start, "a record that was passed on does not decode");
            return self.context.read_scheduler.request_before(batch.next);
        }
        self.on_batch(now, &batch);
        self.observe_age(now, batch.next, feed.age);
    }

    /// Records that this member's copy was complete when the log service answered a read, if all
    /// records up to the end at that time are folded.
    pub(super) fn observe_read(&mut self, origin: Origin, batch: &Batch) {
        if let Origin::Service(at) = origin
            && batch.generation == self.state.generation().0
            && batch.next <= self.state.next().max(1)
        {
            self.freshness.observe(at);
        }
    }

    /// Returns the time since this member's copy of the log was known to be complete, in
    /// milliseconds plus one, 0 when not known.
    pub(super) fn log_age(&self, now: Time) -> u32 {
        let age = self.freshness.age(now).and_then(|age| u32::try_from(age.as_millis()).ok());
        age.map_or(0, |age| age.saturating_add(1))
    }

    /// Handles the age of another member's copy of the log, which ends at `next`.
    pub(super) fn observe_age(&mut self, now: Time, next: Offset, age: u32) {
        let Some(age) = age.checked_sub(1).filter(|_| next <= self.state.next()) else { return };
        let age = Duration::from_millis(age.into());
        if let Some(complete) = now.since_start().checked_sub(age) {
            self.freshness.observe(Time::from_start(complete));
        }
    }
}
