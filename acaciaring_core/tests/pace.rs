//! Tests of the pacing of log reads.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::pace::{ReadPacer, poll_wait};

const RATE: u32 = 200;

/// Returns the pacer of one of `members` members that has read the log up to `next`.
fn reader(members: usize, next: u64) -> ReadPacer {
    let mut pacer = ReadPacer::new();
    pacer.set_rate(members, RATE);
    pacer.folded(next);
    pacer.answered(Time::from_millis(1000));
    pacer
}

#[test]
fn the_first_read_begins_at_once() {
    assert_eq!(ReadPacer::new().remaining(Time::ZERO), Duration::ZERO);
    assert_eq!(ReadPacer::new().next(), 1);
}

#[test]
fn the_read_interval_grows_with_the_members_and_is_bounded() {
    let interval = |members| reader(members, 1).interval().as_millis();
    assert_eq!([8, 10, 66, 100].map(interval), [40, 50, 330, 500]);
    assert_eq!(interval(usize::MAX), 1000);
}

/// Guards against a read rate that grows with the members: with frequent records, all of them
/// together stay within the limit.
#[test]
fn all_members_together_keep_to_the_rate() {
    for members in [8_u32, 66] {
        let mut pacer = reader(members as usize, 1);
        let mut reads = 0;
        for now in (1000..11_000).map(Time::from_millis) {
            if pacer.remaining(now).is_zero() {
                pacer.answered(now);
                reads += 1;
            }
        }
        assert!(reads * members <= 10 * RATE, "{members} members, {reads} reads each");
        assert!(reads * members >= 9 * RATE, "{members} members, {reads} reads each");
    }
}

/// Guards against a pacing delay for a required record, such as an own append or an offset named by
/// another member.
#[test]
fn a_needed_record_is_read_at_once() {
    let mut pacer = reader(66, 7);
    let now = Time::from_millis(1010);
    assert_eq!(pacer.remaining(now), Duration::from_millis(320));
    pacer.require(9);
    assert_eq!(pacer.remaining(now), Duration::ZERO);
    pacer.answered(now);
    pacer.folded(8);
    assert_eq!(pacer.remaining(now), Duration::ZERO, "the first read did not include it");
    pacer.folded(9);
    assert_eq!(pacer.remaining(now), Duration::from_millis(330));
}

#[test]
fn what_was_read_before_is_not_needed() {
    let mut pacer = reader(66, 7);
    pacer.require(7);
    assert_eq!(pacer.remaining(Time::from_millis(1000)), Duration::from_millis(330));
}

/// Guards against a pacing delay after a lost append answer, when only a read shows whether the
/// record is in the log.
#[test]
fn a_record_in_doubt_is_looked_for_at_once() {
    let mut pacer = reader(66, 7);
    pacer.expect_record();
    assert_eq!(pacer.remaining(Time::from_millis(1000)), Duration::ZERO);
    pacer.folded(8);
    assert_eq!(pacer.remaining(Time::from_millis(1000)), Duration::from_millis(330));
}

/// Guards against members that all wait for tens of seconds at a service that has become silent.
#[test]
fn few_members_wait_for_a_short_time_and_many_keep_their_common_rate() {
    let longest = Duration::from_secs(25);
    let wait = |members, random| poll_wait(members, longest, random).as_millis();
    assert_eq!([wait(0, 0.5), wait(3, 0.0), wait(3, 1.0)], [1000, 500, 1500]);
    assert_eq!([wait(9, 0.5), wait(66, 0.5)], [2250, 16_500]);
    assert_eq!(wait(470, 1.0), 25_000);
    assert_eq!(poll_wait(9, Duration::from_millis(300), 1.0), Duration::from_millis(300));
}
