//! Lease protocol: renewals, grants and votes.

use std::net::SocketAddr;
use std::time::Duration;

use acaciaring_core::lease::{self, Renewal, Vote};
use acaciaring_core::state::{Phase, Service, State};
use acaciaring_core::{Generation, MemberId, Time};
use acaciaring_schema::peer::{Datagram, Grant, Renew, call, datagram};
use acaciaring_schema::{log, peer};
use tracing::{info, warn};

use super::Control;
use super::identity::EndReason;
use super::vote_recipients::vote_recipients;
use crate::declared::KnownVersions;
use crate::metrics::Counter;
use crate::view::peer_address;
use crate::wire;

/// Interval at which recent votes are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which old votes are sent again, for example while the log is down.
const OLD_RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Age from which votes are sent at the longer interval.
const OLD_VOTE_AGE: Duration = Duration::from_secs(2);

/// Times of this member's votes.
#[derive(Debug, Default)]
pub(super) struct Voting {
    /// When votes were last sent.
    last_sent: Time,
    /// When a new vote was last cast.
    last_cast: Time,
}

impl Control {
    /// Sends the renewals that are due and publishes the expiry of the lease.
    pub(super) fn renew(&mut self, now: Time) {
        let Some(identity) = self.identity.as_mut().filter(|identity| identity.renews()) else {
            self.context.shared.lease.set(Time::ZERO);
            return;
        };
        let renewals = identity.holder.due(now);
        let me = identity.me;
        for renewal in renewals {
            self.send_renewal(now, me, renewal);
        }
        self.publish_lease(now);
        self.count_loss(now);
    }

    fn send_renewal(&self, now: Time, me: MemberId, renewal: Renewal) {
        let Some(to) = self.state.member(renewal.lessor).and_then(peer_address) else { return };
        let known = self.context.declarations.known();
        let renew = Renew {
            holder: me.0,
            lessor: renewal.lessor.0,
            seq: renewal.seq,
            version: renewal.version,
            applied: self.state.next(),
            declared: known.config,
            age: self.log_age(now),
            evacuation: known.evacuation,
            generation: self.state.generation().0,
            newest: self.replica.generation().0,
        };
        let datagram = Datagram { body: Some(datagram::Body::Renew(renew)) };
        self.context.transport.send(to, &datagram, renewal.reconnect);
    }

    fn publish_lease(&mut self, now: Time) {
        let Some(identity) = self.identity.as_ref().filter(|identity| identity.renews()) else {
            return;
        };
        let end = identity.holder.until().unwrap_or(Time::ZERO);
        let before = self.context.shared.lease.get();
        self.context.shared.lease.set(end);
        // Permits that depend on the lease have to be recomputed.
        self.dirty |= before <= now && end > now;
    }

    /// Counts a lease that expired while this member was not leaving.
    fn count_loss(&mut self, now: Time) {
        let held = self.context.shared.lease.get() > now;
        let Some(identity) = &mut self.identity else { return };
        let meant = matches!(identity.retiring, Some(EndReason::Stop | EndReason::Upstream));
        if identity.was_leased && !held && !meant {
            self.context.metrics.count(Counter::LeaseLost, 1);
            let (span, bytes) = self.volumes.recent(now, &self.context.transport.volumes());
            let span_ms = wire::millis(span);
            warn!(member = %identity.me, span_ms, %bytes, "the lease is lost; bytes before");
        }
        identity.was_leased = held;
    }

    /// Handles a datagram from another member.
    pub(super) fn on_datagram(&mut self, now: Time, from: SocketAddr, datagram: Datagram) {
        match datagram.body {
            Some(datagram::Body::Renew(renew)) => self.on_renew(now, from, &renew),
            Some(datagram::Body::Grant(grant)) => {
                self.hear_generation(now, from, Generation(grant.newest));
                self.observe_position(Generation(grant.generation), grant.applied);
                self.catch_up(now, from, grant.applied);
                let known = KnownVersions { config: grant.declared, evacuation: grant.evacuation };
                self.fetch_declaration(now, from, known);
                self.observe_age(now, grant.applied, grant.age);
                self.on_grant(now, &grant);
            }
            Some(datagram::Body::Loads(loads)) => self.on_loads(now, &loads),
            None => warn!(%from, "received a datagram without body, ignoring it"),
        }
    }

    fn on_renew(&mut self, now: Time, from: SocketAddr, renew: &Renew) {
        self.hear_generation(now, from, Generation(renew.newest));
        self.observe_position(Generation(renew.generation), renew.applied);
        self.catch_up(now, from, renew.applied);
        let known = KnownVersions { config: renew.declared, evacuation: renew.evacuation };
        self.fetch_declaration(now, from, known);
        self.observe_age(now, renew.applied, renew.age);
        self.require_record(renew.version);
        let age = self.log_age(now);
        let current = self.is_current(Generation(renew.generation), renew.applied);
        let Some(identity) = &mut self.identity else { return };
        if renew.lessor != identity.me.0 {
            return;
        }
        let abandoned = identity.holder.abandoned(now);
        let holder = MemberId(renew.holder);
        let answer = if current {
            identity.lessor.renew(now, holder, renew.version, abandoned)
        } else {
            lease::Grant { granted: false, version: renew.version }
        };
        // A holder that only prepares this member as lessor must not be voted on by it.
        let known = self.state.member(holder).filter(|member| member.version == renew.version);
        if known.is_some_and(|member| !member.lessors.contains(&identity.me)) {
            identity.lessor.leave_set(holder, renew.version);
        }
        let known = self.context.declarations.known();
        let grant = Grant {
            lessor: identity.me.0,
            holder: renew.holder,
            seq: renew.seq,
            version: answer.version,
            granted: answer.granted,
            applied: self.state.next(),
            declared: known.config,
            age,
            evacuation: known.evacuation,
            generation: self.state.generation().0,
            newest: self.replica.generation().0,
        };
        let datagram = Datagram { body: Some(datagram::Body::Grant(grant)) };
        self.context.transport.send(from, &datagram, false);
    }

