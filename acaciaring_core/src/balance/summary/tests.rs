//! Tests of what a member knows of its own units.

use super::OwnedUnit;
use crate::id::{MemberId, UnitId};

// A block of two busy slots is taken apart. Added and taken off in another order, their rates leave
// -2.8e-17 requests a second; the time that such a block takes to drain cannot be stated, and the
// control thread of a member ended over it.
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
