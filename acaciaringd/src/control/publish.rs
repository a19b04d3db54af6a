//! Documents that operators publish through this member.

use std::collections::VecDeque;

use acaciaring_core::Time;
use acaciaring_core::state::{Folded, RecordId};
use acaciaring_schema::log::{Publish, record};
use crossbeam_channel::Sender;

use super::Control;
use super::event::PublishReply;
use super::proposal::{Proposal, Purpose};

/// Answers that are kept for a repeat.
const KEPT: usize = 256;

/// Answers to recent publishes, so that a repeat with the same id gets the same one.
#[derive(Debug, Default)]
pub(super) struct Answers {
    kept: VecDeque<(RecordId, PublishReply)>,
}

impl Answers {
    fn find(&self, id: &RecordId) -> Option<&PublishReply> {
        self.kept.iter().find(|(other, _)| other == id).map(|(_, reply)| reply)
    }

    fn keep(&mut self, id: RecordId, reply: PublishReply) {
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back((id, reply));
    }
}

impl Control {
    /// Appends a document on behalf of an operator, once for all repeats of an id.
    pub(super) fn publish(
        &mut self,
        now: Time,
        id: RecordId,
        publish: Publish,
        reply: &Sender<PublishReply>,
    ) {
        if let Some(answer) = self.settled_answer(&id) {
            // The operator may have gone away.
            let _ = reply.send(answer);
            return;
        }
        if self.proposals.answer_to(&id, reply) {
            return;
        }
        let proposal = Proposal {
            purpose: Purpose::Publish(id),
            since: now,
            renounced: Vec::new(),
            changed: Vec::new(),
            reply: Some(reply.clone()),
        };
        let queued = self.proposals.submit_as(id, proposal, record::Body::Publish(publish));
        if !queued && !self.proposals.in_doubt(&id) {
            // The operator may have gone away.
            let _ = reply.send(PublishReply::NotAppended);
        }
    }

    fn settled_answer(&self, id: &RecordId) -> Option<PublishReply> {
        let known = self.answers.find(id).cloned();
        known.or_else(|| self.state.is_recent(id).then_some(PublishReply::Before))
    }

    /// Tells the operator, and a repeat, what became of an own publish.
    pub(super) fn published(&mut self, proposal: &Proposal, record: &Folded) {
        let Purpose::Publish(id) = proposal.purpose else { return };
        let answer =
            PublishReply::Folded { offset: record.offset, outcome: record.outcome.clone() };
        if let Some(reply) = &proposal.reply {
            // The operator may have gone away.
            let _ = reply.send(answer.clone());
        }
        self.answers.keep(id, answer);
    }
}
