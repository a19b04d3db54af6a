//! Departures of upstreams, which are recorded before they are acknowledged.
//!
//! A member that is started again knows nothing of what its predecessor has acknowledged. A delayed
//! heartbeat would make it attach an upstream that has left, so each departure goes to the log; while
//! the log does not take it, other members keep it and propose it too.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::holds::Incarnation;
use acaciaring_core::state::{Attachment, Departure, Member};
use acaciaring_core::{MemberId, Name, Time};
use acaciaring_schema::log::record;
use acaciaring_schema::peer::{call, reply};
use tokio::sync::oneshot;
use tracing::{info, warn};

use super::proposal::Purpose;
use super::{Control, ControlContext, Event};
use crate::heartbeat::HeartbeatReply;
use crate::view::peer_address;
use crate::wire;

/// Time after which a departure that is not recorded is left without acknowledgement.
///
/// An upstream ignores an acknowledgement later than a second.
pub(super) const RECORD_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which other members are told of a departure that the log has not recorded.
const TELL_DELAY: Duration = Duration::from_millis(150);

/// Time after which members that have not answered are told again.
const TELL_INTERVAL: Duration = Duration::from_millis(300);

/// Members that are told of a departure.
const RECIPIENTS: usize = 2;

/// Maximum number of departures that wait for the log.
const MAX_PENDING: usize = 64;

/// Reply that acknowledges a departure; dropped to leave it without acknowledgement.
#[derive(Debug)]
pub(super) enum DepartureReply {
    /// To the notice of an instance that leaves.
    Notice(oneshot::Sender<()>),
    /// To a heartbeat that changes nothing else.
    Heartbeat(oneshot::Sender<HeartbeatReply>),
}

impl DepartureReply {
    fn send(self) {
        // The sender may have disconnected.
        match self {
            Self::Notice(reply) => drop(reply.send(())),
            Self::Heartbeat(reply) => drop(reply.send(HeartbeatReply::default())),
        }
    }
}

/// Departure that the log has not recorded yet.
#[derive(Debug)]
struct Pending {
    departure: Departure,
    since: Time,
    /// When other members were last told.
    told: Option<Time>,
    /// True once another member keeps it.
    kept: bool,
    replies: Vec<(Time, DepartureReply)>,
}

impl Pending {
    /// Acknowledges the departure if another member keeps it, and drops replies that are too late.
    fn answer(&mut self, now: Time) {
        if self.kept {
            for (_, reply) in self.replies.drain(..) {
                reply.send();
            }
        }
        let late = |(since, _): &mut (Time, _)| now.since(*since) >= RECORD_TIMEOUT;
        for _ in self.replies.extract_if(.., late) {
            let upstream = &self.departure.incarnation;
            warn!(%upstream, "departure is not recorded in time, not acknowledging it");
        }
    }

    /// Returns true if other members are to be told now.
    fn is_telling_due(&self, now: Time) -> bool {
        let due = self.told.map_or(self.since + TELL_DELAY, |told| told + TELL_INTERVAL);
        !self.kept && now >= due
    }
}

/// Tells another member of a departure, which it then keeps.
fn tell(context: &ControlContext, to: SocketAddr, departure: &Departure) {
    let (events, departure) = (context.events.clone(), departure.clone());
    let call = call::Body::Departure(departure.to_record());
    let done = move |reply: Option<reply::Body>| {
        if wire::accepted(reply.as_ref()) {
            // The control thread may have ended.
            let _ = events.send(Event::DepartureKept(departure));
        }
    };
    context.outbox.call(to, call, wire::CALL_TIMEOUT, Box::new(done));
}

/// Departures that the log has not recorded yet, oldest first.
#[derive(Debug, Default)]
pub(super) struct Departures(Vec<Pending>);

impl Departures {
    /// Adds a departure unless it waits already.
    pub(super) fn add(&mut self, now: Time, departure: Departure) {
        if self.find(&departure).is_some() {
            return;
        }
        if self.0.len() >= MAX_PENDING {
            self.0.remove(0);
        }
        self.0.push(Pending {
            departure,
            since: now,
            told: None,
            kept: false,
            replies: Vec::new(),
        });
    }

    /// Records that another member keeps a departure.
    pub(super) fn kept(&mut self, departure: &Departure) {
        if let Some(pending) = self.find(departure) {
            pending.kept = true;
        }
    }

    fn find(&mut self, departure: &Departure) -> Option<&mut Pending> {
        self.0.iter_mut().find(|pending| pending.departure == *departure)
    }
}

impl Control {
    /// Records that an incarnation of the local upstream leaves, which is final.
    pub(super) fn depart(&mut self, now: Time, incarnation: Incarnation) {
        if incarnation.instance.is_empty() {
            return;
        }
        self.upstream.mode.incarnations_mut().depart(&incarnation);
        if !self.state.has_departed(&self.context.location.vm, &incarnation) {
            self.departures.add(now, self.local_departure(incarnation));
        }
    }

