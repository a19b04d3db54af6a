use std::time::Duration;

use acaciaring_core::Time;

use super::LogLimiter;

fn at(millis: u64) -> Time {
    Time::from_start(Duration::from_millis(millis))
}

// Guards against suppressed lines that are not reported: the first line of the next second must
// carry their number.
#[test]
fn lines_beyond_the_bound_are_counted() {
    let limiter = LogLimiter::new(2);
    let admitted: Vec<_> = (0..5).map(|n| limiter.admit(at(1000 + n))).collect();
    assert_eq!(admitted, [Some(0), Some(0), None, None, None]);
    assert_eq!(limiter.admit(at(2001)), Some(3));
    assert_eq!(limiter.admit(at(2002)), Some(0));
    assert_eq!(limiter.admit(at(2003)), None);
}
