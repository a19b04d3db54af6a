//! Log records that this member has proposed and whose outcome is not yet known.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use acaciaring_core::state::{Outcome, State};
use acaciaring_core::{Generation, MemberId, Name, Offset, Time, UnitId};
use acaciaring_schema::log::{Record, record};
use crossbeam_channel::Sender;
use rand::Rng;

use super::event::PublishReply;
use crate::appender::{Appender, RecordId};

/// Time after which a proposal that was not seen in the log is dropped and may be repeated.
///
/// Only for proposals that name a version or are idempotent: the first one folded makes the others
/// stale.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Extra time for an append attempt in progress, so that the operator gets a definite result.
const ATTEMPT_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of in-doubt records that are kept.
const MAX_IN_DOUBT: usize = 256;

/// Purpose of a proposal; at most one proposal per purpose is open.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    Join,
    Attach,
    Lessors,
    Assign(Name),
    Switchover(Name),
    Handoff(Name, MemberId),
    Split(Name),
    Merge(Name),
    Leave,
    Exit,
    Evict(MemberId),
    Publish(RecordId),
    Settle,
    Depart,
}

/// An open proposal.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(crate) purpose: Purpose,
    pub(crate) since: Time,
    /// Standby roles renounced until the outcome is known, with the version of the assignment.
    pub(crate) renounced: Vec<(Name, UnitId, Offset)>,
    /// Hot keys that the proposal splits or merges.
    pub(crate) changed: Vec<(Name, UnitId)>,
    pub(crate) reply: Option<Sender<PublishReply>>,
}

/// Open proposals.
pub(crate) struct Proposals {
    appender: Appender,
    open: HashMap<RecordId, Proposal>,
    in_doubt: InDoubt,
    /// Generation of the log in which the state that proposals build on was folded.
    generation: Generation,
}

/// Abandoned records that may have been appended nevertheless, oldest first.
#[derive(Debug, Default)]
struct InDoubt(VecDeque<RecordId>);

impl Proposals {
    pub(crate) fn new(appender: Appender) -> Self {
        let generation = Generation::default();
        Self { appender, open: HashMap::new(), in_doubt: InDoubt::default(), generation }
    }

    /// Sets the generation of the log that further proposals name.
    pub(crate) fn set_generation(&mut self, generation: Generation) {
        self.generation = generation;
    }

    /// Returns true if the state includes the record of an open proposal.
    pub(crate) fn any_recent(&self, state: &State) -> bool {
        self.open.keys().any(|id| state.is_recent(id))
    }

    /// Ends all proposals, which have no effect in a later generation of the log, and returns them.
    pub(crate) fn take_open(&mut self) -> Vec<(RecordId, Proposal)> {
        for id in self.open.keys() {
            self.appender.settle(id);
        }
        self.open.drain().collect()
    }

    /// Returns true while a proposal for the purpose is open.
    pub(crate) fn pending(&self, purpose: &Purpose) -> bool {
        self.open.values().any(|proposal| proposal.purpose == *purpose)
    }

    /// Proposes a record unless one for the same purpose is open.
    pub(crate) fn propose(&mut self, now: Time, purpose: Purpose, body: record::Body) -> bool {
        let proposal = Proposal {
            purpose,
            since: now,
            renounced: Vec::new(),
            changed: Vec::new(),
            reply: None,
        };
        self.submit(proposal, body)
    }

    /// Submits a proposal; returns false if one for its purpose is open or the queue is full.
    pub(crate) fn submit(&mut self, proposal: Proposal, body: record::Body) -> bool {
        self.submit_as(rand::rng().random(), proposal, body)
    }

    /// Submits a proposal under a given id; returns false in the same cases.
    pub(crate) fn submit_as(
        &mut self,
        id: RecordId,
        proposal: Proposal,
        body: record::Body,
    ) -> bool {
        if self.pending(&proposal.purpose) {
            return false;
        }
        let generation = self.generation.0;
        let record = Record { id: id.to_vec(), body: Some(body), generation };
        if !self.appender.propose(id, record) {
            return false;
        }
        self.open.insert(id, proposal);
        true
    }

