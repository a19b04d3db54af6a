//! Orders that grant and release keys of an upstream that is managed by calls.

use std::cell::LazyCell;
use std::sync::Arc;

use acaciaring_core::holds::Wanted;
use acaciaring_core::orders::{Action, Answer, Completion, Issued, Order};
use acaciaring_core::{MemberId, Name, Time, UnitId};
use tracing::{debug, info, warn};

use super::grant_mode::GrantMode;
use super::{Control, Event};
use crate::clock;
use crate::upstream::OrderCall;
use crate::view::{Permit, Permits, Shared};

impl Control {
    /// Sets the units that the upstream is to hold, according to the permits of this member.
    pub(super) fn update_orders(&mut self, permits: &Permits) {
        if !matches!(self.upstream.mode, GrantMode::Call(_)) {
            return;
        }
        let wanted = self.wanted_units(permits);
        if let GrantMode::Call(orders) = &mut self.upstream.mode {
            orders.set_wanted(&wanted);
        }
    }

    fn wanted_units(&self, permits: &Permits) -> Vec<Wanted> {
        let attachment =
            self.attachment().filter(|attachment| self.is_attached_upstream(attachment));
        let Some(attachment) = attachment else { return Vec::new() };
        let workspace = &attachment.workspace;
        let (Some(service), Some(units)) = (self.state.service(workspace), permits.get(workspace))
        else {
            return Vec::new();
        };
        let mut wanted = Vec::with_capacity(units.len());
        for (unit, permit) in units {
            let Permit::Serve { token, .. } = *permit else { continue };
            let ends = |assignment| self.closing(assignment) || self.abandoned(assignment);
            if service.assignment(*unit).is_some_and(ends) {
                continue;
            }
            let keys = service.key_ranges(*unit);
            let unit_key = (Arc::clone(workspace), *unit);
            let handover = self.roles.handovers.get(&unit_key);
            let handover = handover.map_or_else(|| Name::from(""), Arc::clone);
            wanted.push(Wanted { unit: *unit, token, keys, handover });
        }
        wanted
    }

    /// Sends the orders that are due.
    ///
    /// The view without the units to be released is published before the requests in flight are
    /// counted, see [`crate::inflight::Inflight`].
    pub(super) fn send_orders(&mut self, now: Time) {
        let lease = self.context.shared.lease.get();
        let (Some(endpoint), GrantMode::Call(orders)) = (&self.endpoint, &mut self.upstream.mode)
        else {
            return;
        };
        let inflight = &self.context.shared.inflight;
        let busy = LazyCell::new(|| inflight.keys(&endpoint.workspace));
        let idle = |first, last| busy.range(u64::from(first)..=u64::from(last)).next().is_none();
        let me = self.identity.as_ref().map(|identity| identity.me);
        for issued in orders.decide(now, lease, idle) {
            let number = issued.number;
            debug!(number, order = ?issued.order, "sending an order to the upstream");
            let (address, instance) = (endpoint.address, Arc::clone(&endpoint.instance));
            let (client, events) =
                (Arc::clone(&self.context.upstream_client), self.context.events.clone());
            let shared = Arc::clone(&self.context.shared);
            self.context.transport.runtime().spawn(async move {
                let deadline = deadline(&shared, me, &issued);
                let Issued { order, may_connect, .. } = issued;
                let call = OrderCall { address, order, deadline, may_connect, instance };
                let answer = client.order(call).await;
                // The control thread may have ended.
                let _ = events.send(Event::OrderAnswered(number, answer));
            });
        }
    }

    /// Handles the answer to an order.
    pub(super) fn on_order_answered(&mut self, now: Time, number: u64, answer: &Answer) {
        let GrantMode::Call(orders) = &mut self.upstream.mode else { return };
        let Some(settled) = orders.complete(now, number, answer) else { return };
        log(&settled, answer);
        if settled.changed {
            self.upstream.order_answered(now);
        }
        // An executed order proves that the upstream is alive, even if its reports are lost.
        if let (Answer::Done { .. }, Some(announced)) = (answer, &mut self.announced) {
            announced.at = now;
        }
    }

    /// Handles the refusal of a request for a unit that the upstream should hold.
    pub(super) fn on_unit_denied(&mut self, workspace: &Name, unit: UnitId) {
        info!(%workspace, %unit, "the upstream refused a request for a unit granted to it");
        let service = self.state.service(workspace);
        let keys = service.map(|service| service.key_ranges(unit)).unwrap_or_default();
        self.upstream.mode.mark_refused(unit, &keys);
        self.dirty = true;
    }
}

/// Returns the deadline of an order of the member `me` that is sent now.
fn deadline(shared: &Shared, me: Option<MemberId>, issued: &Issued) -> Time {
    // Read before the identity: a later member of this process publishes its id before its lease.
    let lease = shared.lease.get();
    if shared.view().me != me {
        return issued.deadline;
    }
    issued.deadline_at(clock::now(), lease)
}

/// Logs orders that were refused, changed the known state, or have an unknown result.
fn log(settled: &Completion, answer: &Answer) {
    let Order { first, last, token, action } = &settled.order;
    let what = match action {
        Action::Grant { .. } => "grant",
        Action::Release => "release",
    };
    let age = settled.age.as_millis();
    match answer {
        Answer::Superseded | Answer::Rejected => {
            warn!(what, first, last, token = token.0, ?answer, age, "order was refused");
        }
        _ if settled.changed || *answer == Answer::Unknown => {
            info!(what, first, last, token = token.0, ?answer, age, "order settled");
        }
        _ => debug!(what, first, last, token = token.0, ?answer, age, "order settled"),
    }
}
