//! Tests of the exponential backoff.

use std::time::Duration;

use super::Backoff;

// Guards against delays that exceed the limit or do not start again at the first one after a reset.
#[test]
fn pauses_double_up_to_the_longest_and_begin_anew() {
    let (first, longest) = (Duration::from_millis(100), Duration::from_secs(1));
    let mut backoff = Backoff::new(first, longest);
    for most in [100, 200, 400, 800, 1000, 1000].map(Duration::from_millis) {
        let pause = backoff.pause();
        assert!(most / 2 <= pause && pause <= most, "{pause:?} where {most:?} is the most");
    }
    backoff.reset();
    assert!(backoff.pause() <= first);
}