    /// Returns true while the standby role for a unit is renounced for an open proposal.
    pub(crate) fn renounces(&self, workspace: &Name, unit: UnitId) -> bool {
        let mut renounced = self.open.values().flat_map(|proposal| &proposal.renounced);
        renounced.any(|(name, other, _)| *other == unit && name == workspace)
    }

    /// Returns those of the renounced roles that no open proposal renounces.
    pub(crate) fn without_renounced(
        &self,
        renounced: &[(Name, UnitId, Offset)],
    ) -> Vec<(Name, UnitId, Offset)> {
        let free =
            |(workspace, unit, _): &&(Name, UnitId, Offset)| !self.renounces(workspace, *unit);
        renounced.iter().filter(free).cloned().collect()
    }

    /// Appends a record of a generation without tracking its outcome.
    pub(crate) fn append(&self, generation: Generation, record: Record) {
        let record = Record { generation: generation.0, ..record };
        if let Ok(id) = RecordId::try_from(record.id.as_slice()) {
            self.appender.propose(id, record);
        }
    }

    /// Returns true when an abandoned proposal with this id may have been appended.
    pub(crate) fn in_doubt(&self, id: &RecordId) -> bool {
        self.in_doubt.0.contains(id)
    }

    /// Replaces the reply channel of an open proposal; returns false when there is none.
    pub(crate) fn set_reply(&mut self, id: &RecordId, reply: &Sender<PublishReply>) -> bool {
        let proposal = self.open.get_mut(id);
        proposal.is_some_and(|proposal| {
            proposal.reply = Some(reply.clone());
            true
        })
    }

    /// Removes and returns the proposal that a folded record settles.
    pub(crate) fn settle(&mut self, id: &RecordId, outcome: &Outcome) -> Option<Proposal> {
        if matches!(outcome, Outcome::Duplicate) {
            return None;
        }
        self.appender.settle(id);
        self.open.remove(id)
    }

    /// Drops timed-out proposals that may be repeated under a new id.
    ///
    /// A record with renounced roles or changed keys is kept: its outcome must be known before they
    /// may be used again. So is a leave, even without such roles: the rejection of a second one
    /// would permit takeovers, which the first one may still end. A join must not be folded twice.
    pub(crate) fn expire(&mut self, now: Time) {
        let (appender, in_doubt) = (&self.appender, &mut self.in_doubt);
        self.open.retain(|id, proposal| {
            let keep = matches!(proposal.purpose, Purpose::Join | Purpose::Leave)
                || !proposal.renounced.is_empty()
                || !proposal.changed.is_empty()
                || now.since(proposal.since) < PROPOSAL_TIMEOUT
                || (appender.attempt_in_progress(id)
                    && now.since(proposal.since) < PROPOSAL_TIMEOUT + ATTEMPT_GRACE);
            if !keep {
                in_doubt.abandon(appender, id, proposal);
            }
            keep
        });
    }

    /// Abandons all proposals, when the identity that made them has ended.
    pub(crate) fn clear(&mut self) {
        for (id, proposal) in self.open.drain() {
            self.in_doubt.abandon(&self.appender, &id, &proposal);
        }
    }
}

impl InDoubt {
    /// Stops append attempts; answers the operator only if the record is certainly not appended.
    fn abandon(&mut self, appender: &Appender, id: &RecordId, proposal: &Proposal) {
        let may_exist = appender.settle(id);
        let Some(reply) = &proposal.reply else { return };
        if may_exist {
            self.add(*id);
        } else if !self.0.contains(id) {
            // The operator may have disconnected.
            let _ = reply.send(PublishReply::NotAppended);
        }
    }

    fn add(&mut self, id: RecordId) {
        if self.0.len() == MAX_IN_DOUBT {
            self.0.pop_front();
        }
        self.0.push_back(id);
    }
}

#[cfg(test)]
mod tests;
