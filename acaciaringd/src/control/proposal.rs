//! Proposals of this member that are not yet settled.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use acaciaring_core::state::Outcome;
use acaciaring_core::{MemberId, Name, Offset, Time, UnitId};
use acaciaring_schema::log::{Record, record};
use crossbeam_channel::Sender;
use rand::Rng;

use super::event::PublishReply;
use crate::appender::{Appender, RecordId};

/// Time after which a proposal that was not seen in the log is proposed anew.
///
/// Only proposals that name a version, or that are idempotent, are dropped this
/// way: the first to be folded makes the others stale.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Further time for the outcome of a try that is under way, so that the operator gets a final answer.
const ATTEMPT_GRACE: Duration = Duration::from_secs(2);

/// Records in doubt that are kept.
const MAX_IN_DOUBT: usize = 256;

/// What a proposal is for; at most one of each is open.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    Join,
    Attach,
    Lessors,
    Assign(Name),
    Switchover(Name),
    Handoff(Name),
    Split(Name),
    Merge(Name),
    Leave,
    Exit,
    Evict(MemberId),
    Publish(RecordId),
}

/// An open proposal.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(crate) purpose: Purpose,
    pub(crate) since: Time,
    /// Standby roles that are renounced until the outcome is known.
    pub(crate) renounced: Vec<(Name, UnitId, Offset)>,
    /// Hot keys of a split or merge whose outcome is not known.
    pub(crate) changed: Vec<(Name, UnitId)>,
    pub(crate) reply: Option<Sender<PublishReply>>,
}

/// Open proposals.
pub(crate) struct Proposals {
    appender: Appender,
    open: HashMap<RecordId, Proposal>,
    in_doubt: InDoubt,
}

/// Records that were given up although they may have been appended.
#[derive(Debug, Default)]
struct InDoubt(VecDeque<RecordId>);

impl Proposals {
    pub(crate) fn new(appender: Appender) -> Self {
        Self { appender, open: HashMap::new(), in_doubt: InDoubt::default() }
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

    /// Proposes a record with all that depends on its outcome.
    pub(crate) fn submit(&mut self, proposal: Proposal, body: record::Body) -> bool {
        self.submit_as(rand::rng().random(), proposal, body)
    }

    /// Proposes a record under an id that was chosen elsewhere.
    pub(crate) fn submit_as(
        &mut self,
        id: RecordId,
        proposal: Proposal,
        body: record::Body,
    ) -> bool {
        if self.pending(&proposal.purpose) {
            return false;
        }
        let record = Record { id: id.to_vec(), body: Some(body) };
        if !self.appender.propose(id, record) {
            return false;
        }
        self.open.insert(id, proposal);
        true
    }

    /// Appends a record whose outcome nobody waits for.
    pub(crate) fn append(&self, record: Record) {
        if let Ok(id) = RecordId::try_from(record.id.as_slice()) {
            self.appender.propose(id, record);
        }
    }

    /// Returns true when an earlier proposal with this id may have been appended.
    pub(crate) fn in_doubt(&self, id: &RecordId) -> bool {
        self.in_doubt.0.contains(id)
    }

    /// Gives an open proposal another to answer to; returns false when there is none.
    pub(crate) fn set_reply(&mut self, id: &RecordId, reply: &Sender<PublishReply>) -> bool {
        let proposal = self.open.get_mut(id);
        proposal.is_some_and(|proposal| {
            proposal.reply = Some(reply.clone());
            true
        })
    }

    /// Takes the proposal that a folded record settles.
    pub(crate) fn settle(&mut self, id: &RecordId, outcome: &Outcome) -> Option<Proposal> {
        if matches!(outcome, Outcome::Duplicate) {
            return None;
        }
        self.appender.settle(id);
        self.open.remove(id)
    }

    /// Drops proposals that may be repeated under a new id.
    ///
    /// A record whose role was renounced stays: its outcome must be known before
    /// the role may be used again. So does a join, which must not be folded twice.
    pub(crate) fn expire(&mut self, now: Time) {
        let (appender, in_doubt) = (&self.appender, &mut self.in_doubt);
        self.open.retain(|id, proposal| {
            let keep = proposal.purpose == Purpose::Join
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

    /// Forgets all proposals of an identity that was given up.
    pub(crate) fn clear(&mut self) {
        for (id, proposal) in self.open.drain() {
            self.in_doubt.abandon(&self.appender, &id, &proposal);
        }
    }
}

impl InDoubt {
    /// Ends the tries of a proposal; an operator hears of it only if nothing was or will be appended.
    fn abandon(&mut self, appender: &Appender, id: &RecordId, proposal: &Proposal) {
        let may_exist = appender.settle(id);
        let Some(reply) = &proposal.reply else { return };
        if may_exist {
            self.add(*id);
        } else if !self.0.contains(id) {
            // The operator may have gone away.
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
