//! Publication of operators' documents through this member.

use std::collections::VecDeque;

use acaciaring_core::Time;
use acaciaring_core::state::{Folded, RecordId};
use acaciaring_schema::log::{Publish, record};
use crossbeam_channel::Sender;

use super::Control;
use super::event::PublishReply;
use super::proposal::{Proposal, Purpose};

/// Maximum number of replies that are kept for retries.
const MAX_REPLIES: usize = 256;

/// Replies to recent publishes, so that a retry with the same id gets the same reply.
#[derive(Debug, Default)]
pub(super) struct PublishReplies {
    replies: VecDeque<(RecordId, PublishReply)>,
}

impl PublishReplies {
    fn find(&self, id: &RecordId) -> Option<&PublishReply> {
        self.replies.iter().find(|(other, _)| other == id).map(|(_, reply)| reply)
    }

    fn insert(&mut self, id: RecordId, reply: PublishReply) {
        if self.replies.len() == MAX_REPLIES {
            self.replies.pop_front();
        }
        self.replies.push_back((id, reply));
    }
}

impl Control {
    /// Appends a document on behalf of an operator, once for all retries with the same id.
    pub(super) fn publish(
        &mut self,
        now: Time,
        id: RecordId,
        publish: Publish,
        reply: &Sender<PublishReply>,
    ) {
        if let Some(answer) = self.known_reply(&id) {
            // The operator may have disconnected.
            let _ = reply.send(answer);
            return;
        }
        if self.proposals.set_reply(&id, reply) {
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
            // The operator may have disconnected.
            let _ = reply.send(PublishReply::NotAppended);
        }
    }

    fn known_reply(&self, id: &RecordId) -> Option<PublishReply> {
        let known = self.publish_replies.find(id).cloned();
        known.or_else(|| self.state.is_recent(id).then_some(PublishReply::Before))
    }

    /// Sends the outcome of a publish to the operator and stores it for retries.
    pub(super) fn published(&mut self, proposal: &Proposal, record: &Folded) {
        let Purpose::Publish(id) = proposal.purpose else { return };
        let answer =
            PublishReply::Folded { offset: record.offset, outcome: record.outcome.clone() };
        if let Some(reply) = &proposal.reply {
            // The operator may have disconnected.
            let _ = reply.send(answer.clone());
        }
        self.publish_replies.insert(id, answer);
    }
}
