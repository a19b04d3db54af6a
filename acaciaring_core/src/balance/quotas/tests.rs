use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{Donor, quota};
use crate::id::MemberId;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    // Donors decide independently. Together they must give exactly what is wanted or all they can,
    // and end level to within one.
    #[test]
    fn donors_together_give_exactly_the_wanted_number(
        counts in prop::collection::vec((0u32..200, 0u32..60), 1..40),
        wanted in 0u32..300,
        floor in 0u32..100,
    ) {
        let donors: Vec<_> = (10..)
            .zip(&counts)
            .map(|(id, (count, available))| Donor { id: MemberId(id), count: *count, available: *available })
            .collect();
        let quotas: Vec<_> =
            donors.iter().map(|donor| quota(donor.id, MemberId(1), &donors, wanted, floor)).collect();
        let most: u32 = donors.iter().map(|g| g.count.saturating_sub(floor).min(g.available)).sum();
        prop_assert_eq!(quotas.iter().sum::<usize>(), wanted.min(most) as usize);
        let left = donors.iter().zip(&quotas).map(|(donor, quota)| donor.count as usize - quota);
        let lowest = left.zip(&quotas).filter(|(_, quota)| **quota > 0).map(|(left, _)| left).min();
        for (donor, quota) in donors.iter().zip(&quotas) {
            let spare = donor.available as usize > *quota;
            let left = donor.count as usize - quota;
            prop_assert!(!spare || lowest.is_none_or(|lowest| left <= lowest + 1));
        }
    }
}
