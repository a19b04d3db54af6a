//! Delays of messages between processes whose clocks have nothing in common.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::lag::DelayEstimator;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The receiver started long after the sender.
const APART: u64 = 5_000_000;

// A link loses packets, and a request gets to its server's member after 700 ms. Its caller wanted
// an answer within 500 ms and has gone; only the delay tells.
#[test]
fn a_message_that_was_held_up_is_known() {
    let mut lag = DelayEstimator::default();
    for n in 0..20 {
        let way = 1 + n % 3;
        let delay = lag.delay(Time::from_millis(1000 + n * 10 + way), ms(APART + n * 10));
        assert!(delay <= ms(2), "{delay:?}");
    }
    assert_eq!(lag.delay(Time::from_millis(2000 + 701), ms(APART + 1000)), ms(700));
}

// The very first message was itself held up. Until a faster one comes nothing better is known, and
// no request may lose time for it.
#[test]
fn the_first_message_counts_as_fast() {
    let mut lag = DelayEstimator::default();
    assert_eq!(lag.delay(Time::from_millis(9000), ms(10)), ms(0));
    assert_eq!(lag.delay(Time::from_millis(9100), ms(500)), ms(0));
    assert_eq!(lag.delay(Time::from_millis(9200), ms(580)), ms(20));
}

// One clock runs faster by a thousandth, for an hour. Requests must not seem to be late for it.
#[test]
fn drift_is_no_delay() {
    let mut lag = DelayEstimator::default();
    for second in 0..3600 {
        let now = Time::from_millis(second * 1001);
        let delay = lag.delay(now, ms(APART + second * 1000));
        assert!(delay <= ms(61), "{delay:?} after {second} s");
    }
}
