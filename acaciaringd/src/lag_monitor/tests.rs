use std::time::Duration;

use super::LagMonitor;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Guards against a stall that is not reported at once, or that is still reported after the backlog
// has been read.
#[test]
fn lateness_is_seen_at_once_and_fades_soon() {
    let monitor = LagMonitor::default();
    assert_eq!(monitor.lag(), ms(0));
    monitor.record(ms(400));
    assert_eq!(monitor.lag(), ms(400));
    for _ in 0..4 {
        monitor.record(ms(0));
    }
    assert_eq!(monitor.lag(), ms(25));
    monitor.record(ms(100));
    assert_eq!(monitor.lag(), ms(100));
}
