//! Tests of message delay estimation between processes with unsynchronised clocks.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::lag::DelayEstimator;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Offset between the clocks of sender and receiver.
const CLOCK_OFFSET_MS: u64 = 5_000_000;

// Guards against a request that runs after its caller has given up because its delay in transit
// went unnoticed.
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

// Guards against requests that lose time because the first message was slow: until a faster one
// arrives, it counts as not delayed.
#[test]
fn the_first_message_counts_as_fast() {
    let mut estimator = DelayEstimator::default();
    assert_eq!(estimator.delay(Time::from_millis(9000), ms(10)), ms(0));
    assert_eq!(estimator.delay(Time::from_millis(9100), ms(500)), ms(0));
    assert_eq!(estimator.delay(Time::from_millis(9200), ms(580)), ms(20));
}

// Guards against clock drift that is mistaken for delay.
#[test]
fn drift_is_no_delay() {
    let mut estimator = DelayEstimator::default();
    for second in 0..3600 {
        let now = Time::from_millis(second * 1001);
        let delay = estimator.delay(now, ms(CLOCK_OFFSET_MS + second * 1000));
        assert!(delay <= ms(61), "{delay:?} after {second} s");
    }
}
