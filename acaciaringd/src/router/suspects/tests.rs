//! Tests of how long a suspect member is avoided.

use std::time::Duration;

use acaciaring_core::{MemberId, Time};

use super::{MAX_SUSPICION, MIN_SUSPICION, Suspects};

const DEAD: MemberId = MemberId(7);

// Guards against a dead owner that costs many requests the connect timeout while the log is down
// and cannot evict it.
#[test]
fn tries_at_a_dead_owner_get_rare() {
    let suspects = Suspects::default();
    let start = Time::ZERO + Duration::from_secs(1);
    assert!(!suspects.should_avoid(start, DEAD));
    suspects.add(start, DEAD);
    let end = start + Duration::from_mins(1);
    let (mut now, mut tries) = (start, Vec::new());
    while now < end {
        if !suspects.should_avoid(now, DEAD) {
            assert!(suspects.should_avoid(now, DEAD), "a second caller probes at {now:?}");
            suspects.add(now + Duration::from_millis(500), DEAD);
            tries.push(now);
        }
        now = now + Duration::from_millis(10);
    }
    let gaps: Vec<Duration> = tries.windows(2).map(|pair| pair[1].since(pair[0])).collect();
    assert!(gaps.is_sorted(), "{gaps:?}");
    assert_eq!(tries.first(), Some(&(start + MIN_SUSPICION)));
    assert_eq!(gaps.last(), Some(&MAX_SUSPICION));
}

#[test]
fn an_answer_ends_the_suspicion() {
    let suspects = Suspects::default();
    let now = Time::ZERO + Duration::from_secs(1);
    suspects.add(now, DEAD);
    assert!(suspects.should_avoid(now, DEAD));
    suspects.clear(DEAD);
    assert!(!suspects.should_avoid(now, DEAD));
}
