use std::time::Duration;

use acaciaring_core::Time;

use super::LogLimiter;

fn at(millis: u64) -> Time {
    Time::from_start(Duration::from_millis(millis))
}

// A flood of refusals lasts for two seconds. Each second has its few lines, and the first line of
// the next second tells how many there would have been: nothing vanishes without a trace.
#[test]
fn lines_beyond_the_bound_are_counted() {
    let limiter = LogLimiter::new(2);
    let admitted: Vec<_> = (0..5).map(|n| limiter.admit(at(1000 + n))).collect();
    assert_eq!(admitted, [Some(0), Some(0), None, None, None]);
    assert_eq!(limiter.admit(at(2001)), Some(3));
    assert_eq!(limiter.admit(at(2002)), Some(0));
    assert_eq!(limiter.admit(at(2003)), None);
}
