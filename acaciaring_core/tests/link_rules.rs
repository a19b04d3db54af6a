//! Tests of each rule by which the link of a VM limits requests with large answers.

use std::time::Duration;

use acaciaring_core::admission::{
    Admission, AdmissionSettings, AnswerSizes, ColdLimit, Completion, Offer, Ticket,
};
use acaciaring_core::route::Rank;
use acaciaring_core::{Name, Reason, Refusal, Time, Verdict};

/// Bytes per second, so that the link sends a kilobyte in a millisecond.
const LINK_RATE: u64 = 1_000_000;

const NOW: Time = Time::from_millis(1_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns admission to an upstream that takes 100 ms, in front of a link.
fn admission(link_rate: u64, slots: u32) -> Admission<u64> {
    let settings = AdmissionSettings {
        slots,
        link_rate,
        service_time: ms(100),
        ..AdmissionSettings::default()
    };
    Admission::new(settings)
}

/// Returns a request that is wanted within 600 ms and useful for 4 s.
fn ticket(attempt: u64, answer: u64) -> Ticket {
    let (deadline, expiry) = (NOW + ms(600), NOW + ms(4_000));
    Ticket { rank: Rank::Interactive, deadline, expiry, attempt, answer }
}

fn offer(admission: &mut Admission<u64>, ticket: Ticket) -> Offer<u64> {
    admission.offer(NOW, ticket, ticket.attempt)
}

fn refusal(offer: Offer<u64>) -> Refusal {
    let Offer::Refused(_, refusal) = offer else { panic!("{offer:?}") };
    assert_eq!(refusal.verdict, Verdict::NotRun);
    refusal
}

const QUEUED: Offer<u64> = Offer::Queued { displaced: None };

/// Guards against a link that never sends an answer whose estimate is too large.
#[test]
fn with_nothing_outstanding_any_request_starts() {
    let mut admission = admission(LINK_RATE, 9);
    assert_eq!(offer(&mut admission, ticket(1, 100_000_000)), Offer::Start(1));
}

/// Guards against answers that pile up behind the link: those of running requests count as well as
/// those that are being sent.
#[test]
fn a_request_starts_once_the_link_sends_the_rest_in_time() {
    let mut admission = admission(LINK_RATE, 9);
    admission.set_backlog(300_000);
    assert_eq!(offer(&mut admission, ticket(1, 90_000)), QUEUED);
    assert!(admission.waits_for_link());
    assert!(admission.start_due(NOW).is_empty(), "290 ms until its answer would be ahead");
    admission.set_backlog(280_000);
    assert_eq!(admission.start_due(NOW), [1]);
    assert!(!admission.waits_for_link());
    assert_eq!(offer(&mut admission, ticket(2, 90_000)), QUEUED);
    admission.set_backlog(190_000);
    assert_eq!(admission.start_due(NOW), [2], "the running request counts for 90 kB");
}

/// Guards against a request that is late already and is sent before those that can be in time.
#[test]
fn a_late_request_starts_only_when_the_link_is_free_as_its_answer_is_ready() {
    let mut admission = admission(LINK_RATE, 9);
    let late = |attempt| Ticket { deadline: NOW + ms(150), ..ticket(attempt, 90_000) };
    admission.set_backlog(110_000);
    assert_eq!(offer(&mut admission, late(1)), QUEUED);
    assert!(admission.start_due(NOW).is_empty());
    admission.set_backlog(100_000);
    assert_eq!(admission.start_due(NOW), [1]);
}

/// Guards against short calls that wait for the link, queued or new.
#[test]
fn requests_without_large_answers_overtake() {
    let mut admission = admission(LINK_RATE, 1);
    assert_eq!(offer(&mut admission, ticket(1, 0)), Offer::Start(1));
    admission.set_backlog(400_000);
    assert_eq!(offer(&mut admission, ticket(2, 90_000)), QUEUED);
    let behind = Ticket { deadline: NOW + ms(800), ..ticket(3, 0) };
    assert_eq!(offer(&mut admission, behind), QUEUED);
    assert_eq!(admission.finish(NOW, 1, ms(100), Completion::Answered), [3]);
    assert!(admission.finish(NOW, 3, ms(100), Completion::Answered).is_empty());
    assert_eq!(offer(&mut admission, ticket(4, 0)), Offer::Start(4), "a free slot");
}

/// Guards against predictions that count requests held by the link as work before short calls.
#[test]
fn requests_that_the_link_holds_back_use_no_slot_time() {
    let mut admission = admission(LINK_RATE, 1);
    assert_eq!(offer(&mut admission, ticket(1, 0)), Offer::Start(1));
    admission.set_backlog(300_000);
    let patient = |attempt| Ticket { deadline: NOW + ms(3_000), ..ticket(attempt, 90_000) };
    for attempt in 2..8 {
        assert_eq!(offer(&mut admission, patient(attempt)), QUEUED);
    }
    let aim = NOW + ms(350);
    let call = Ticket { rank: Rank::Bulk, deadline: aim, expiry: aim, ..ticket(9, 0) };
    assert_eq!(offer(&mut admission, call), QUEUED, "200 ms, behind the running one alone");
    assert!(admission.expire(NOW).is_empty());
    let late = Ticket { deadline: NOW, ..ticket(10, 0) };
    assert_eq!(offer(&mut admission, late), QUEUED);
    assert!(admission.expire(NOW).is_empty(), "nor before a late one");
}

/// Guards against a request that is run although its answer cannot arrive before its caller leaves.
#[test]
fn an_answer_that_would_miss_its_expiry_is_refused() {
    let mut admission = admission(LINK_RATE, 9);
    admission.set_backlog(3_950_000);
    let refused = refusal(offer(&mut admission, ticket(1, 90_000)));
    assert_eq!(refused.reason, Reason::LinkFull);
    admission.set_backlog(150_000);
    let brief = |attempt| Ticket {
        deadline: NOW + ms(160),
        expiry: NOW + ms(180),
        ..ticket(attempt, 90_000)
    };
    assert_eq!(refusal(offer(&mut admission, brief(2))).reason, Reason::LinkFull);
    admission.set_backlog(50_000);
    assert_eq!(refusal(offer(&mut admission, brief(3))).reason, Reason::LinkFull, "room, too late");
    admission.set_backlog(0);
    assert_eq!(offer(&mut admission, brief(4)), Offer::Start(4));
}

/// Guards against queued requests whose bytes nobody counts: those before it delay an answer too.
#[test]
fn queued_answers_count_before_a_new_one() {
    let mut admission = admission(LINK_RATE, 9);
    admission.set_backlog(300_000);
    let only_now = |attempt| Ticket { expiry: NOW + ms(600), ..ticket(attempt, 90_000) };
    for attempt in 1..=3 {
        assert_eq!(offer(&mut admission, only_now(attempt)), QUEUED, "300 + 90 * {attempt} ms");
    }
    assert_eq!(refusal(offer(&mut admission, only_now(4))).reason, Reason::LinkFull);
    let earlier = Ticket { deadline: NOW + ms(450), ..only_now(5) };
    assert_eq!(offer(&mut admission, earlier), QUEUED, "before the others");
    let refused = admission.expire(NOW);
    let refused: Vec<_> = refused.into_iter().map(|(item, r)| (item, r.reason)).collect();
    assert_eq!(refused, [(3, Reason::LinkFull)], "the last one now has 660 ms");
}

/// Guards against requests that wait until their expiry for a link that has become slower.
#[test]
fn waiting_requests_are_refused_when_the_backlog_grows() {
    let mut admission = admission(LINK_RATE, 9);
    admission.set_backlog(300_000);
    assert_eq!(offer(&mut admission, ticket(1, 90_000)), QUEUED);
    assert!(admission.expire(NOW).is_empty());
    admission.set_backlog(550_000);
    let refused = admission.expire(NOW);
    assert!(refused.len() == 1 && refused[0].1.reason == Reason::LinkFull, "{refused:?}");
    admission.set_backlog(650_000);
    assert_eq!(offer(&mut admission, ticket(2, 90_000)), QUEUED, "late, but useful");
    let refused = admission.expire(NOW);
    assert!(refused.len() == 1 && refused[0].1.reason == Reason::LinkFull, "{refused:?}");
    assert_eq!(admission.waiting(), 0);
}

/// Guards against callers that all return while the link is still full, or with no time left.
#[test]
fn a_refused_caller_returns_when_the_link_has_sent_what_waits() {
    let mut admission = admission(LINK_RATE, 9);
    admission.set_backlog(300_000);
    for attempt in 1..=2 {
        assert_eq!(offer(&mut admission, ticket(attempt, 90_000)), QUEUED);
    }
    let retry = |admission: &mut Admission<u64>, attempt, left| {
        let expiry = NOW + ms(left);
        let ticket = Ticket { deadline: expiry, expiry, ..ticket(attempt, 90_000) };
        refusal(offer(admission, ticket)).retry.expect("a delay")
    };
    let least = Ticket { rank: Rank::Bulk, ..ticket(3, 4_000_000) };
    let asked = refusal(offer(&mut admission, least)).retry.expect("a delay");
    assert!((ms(480)..=ms(960)).contains(&asked), "{asked:?}: 300 and twice 90 kB");
    assert_eq!(retry(&mut admission, 4, 360), ms(120), "a third of its time");
    let delays: Vec<_> = (10..20)
        .map(|attempt| {
            let least = Ticket { rank: Rank::Bulk, ..ticket(attempt, 4_000_000) };
            refusal(offer(&mut admission, least)).retry
        })
        .collect();
    assert!(delays.iter().any(|delay| *delay != delays[0]), "spread");
}

/// Guards against a limit where none is set, or for answers that are not large.
#[test]
fn without_a_rate_or_an_answer_the_link_is_not_consulted() {
    let mut unlimited = admission(0, 9);
    unlimited.set_backlog(1 << 40);
    assert_eq!(offer(&mut unlimited, ticket(1, 90_000)), Offer::Start(1));
    let mut limited = admission(LINK_RATE, 9);
    limited.set_backlog(1 << 40);
    assert_eq!(offer(&mut limited, ticket(1, 0)), Offer::Start(1));
    assert!(!limited.waits_for_link());
}

/// Guards against a short call that takes each start of an upstream that limits its rate, so that a
/// request with a large answer starves although the link has room.
#[test]
fn under_a_rate_limit_new_calls_do_not_pass_a_request_that_the_link_lets_start() {
    let mut admission = admission(LINK_RATE, 9);
    let limit = ColdLimit { rate: 10.0, until: NOW + ms(60_000) };
    assert!(admission.limit_cold(NOW, Some(limit)).is_empty());
    assert_eq!(offer(&mut admission, ticket(1, 0)), Offer::Start(1));
    assert_eq!(offer(&mut admission, ticket(2, 90_000)), QUEUED);
    let later = NOW + ms(150);
    assert!(matches!(admission.offer(later, ticket(3, 0), 3), Offer::Queued { .. }));
    assert_eq!(admission.start_due(later), [2]);
}

/// Guards against one answer that sets the estimate, and against memory that grows with classes.
#[test]
fn sizes_are_estimated_by_class_for_a_limited_number_of_classes() {
    let mut sizes = AnswerSizes::default();
    let (workspace, class): (Name, Name) = ("pool".into(), "download".into());
    let other: Name = "other".into();
    assert_eq!(sizes.expected(&workspace, &class), 64 << 10);
    for _ in 0..100 {
        sizes.record(&workspace, &class, 90_000);
    }
    assert_eq!(sizes.expected(&workspace, &class), 90_000);
    assert_eq!(sizes.expected(&other, &class), 64 << 10);
    sizes.record(&workspace, &class, 170_000);
    assert_eq!(sizes.expected(&workspace, &class), 90_000 + 80_000 / 8);
    for number in 0..63 {
        sizes.record(&workspace, &format!("class-{number}").into(), 1_000);
    }
    assert_ne!(sizes.expected(&workspace, &class), 64 << 10, "one of 64");
    sizes.record(&workspace, &"one-more".into(), 1_000);
    assert_eq!(sizes.expected(&workspace, &class), 64 << 10, "the one not seen the longest");
}
