//! Transitions of the holder and the lessors in the lease model.

use acaciaring_core::lease::{Holder, Lessor};

use super::{
    Change, Entry, HOLDERS, LeaseModel, LeaseState, Message, SECOND_VERSION, id, ids,
    insert_sorted, settings,
};
use crate::mutation::Mutation;

impl LeaseModel {
    pub(super) fn renew(&self, state: &mut LeaseState, message: Message) {
        let Message::Renew(lessor, holder, seq, version) = message else { return };
        if state.replaced && lessor == 0 {
            insert_sorted(&mut state.messages, Message::Grant(lessor, holder, seq, false, 0));
            return;
        }
        // A lessor whose lease expired as its death was recorded continues to grant for `abandon`.
        let abandoned = state.log.iter().any(|entry| match entry {
            Entry::Death(at) => lessor == 0 && state.now >= *at + settings().abandon,
            Entry::SecondSet => false,
        });
        let now = state.now;
        let regrant = !abandoned && self.mutated(Mutation::GrantAfterVote);
        let grant = self.lessors.update(&mut state.lessors[lessor], |lessor| {
            let grant = lessor.renew(now, holder, version, abandoned);
            if grant.granted || !regrant {
                return grant;
            }
            *lessor = Lessor::new(lessor.id(), settings());
            lessor.renew(now, holder, version, false)
        });
        let answer = Message::Grant(lessor, holder, seq, grant.granted, grant.version);
        insert_sorted(&mut state.messages, answer);
    }

    pub(super) fn grant(&self, state: &mut LeaseState, message: Message) {
        let Message::Grant(lessor, holder, mut seq, granted, version) = message else { return };
        let now = state.now;
        self.holders.update(&mut state.holder, |me| {
            if holder != me.id() {
                return;
            }
            if self.mutated(Mutation::CountFromReceipt) {
                let renewals = me.due(now);
                let renewal = renewals.iter().find(|renewal| renewal.lessor == id(lessor));
                seq = renewal.map_or(seq, |renewal| renewal.seq);
            }
            me.handle_grant(now, id(lessor), seq, granted, version);
        });
    }

    pub(super) fn install(&self, state: &mut LeaseState) {
        let dead = state.log.iter().any(|entry| matches!(entry, Entry::Death(_)));
        let dead = dead && !self.mutated(Mutation::DeadSupersedes);
        let now = state.now;
        self.holders.update(&mut state.holder, |holder| {
            if self.mutated(Mutation::OldSetDropped) {
                *holder = Holder::new(holder.id(), now, settings());
            }
            holder.install(SECOND_VERSION, &ids(&self.second), |member| !(dead && member == id(0)));
        });
        state.change = Change::Installed;
    }

    pub(super) fn vote(&self, state: &mut LeaseState, lessor: usize) {
        let early = self.mutated(Mutation::VoteEarly);
        let now = if early { state.now + settings().term } else { state.now };
        for holder in HOLDERS {
            let vote = self
                .lessors
                .update(&mut state.lessors[lessor], |lessor| lessor.vote(now, holder, true));
            if let Some(vote) = vote {
                insert_sorted(&mut state.votes, (id(lessor), vote.member, vote.version));
            }
        }
    }

    pub(super) fn restart_lessor(&self, state: &mut LeaseState) {
        if self.mutated(Mutation::RestartKeepsIdentity) {
            state.lessors[0] = self.lessors.intern(Lessor::new(id(0), settings()));
        } else {
            state.replaced = true;
        }
    }
}