    fn on_grant(&mut self, now: Time, grant: &peer::Grant) {
        let Some(identity) = &mut self.identity else { return };
        if grant.holder != identity.me.0 {
            return;
        }
        // Refused until this member has read how the generation began.
        if !grant.granted && Generation(grant.generation) > self.state.generation() {
            return self.context.read_scheduler.request_read();
        }
        let lessor = MemberId(grant.lessor);
        identity.holder.handle_grant(now, lessor, grant.seq, grant.granted, grant.version);
        if !grant.granted {
            // The log may contain the eviction of this identity.
            self.context.read_scheduler.request_before(grant.applied);
        }
        // New lessors are ready only while their grants are newer than those of the current ones,
        // which periodic maintenance could miss every time.
        let preparing = identity.holder.preparing() && identity.retiring.is_none();
        self.publish_lease(now);
        if preparing {
            self.improve_lessors(now);
        }
    }

    /// Updates holder, lessor and tally from the folded members.
    pub(super) fn update_members(&mut self, now: Time) {
        let state = std::sync::Arc::clone(&self.state);
        let Some(identity) = &mut self.identity else { return };
        let me = identity.me;
        for member in state.members() {
            if member.phase == Phase::Dead {
                identity.lessor.mark_dead(member.id);
                // The death of a member without lessors cannot replace its vote: it keeps its
                // identity until it reads the record.
                if !member.lessors.is_empty() {
                    identity.tally.record_death(now, member.id);
                }
                self.eviction_reasons.forget(member.id);
                continue;
            }
            if member.id == me {
                if is_unassigned(&state, me) {
                    identity.holder.reset(member.version, &member.lessors);
                } else {
                    identity
                        .holder
                        .install(member.version, &member.lessors, |id| state.is_present(id));
                }
            } else if member.lessors.contains(&me) {
                identity.lessor.join_set(now, member.id, member.version);
            } else {
                identity.lessor.leave_set(member.id, member.version);
            }
        }
        identity.rights.prune(me, &state);
    }

    /// Votes on members whose grant has expired, and sends votes again.
    pub(super) fn cast_votes(&mut self, now: Time) {
        let Some(identity) = &mut self.identity else { return };
        let leased = identity.holder.holds(now);
        let mut votes = Vec::new();
        for member in identity.lessor.expired(now) {
            if let Some(vote) = identity.lessor.vote(now, member, leased) {
                warn!(
                    member = %vote.member,
                    "grant has expired, voting that the lease has expired"
                );
                identity.tally.vote(identity.me, vote.member, vote.version);
                votes.push(vote);
            }
        }
        self.dirty |= !votes.is_empty();
        if !votes.is_empty() {
            self.context.metrics.count(Counter::LeaseVotes, votes.len() as u64);
            self.voting.last_cast = now;
        }
        let pause = if now.since(self.voting.last_cast) < OLD_VOTE_AGE {
            RESEND_INTERVAL
        } else {
            OLD_RESEND_INTERVAL
        };
        if now.since(self.voting.last_sent) >= pause {
            self.voting.last_sent = now;
            votes = identity.lessor.votes().collect();
        }
        for vote in votes {
            self.send_vote(vote);
        }
    }

    /// Sends a vote to all members that may act on it: lessors, next owners and standbys.
    fn send_vote(&self, vote: Vote) {
        let Some(identity) = &self.identity else { return };
        let message = log::Vote {
            lessor: identity.me.0,
            member: vote.member.0,
            version: vote.version,
            newest: self.replica.generation().0,
        };
        for member in vote_recipients(&self.state, vote.member) {
            let address = self.state.member(member).and_then(peer_address);
            if let Some(to) = address.filter(|_| member != identity.me) {
                let call = call::Body::Vote(message);
                self.context.outbox.call(to, call, wire::CALL_TIMEOUT, Box::new(|_| {}));
            }
        }
    }

    /// Handles a vote of another lessor.
    ///
    /// It names the generation of the log that its lessor has heard of: this member may be the next
    /// one to serve, and must then serve by what that generation says.
    pub(super) fn on_vote(&mut self, now: Time, vote: log::Vote) {
        self.observe_generation(now, Generation(vote.newest));
        self.require_record(vote.version);
        let Some(identity) = &mut self.identity else { return };
        if vote.member == identity.me.0 {
            info!(
                lessor = vote.lessor,
                "a lessor has voted that the lease of this member has expired"
            );
            return;
        }
        identity.tally.vote(MemberId(vote.lessor), MemberId(vote.member), vote.version);
        self.dirty = true;
    }
}

/// Returns true when no assignment in the log names a member.
pub(super) fn is_unassigned(state: &State, member: MemberId) -> bool {
    if state.owned_count(member) > 0 || state.standby_count(member) > 0 {
        return false;
    }
    let mut units = state.services().flat_map(Service::units);
    units.all(|(_, assignment)| {
        ![assignment.prior, assignment.prior_standby].contains(&Some(member))
    })
}