    /// Handles the notice, sent at `sent`, that an instance of the local upstream leaves.
    pub(super) fn on_upstream_leaves(
        &mut self,
        now: Time,
        instance: &Name,
        sent: Time,
        reply: oneshot::Sender<()>,
    ) {
        self.dirty = true;
        let incarnations = self.upstream.mode.incarnations();
        let current = incarnations.current();
        let is_current = current.is_some_and(|current| current.instance == *instance);
        let reply = DepartureReply::Notice(reply);
        let incarnation = match incarnations.of_instance(sent, instance) {
            Some(incarnation) => incarnation.clone(),
            None if is_current => {
                info!(%instance, "ignoring an outdated notice that the upstream leaves");
                return reply.send();
            }
            None => self.last_attached(instance),
        };
        self.depart(now, incarnation.clone());
        if is_current {
            self.upstream_leaves(now);
        }
        self.acknowledge_departure(now, &incarnation, reply);
    }

    /// Acknowledges a departure once it is recorded.
    pub(super) fn acknowledge_departure(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        reply: DepartureReply,
    ) {
        let departure = self.local_departure(incarnation.clone());
        match self.departures.find(&departure) {
            Some(pending) => pending.replies.push((now, reply)),
            None => reply.send(),
        }
    }

    /// Keeps the departure of an upstream of another member until the log has recorded it.
    pub(super) fn keep_departure(&mut self, now: Time, departure: Departure) {
        if !self.state.has_departed(&departure.vm, &departure.incarnation) {
            self.departures.add(now, departure);
        }
    }

    /// Returns true once the departure of an incarnation of the local upstream outlasts this process.
    pub(super) fn is_recorded(&self, incarnation: &Incarnation) -> bool {
        let vm = &self.context.location.vm;
        let kept = |pending: &Pending| {
            let Departure { vm: of, incarnation: departed } = &pending.departure;
            **of == **vm && departed == incarnation && pending.kept
        };
        // An upstream without a name cannot be told from a later one.
        incarnation.instance.is_empty()
            || self.state.has_departed(vm, incarnation)
            || self.departures.0.iter().any(kept)
    }

    /// Applies the departures of the local upstream in the folded state, and ends recorded ones.
    pub(super) fn find_departures(&mut self, now: Time) {
        let state = Arc::clone(&self.state);
        let was_leaving = self.upstream.mode.incarnations().is_leaving();
        for incarnation in state.departures(&self.context.location.vm) {
            self.upstream.mode.incarnations_mut().depart(incarnation);
        }
        if !was_leaving && self.upstream.mode.incarnations().is_leaving() {
            info!("the upstream has left by the log");
            self.upstream_leaves(now);
        }
        let recorded = |pending: &mut Pending| {
            let Departure { vm, incarnation } = &pending.departure;
            state.has_departed(vm, incarnation)
        };
        for pending in self.departures.0.extract_if(.., recorded) {
            let Pending { departure, since, replies, .. } = pending;
            let after_ms = wire::millis(now.since(since));
            info!(vm = %departure.vm, upstream = %departure.incarnation, after_ms, "departure recorded");
            for (_, reply) in replies {
                reply.send();
            }
        }
    }

    /// Proposes the next departure to the log, and tells other members of those that take long.
    pub(super) fn record_departures(&mut self, now: Time) {
        let Some(next) = self.departures.0.first() else { return };
        if self.progress.caught_up {
            let depart = next.departure.to_record();
            self.proposals.propose(now, Purpose::Depart, record::Body::Depart(depart));
        }
        for pending in &mut self.departures.0 {
            pending.answer(now);
        }
        let recipients = self.departure_recipients();
        let vm = &self.context.location.vm;
        let local = self.departures.0.iter_mut().filter(|pending| *pending.departure.vm == **vm);
        for pending in local.filter(|pending| pending.is_telling_due(now)) {
            pending.told = Some(now);
            for to in &recipients {
                tell(&self.context, *to, &pending.departure);
            }
        }
    }

    /// Returns the addresses of members that keep departures, lessors of this member first.
    fn departure_recipients(&self) -> Vec<SocketAddr> {
        let Some(me) = self.identity.as_ref().map(|identity| identity.me) else {
            return Vec::new();
        };
        let lessors = self.state.member(me).map(|member| member.lessors.as_slice());
        let first = |id: &MemberId| lessors.is_some_and(|lessors| lessors.contains(id));
        let others = self.state.members().filter(|member| member.alive() && member.id != me);
        let mut others: Vec<&Member> = others.collect();
        others.sort_by_key(|member| !first(&member.id));
        others.into_iter().filter_map(peer_address).take(RECIPIENTS).collect()
    }

    fn local_departure(&self, incarnation: Incarnation) -> Departure {
        Departure { vm: Name::from(self.context.location.vm.as_str()), incarnation }
    }

    /// Returns the incarnation of an instance that was last attached on this VM.
    ///
    /// A notice states no generation, and this process has had no heartbeat of the instance.
    fn last_attached(&self, instance: &Name) -> Incarnation {
        let vm = &self.context.location.vm;
        let local = self.state.members().filter(|member| *member.vm == **vm);
        let attached = local.filter_map(|member| member.attachment.as_ref());
        let last = attached.filter(|attachment| attachment.instance == *instance).last();
        let unknown = || Incarnation { instance: Name::clone(instance), generation: 0 };
        last.map_or_else(unknown, Attachment::incarnation)
    }
}
