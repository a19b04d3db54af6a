//! Renewals, grants and votes.

use std::net::SocketAddr;
use std::time::Duration;

use acaciaring_core::lease::{Renewal, Vote};
use acaciaring_core::state::{Phase, Service, State};
use acaciaring_core::{MemberId, Time};
use acaciaring_schema::peer::{Datagram, Grant, Renew, call, datagram};
use acaciaring_schema::{log, peer};
use tracing::{info, warn};

use super::Control;
use super::concern::concerned;
use super::identity::Retiring;
use crate::metrics::Counter;
use crate::view::peer_address;
use crate::wire;

/// Time between two sendings of the same votes, while they are new.
const AGAIN: Duration = Duration::from_millis(400);

/// The same once they are old, for example while the log is down and no eviction is recorded.
const LATER: Duration = Duration::from_secs(5);

/// Age from which a vote is old.
const OLD: Duration = Duration::from_secs(2);

/// Votes of this member about others.
#[derive(Debug, Default)]
pub(super) struct Voting {
    /// When votes were last sent.
    sent: Time,
    /// When a new one was last cast.
    cast: Time,
}

impl Control {
    /// Sends the renewals that are due and publishes the end of the lease.
    pub(super) fn renew(&mut self, now: Time) {
        let Some(identity) = self.identity.as_mut().filter(|identity| identity.renews()) else {
            self.parts.shared.lease.set(Time::ZERO);
            return;
        };
        let renewals = identity.holder.due(now);
        let me = identity.me;
        for renewal in renewals {
            self.send_renewal(me, renewal);
        }
        self.publish_lease(now);
        self.count_loss(now);
    }

    fn send_renewal(&self, me: MemberId, renewal: Renewal) {
        let Some(to) = self.state.member(renewal.lessor).and_then(peer_address) else { return };
        let renew = Renew {
            holder: me.0,
            lessor: renewal.lessor.0,
            seq: renewal.seq,
            version: renewal.version,
            applied: self.state.next(),
            declared: self.parts.declarations.version(),
        };
        let datagram = Datagram { body: Some(datagram::Body::Renew(renew)) };
        self.parts.transport.send(to, &datagram, renewal.fresh);
    }

    fn publish_lease(&mut self, now: Time) {
        let Some(identity) = self.identity.as_ref().filter(|identity| identity.renews()) else {
            return;
        };
        let end = identity.holder.until().unwrap_or(Time::ZERO);
        let before = self.parts.shared.lease.get();
        self.parts.shared.lease.set(end);
        // Rights that waited for the lease are computed anew.
        self.dirty |= before <= now && end > now;
    }

    /// Counts a lease that ended although this member did not mean to stop.
    fn count_loss(&mut self, now: Time) {
        let held = self.parts.shared.lease.get() > now;
        let Some(identity) = &mut self.identity else { return };
        let meant = matches!(identity.retiring, Some(Retiring::Stop | Retiring::Upstream));
        if identity.leased && !held && !meant {
            self.parts.metrics.count(Counter::LeaseLost, 1);
        }
        identity.leased = held;
    }

    /// Handles a datagram of another member.
    pub(super) fn datagram(&mut self, now: Time, from: SocketAddr, datagram: Datagram) {
        match datagram.body {
            Some(datagram::Body::Renew(renew)) => self.on_renew(now, from, &renew),
            Some(datagram::Body::Grant(grant)) => {
                self.catch_up(now, from, grant.applied);
                self.follow(now, from, grant.declared);
                self.on_grant(now, &grant);
            }
            Some(datagram::Body::Loads(loads)) => self.on_loads(now, &loads),
            None => warn!(%from, "datagram without body"),
        }
    }

    fn on_renew(&mut self, now: Time, from: SocketAddr, renew: &Renew) {
        self.catch_up(now, from, renew.applied);
        self.follow(now, from, renew.declared);
        self.depend(renew.version);
        let Some(identity) = &mut self.identity else { return };
        if renew.lessor != identity.me.0 {
            return;
        }
        let abandoned = identity.holder.abandoned(now);
        let holder = MemberId(renew.holder);
        let answer = identity.lessor.renew(now, holder, renew.version, abandoned);
        // One that only prepares to make this member its lessor is not voted on.
        let known = self.state.member(holder).filter(|member| member.version == renew.version);
        if known.is_some_and(|member| !member.lessors.contains(&identity.me)) {
            identity.lessor.unlearn(holder, renew.version);
        }
        let grant = Grant {
            lessor: identity.me.0,
            holder: renew.holder,
            seq: renew.seq,
            version: answer.version,
            granted: answer.granted,
            applied: self.state.next(),
            declared: self.parts.declarations.version(),
        };
        let datagram = Datagram { body: Some(datagram::Body::Grant(grant)) };
        self.parts.transport.send(from, &datagram, false);
    }

