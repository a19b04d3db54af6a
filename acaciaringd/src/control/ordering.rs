//! Orders to an upstream that is told by calls what to hold.

use std::cell::LazyCell;
use std::sync::Arc;

use acaciaring_core::holds::Wanted;
use acaciaring_core::orders::{Action, Answer, Issued, Order, Settled};
use acaciaring_core::{Name, Time, UnitId};
use tracing::{debug, info, warn};

use super::way::Way;
use super::{Control, Event};
use crate::upstream::OrderCall;
use crate::view::{Permit, Permits};

impl Control {
    /// Takes over which units the upstream is to hold, by the rights of this member.
    pub(super) fn want(&mut self, permits: &Permits) {
        if !matches!(self.holding.way, Way::Called(_)) {
            return;
        }
        let wanted = self.wanted_by(permits);
        if let Way::Called(orders) = &mut self.holding.way {
            orders.want(&wanted);
        }
    }

    fn wanted_by(&self, permits: &Permits) -> Vec<Wanted> {
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
            let keys = service.key_ranges(*unit);
            let place = (Arc::clone(workspace), *unit);
            let handover = self.roles.handovers.get(&place);
            let handover = handover.map_or_else(|| Name::from(""), Arc::clone);
            wanted.push(Wanted { unit: *unit, token, keys, handover });
        }
        wanted
    }

    /// Gives the orders that are due.
    ///
    /// The view without what is to be released is published before the requests in flight are
    /// counted, see [`crate::inflight::Inflight`].
    pub(super) fn give_orders(&mut self, now: Time) {
        let lease = self.parts.shared.lease.get();
        let (Some(link), Way::Called(orders)) = (&self.link, &mut self.holding.way) else { return };
        let inflight = &self.parts.shared.inflight;
        let busy = LazyCell::new(|| inflight.keys(&link.workspace));
        let idle = |first, last| busy.range(u64::from(first)..=u64::from(last)).next().is_none();
        let issued = orders.decide(now, lease, idle);
        for Issued { number, order, reach, connects } in issued {
            let call = OrderCall {
                address: link.address,
                order,
                reach,
                connects,
                instance: Arc::clone(&link.instance),
            };
            debug!(number, order = ?call.order, "order to the upstream");
            let (outlet, events) = (Arc::clone(&self.parts.outlet), self.parts.events.clone());
            self.parts.transport.runtime().spawn(async move {
                let answer = outlet.order(call).await;
                // Control may have ended in the meantime.
                let _ = events.send(Event::Ordered(number, answer));
            });
        }
    }

    /// Takes in what came of an order.
    pub(super) fn on_ordered(&mut self, now: Time, number: u64, answer: &Answer) {
        let Way::Called(orders) = &mut self.holding.way else { return };
        let Some(settled) = orders.settle(now, number, answer) else { return };
        log(&settled, answer);
        self.dirty |= settled.changed;
        // An upstream that carries out orders lives, also when its reports do not get here.
        if let (Answer::Done { .. }, Some(announced)) = (answer, &mut self.announced) {
            announced.at = now;
        }
    }

    /// Notes that the upstream has refused a request for a unit that it should hold.
    pub(super) fn misplaced(&mut self, workspace: &Name, unit: UnitId) {
        info!(%workspace, %unit, "the upstream does not hold what it was given");
        let service = self.state.service(workspace);
        let keys = service.map(|service| service.key_ranges(unit)).unwrap_or_default();
        self.holding.way.deny(unit, &keys);
        self.dirty = true;
    }
}

/// Writes a line for each order that changes what this process believes.
fn log(settled: &Settled, answer: &Answer) {
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
        _ => {}
    }
}
