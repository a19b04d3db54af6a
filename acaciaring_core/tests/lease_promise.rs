//! Checks that a lessor change never shortens a lease that the holder has promised to its upstream.

use std::time::Duration;

use acaciaring_core::lease::{Holder, LeaseSettings};
use acaciaring_core::{MemberId, Time};
use proptest::prelude::*;

/// Number of members from which lessor sets are drawn.
const LESSORS: usize = 6;

/// One step of a schedule.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, and the marked lessors grant the renewals that are due.
    Renew { millis: u64, grants: [bool; LESSORS] },
    /// Three consecutive lessors are proposed if they are ready, or else prepared.
    Exchange { first: usize },
    /// The proposed set is read back from the log.
    ReadBack,
}

fn step() -> impl Strategy<Value = Step> {
    let renew = (1_u64..1200, any::<[bool; LESSORS]>())
        .prop_map(|(millis, grants)| Step::Renew { millis, grants });
    let exchange = (0..LESSORS).prop_map(|first| Step::Exchange { first });
    prop_oneof![4 => renew, 2 => exchange, 1 => Just(Step::ReadBack)]
}

/// Returns three consecutive lessors from the given index, sorted by id.
fn set(first: usize) -> Vec<MemberId> {
    let mut ids: Vec<u64> = (1..).take(LESSORS).collect();
    ids.rotate_left(first);
    ids.truncate(3);
    ids.sort_unstable();
    ids.into_iter().map(MemberId).collect()
}

// Upstreams hold units until the lease end known at their last report, so the end must never move
// back while the lease holds.
proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]
    #[test]
    fn the_end_of_a_held_lease_never_moves_back(steps in prop::collection::vec(step(), 1..60)) {
        let settings = LeaseSettings { term: Duration::from_secs(3), ..LeaseSettings::default() };
        let mut holder = Holder::new(MemberId(10), Time::ZERO, settings);
        let (mut now, mut version, mut proposed) = (Time::from_millis(1), 10, set(0));
        holder.install(version, &proposed, |_| true);
        let mut promised = Time::ZERO;
        for step in steps {
            match step {
                Step::Renew { millis, grants } => {
                    now = now + Duration::from_millis(millis);
                    for renewal in holder.due(now) {
                        let at = usize::try_from(renewal.lessor.0 - 1).expect("a small number");
                        if grants[at] {
                            holder.handle_grant(now, renewal.lessor, renewal.seq, true, version);
                        }
                    }
                }
                Step::Exchange { first } if !holder.proposing() && holder.holds(now) => {
                    proposed = set(first);
                    if holder.ready(now, &proposed) {
                        holder.propose(&proposed);
                    } else {
                        holder.prepare(&proposed);
                    }
                }
                Step::ReadBack if holder.proposing() => {
                    version += 1;
                    holder.install(version, &proposed, |_| true);
                }
                Step::Exchange { .. } | Step::ReadBack => {}
            }
            let until = holder.until().unwrap_or(Time::ZERO);
            prop_assert!(until >= promised || promised <= now, "{promised:?}, then {until:?}");
            promised = promised.max(until);
        }
    }
}