    fn on_grant(&mut self, now: Time, grant: &peer::Grant) {
        let Some(identity) = &mut self.identity else { return };
        if grant.holder != identity.me.0 {
            return;
        }
        let lessor = MemberId(grant.lessor);
        identity.holder.granted(now, lessor, grant.seq, grant.granted, grant.version);
        if !grant.granted {
            // The log may have ended this identity.
            self.parts.wanted.need(grant.applied);
        }
        // New lessors are ready while their grants are newer than those of the present ones,
        // which the next round of duties may miss each time.
        let preparing = identity.holder.preparing() && identity.retiring.is_none();
        self.publish_lease(now);
        if preparing {
            self.improve_lessors(now);
        }
    }

    /// Keeps holder, lessor and tally in step with the folded members.
    pub(super) fn learn_members(&mut self, now: Time) {
        let state = std::sync::Arc::clone(&self.state);
        let Some(identity) = &mut self.identity else { return };
        let me = identity.me;
        for member in state.members() {
            if member.phase == Phase::Dead {
                identity.lessor.forget(member.id);
                // The death of a member that never had lessors stands in for no vote:
                // it gives up its identity only when it reads of it.
                if !member.lessors.is_empty() {
                    identity.tally.died(now, member.id);
                }
                self.grounds.forget(member.id);
                continue;
            }
            if member.id == me {
                if idle(&state, me) {
                    identity.holder.reset(member.version, &member.lessors);
                } else {
                    identity
                        .holder
                        .install(member.version, &member.lessors, |id| state.is_present(id));
                }
            } else if member.lessors.contains(&me) {
                identity.lessor.learn(now, member.id, member.version);
            } else {
                identity.lessor.unlearn(member.id, member.version);
            }
        }
        identity.rights.prune(me, &state);
    }

    /// Votes on members whose grant has run out.
    pub(super) fn cast_votes(&mut self, now: Time) {
        let Some(identity) = &mut self.identity else { return };
        let leased = identity.holder.holds(now);
        let mut votes = Vec::new();
        for member in identity.lessor.expired(now) {
            if let Some(vote) = identity.lessor.vote(now, member, leased) {
                warn!(member = %vote.member, "grant has expired, voting");
                identity.tally.vote(identity.me, vote.member, vote.version);
                votes.push(vote);
            }
        }
        self.dirty |= !votes.is_empty();
        if !votes.is_empty() {
            self.parts.metrics.count(Counter::LeaseVotes, votes.len() as u64);
            self.voting.cast = now;
        }
        let pause = if now.since(self.voting.cast) < OLD { AGAIN } else { LATER };
        if now.since(self.voting.sent) >= pause {
            self.voting.sent = now;
            votes = identity.lessor.votes().collect();
        }
        for vote in votes {
            self.send_vote(vote);
        }
    }

    /// Sends a vote to all that may act on it: lessors, standbys and waiting owners.
    fn send_vote(&self, vote: Vote) {
        let Some(identity) = &self.identity else { return };
        let message =
            log::Vote { lessor: identity.me.0, member: vote.member.0, version: vote.version };
        for member in concerned(&self.state, vote.member) {
            let address = self.state.member(member).and_then(peer_address);
            if let Some(to) = address.filter(|_| member != identity.me) {
                let call = call::Body::Vote(message);
                self.parts.outbox.call(to, call, wire::CALL, Box::new(|_| {}));
            }
        }
    }

    /// Takes in a vote of another lessor.
    pub(super) fn vote(&mut self, vote: log::Vote) {
        self.depend(vote.version);
        let Some(identity) = &mut self.identity else { return };
        if vote.member == identity.me.0 {
            info!(lessor = vote.lessor, "a lessor has voted on this member");
            return;
        }
        identity.tally.vote(MemberId(vote.lessor), MemberId(vote.member), vote.version);
        self.dirty = true;
    }
}

/// Returns true when the log names a member as owner, standby or prior of nothing.
pub(super) fn idle(state: &State, member: MemberId) -> bool {
    if state.owned_count(member) > 0 || state.standby_count(member) > 0 {
        return false;
    }
    let mut units = state.services().flat_map(Service::units);
    units.all(|(_, assignment)| {
        ![assignment.prior, assignment.prior_standby].contains(&Some(member))
    })
}
