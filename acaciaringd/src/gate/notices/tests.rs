use acaciaring_core::{Name, Time};

use super::Notices;
use crate::upstream::UpstreamNotice;

fn limited(limit: f64) -> UpstreamNotice {
    UpstreamNotice { limit: Some(limit), leaving: false }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Guards against a limit that ends and begins again with each answer that is read late.
#[test]
fn an_answer_to_an_earlier_request_does_not_ease_it() {
    let (notices, instance) = (Notices::default(), Name::from("i-1"));
    let none = UpstreamNotice::default();
    assert!(notices.observe(at(20), &instance, limited(5.0)));
    assert!(!notices.observe(at(10), &instance, none), "it may have been sent before");
    assert!(!notices.observe(at(10), &instance, limited(9.0)));
    assert!(notices.observe(at(10), &instance, limited(3.0)), "a lower limit counts at once");
    assert!(!notices.observe(at(15), &instance, none), "the newest request still counts");
    assert!(notices.observe(at(30), &instance, none));
    assert!(!notices.observe(at(40), &instance, none), "nothing new");
}

/// Guards against a new incarnation that inherits the limit of the former one.
#[test]
fn another_instance_starts_without_a_notice() {
    let notices = Notices::default();
    let leaving = UpstreamNotice { limit: Some(1.0), leaving: true };
    assert!(notices.observe(at(10), &Name::from("i-1"), leaving));
    assert!(!notices.observe(at(11), &Name::from("i-2"), UpstreamNotice::default()));
    notices.reset();
    assert!(notices.observe(at(12), &Name::from("i-2"), leaving), "the same under a new start");
}
