//! Tests of the summary of own units.

use super::OwnedUnit;
use crate::id::{MemberId, UnitId};

// Subtracting rates in another order than they were added leaves a tiny negative sum through
// rounding; computing a drain time from it would panic the control thread.
#[test]
fn a_block_split_into_its_units_keeps_no_negative_rate() {
    let rates = [0.1, 0.2, 0.3];
    let mut group =
        OwnedUnit { unit: UnitId::slot(0), block: Some(0), standby: MemberId(2), rate: 0.0 };
    for rate in rates {
        group.rate += rate;
    }
    for rate in [0.3, 0.2, 0.1].into_iter().chain(rates) {
        group.subtract_rate(rate);
        assert!(group.rate >= 0.0, "{} requests a second", group.rate);
    }
}
