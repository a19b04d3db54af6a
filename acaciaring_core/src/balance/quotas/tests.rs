use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{Giver, quota};
use crate::id::MemberId;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    // Givers decide without asking each other. Together they give what is wanted, or all they can, and
    // never more; and none gives while another keeps two more than it.
    #[test]
    fn givers_together_give_just_what_is_wanted(
        counts in prop::collection::vec((0u32..200, 0u32..60), 1..40),
        wanted in 0u32..300,
        floor in 0u32..100,
    ) {
        let givers: Vec<_> = (10..)
            .zip(&counts)
            .map(|(id, (count, available))| Giver { id: MemberId(id), count: *count, available: *available })
            .collect();
        let quotas: Vec<_> =
            givers.iter().map(|giver| quota(giver.id, MemberId(1), &givers, wanted, floor)).collect();
        let most: u32 = givers.iter().map(|g| g.count.saturating_sub(floor).min(g.available)).sum();
        prop_assert_eq!(quotas.iter().sum::<usize>(), wanted.min(most) as usize);
        let left = givers.iter().zip(&quotas).map(|(giver, quota)| giver.count as usize - quota);
        let lowest = left.zip(&quotas).filter(|(_, quota)| **quota > 0).map(|(left, _)| left).min();
        for (giver, quota) in givers.iter().zip(&quotas) {
            let spare = giver.available as usize > *quota;
            let left = giver.count as usize - quota;
            prop_assert!(!spare || lowest.is_none_or(|lowest| left <= lowest + 1));
        }
    }
}
