//! Tests of the pauses between tries.

use std::time::Duration;

use super::Backoff;

// The log is away for a while. Each try waits longer than the one before, none longer than the
// longest pause, and after the log has answered once the pauses begin anew.
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
