//! When the log is read next.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::pace::ReadPacer;

const RATE: u32 = 200;

/// A member of so many that has just read up to an offset.
fn reader(members: usize, next: u64) -> ReadPacer {
    let mut pace = ReadPacer::new();
    pace.set_rate(members, RATE);
    pace.folded(next);
    pace.answered(Time::from_millis(1000));
    pace
}

#[test]
fn the_first_read_begins_at_once() {
    assert_eq!(ReadPacer::new().remaining(Time::ZERO), Duration::ZERO);
    assert_eq!(ReadPacer::new().next(), 1);
}

#[test]
fn the_rest_grows_with_the_members_and_is_bounded() {
    let rest = |members| reader(members, 1).interval().as_millis();
    assert_eq!([8, 10, 66, 100].map(rest), [40, 50, 330, 500]);
    assert_eq!(rest(usize::MAX), 1000);
}

/// Records come one after the other, one each five milliseconds.
/// Each member reads after its rest, and all together keep to the rate.
#[test]
fn all_members_together_keep_to_the_rate() {
    for members in [8_u32, 66] {
        let mut pace = reader(members as usize, 1);
        let mut reads = 0;
        for now in (1000..11_000).map(Time::from_millis) {
            if pace.remaining(now).is_zero() {
                pace.answered(now);
                reads += 1;
            }
        }
        assert!(reads * members <= 10 * RATE, "{members} members, {reads} reads each");
        assert!(reads * members >= 9 * RATE, "{members} members, {reads} reads each");
    }
}

/// The own record was appended, or another member speaks of one that was not read here.
/// The wait for it is not prolonged by the rest, and ends with the record.
#[test]
fn a_needed_record_is_read_at_once() {
    let mut pace = reader(66, 7);
    let now = Time::from_millis(1010);
    assert_eq!(pace.remaining(now), Duration::from_millis(320));
    pace.require(9);
    assert_eq!(pace.remaining(now), Duration::ZERO);
    pace.answered(now);
    pace.folded(8);
    assert_eq!(pace.remaining(now), Duration::ZERO, "it did not come with the first read");
    pace.folded(9);
    assert_eq!(pace.remaining(now), Duration::from_millis(330));
}

#[test]
fn what_was_read_before_is_not_needed() {
    let mut pace = reader(66, 7);
    pace.require(7);
    assert_eq!(pace.remaining(Time::from_millis(1000)), Duration::from_millis(330));
}

/// The answer to an append was lost: whether the record stands in the log is seen by a read only.
#[test]
fn a_record_in_doubt_is_looked_for_at_once() {
    let mut pace = reader(66, 7);
    pace.expect_record();
    assert_eq!(pace.remaining(Time::from_millis(1000)), Duration::ZERO);
    pace.folded(8);
    assert_eq!(pace.remaining(Time::from_millis(1000)), Duration::from_millis(330));
}
