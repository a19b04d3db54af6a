use std::time::Duration;

use super::Pulse;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// A machine stands still for 400 ms and goes on. What is read in the next moments has waited for
// about as long; a fifth of a second later nothing waits any more.
#[test]
fn lateness_is_seen_at_once_and_fades_soon() {
    let pulse = Pulse::default();
    assert_eq!(pulse.lag(), ms(0));
    pulse.note(ms(400));
    assert_eq!(pulse.lag(), ms(400));
    for _ in 0..4 {
        pulse.note(ms(0));
    }
    assert_eq!(pulse.lag(), ms(25));
    pulse.note(ms(100));
    assert_eq!(pulse.lag(), ms(100));
}
