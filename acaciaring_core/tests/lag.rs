//! Delays of messages between processes whose clocks have nothing in common.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::lag::DelayEstimator;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The receiver started long after the sender.
const CLOCK_OFFSET_MS: u64 = 5_000_000;

// A link loses packets, and a request gets to its server's member after 700 ms. Its caller wanted
// an answer within 500 ms and has gone; only the delay tells.
#[test]
fn a_delayed_message_is_detected() {
    let mut estimator = DelayEstimator::default();
    for n in 0..20 {
        let transit = 1 + n % 3;
        let delay = estimator
            .delay(Time::from_millis(1000 + n * 10 + transit), ms(CLOCK_OFFSET_MS + n * 10));
        assert!(delay <= ms(2), "{delay:?}");
    }
    assert_eq!(estimator.delay(Time::from_millis(2000 + 701), ms(CLOCK_OFFSET_MS + 1000)), ms(700));
}

// The very first message was itself held up. Until a faster one comes nothing better is known, and
// no request may lose time for it.
#[test]
fn the_first_message_counts_as_fast() {
    let mut estimator = DelayEstimator::default();
    assert_eq!(estimator.delay(Time::from_millis(9000), ms(10)), ms(0));
    assert_eq!(estimator.delay(Time::from_millis(9100), ms(500)), ms(0));
    assert_eq!(estimator.delay(Time::from_millis(9200), ms(580)), ms(20));
}

// One clock runs faster by a thousandth, for an hour. Requests must not seem to be late for it.
#[test]
fn drift_is_no_delay() {
    let mut estimator = DelayEstimator::default();
    for second in 0..3600 {
        let now = Time::from_millis(second * 1001);
        let delay = estimator.delay(now, ms(CLOCK_OFFSET_MS + second * 1000));
        assert!(delay <= ms(61), "{delay:?} after {second} s");
    }
}
