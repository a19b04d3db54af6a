//! Tests of which failed attempts are retried, when, and within which budget.

use std::time::Duration;

use acaciaring_core::retry::{Failure, RetryBudget, RetryDecision, RetrySettings};
use acaciaring_core::route::Repeat;
use acaciaring_core::{Reason, Refusal, Time};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn failure(refusal: Refusal) -> Failure {
    Failure {
        refusal,
        repeat: Repeat::Once,
        time_left: Duration::from_secs(1),
        attempts: 1,
        redirects: 0,
        reached_upstream: true,
        has_alternative: false,
        max_attempts: 0,
    }
}

fn decide(failure: &Failure) -> RetryDecision {
    let mut budget = RetryBudget::new(Time::ZERO, RetrySettings::default());
    budget.decide(Time::ZERO, &mut StdRng::seed_from_u64(1), failure)
}

// Guards against a second run of a request whose answer was lost: only requests that did not run or
// are idempotent are retried.
#[test]
fn only_what_did_not_run_or_is_idempotent_is_repeated() {
    let lost = failure(Refusal::unknown(Reason::LostAnswer));
    assert_eq!(decide(&lost), RetryDecision::GiveUp);
    let idempotent = Failure { repeat: Repeat::Idempotent, ..lost };
    assert!(matches!(decide(&idempotent), RetryDecision::Retry { .. }));
    let not_run = failure(Refusal::not_run(Reason::UpstreamDown));
    assert!(matches!(decide(&not_run), RetryDecision::Retry { .. }));
    for reason in [Reason::NoRoute, Reason::BadRequest, Reason::Expired, Reason::Cancelled] {
        assert_eq!(decide(&failure(Refusal::not_run(reason))), RetryDecision::GiveUp);
    }
}

// Guards against a wait for a retry that cannot meet the deadline.
#[test]
fn a_pause_longer_than_the_time_left_gives_up_at_once() {
    let busy = Refusal::not_run(Reason::Busy);
    let late = failure(busy.after(Duration::from_secs(1)));
    assert_eq!(decide(&late), RetryDecision::GiveUp);
    let asked = Duration::from_millis(900);
    assert_eq!(decide(&failure(busy.after(asked))), RetryDecision::Retry { after: asked });
    let elsewhere = Failure { has_alternative: true, ..late };
    assert_eq!(decide(&elsewhere), RetryDecision::Retry { after: Duration::ZERO });
}

// Guards against an endless redirect loop between members that each take the other for the owner.
#[test]
fn redirects_are_free_but_bounded() {
    let settings = RetrySettings { burst: 0.0, ..RetrySettings::default() };
    let mut budget = RetryBudget::new(Time::ZERO, settings.clone());
    let mut rng = StdRng::seed_from_u64(1);
    let redirect = failure(Refusal::not_run(Reason::NotOwner));
    for redirects in 1..=settings.max_redirects {
        let decision = budget.decide(Time::ZERO, &mut rng, &Failure { redirects, ..redirect });
        assert_eq!(decision, RetryDecision::Retry { after: Duration::ZERO });
    }
    let exhausted = Failure { redirects: settings.max_redirects + 1, ..redirect };
    assert_eq!(budget.decide(Time::ZERO, &mut rng, &exhausted), RetryDecision::GiveUp);
    assert!(matches!(decide(&exhausted), RetryDecision::Retry { after } if after > Duration::ZERO));
}

// Guards against retries that keep failed servers overloaded: they stay within a tenth of the
// requests.
#[test]
fn retries_stay_within_their_share() {
    let mut budget = RetryBudget::new(Time::ZERO, RetrySettings::default());
    let mut rng = StdRng::seed_from_u64(1);
    let mut retries = 0;
    for n in 0..10_000_u64 {
        let now = Time::from_millis(n);
        budget.first_attempt(now);
        let refusal = Refusal::not_run(Reason::UpstreamDown);
        if budget.decide(now, &mut rng, &failure(refusal)) != RetryDecision::GiveUp {
            retries += 1;
        }
    }
    // The retry share, the burst and the minimum rate over ten seconds.
    assert!((1_000..=1_000 + 20 + 10).contains(&retries), "{retries} retries");
}

// Guards against a refusal while another member has room: it is tried once even if the budget is
// spent. A refusal by a server itself, or by a service without alternative, is not retried then.
#[test]
fn a_full_member_leads_to_another_one_without_budget() {
    let settings = RetrySettings { burst: 0.0, min_rate: 0.0, ..RetrySettings::default() };
    let mut budget = RetryBudget::new(Time::ZERO, settings);
    let mut rng = StdRng::seed_from_u64(1);
    let mut decide = |failure: &Failure| budget.decide(Time::ZERO, &mut rng, failure);
    let full = failure(Refusal::not_run(Reason::Busy));
    let full = Failure { redirects: 1, reached_upstream: false, has_alternative: true, ..full };
    assert_eq!(decide(&full), RetryDecision::Retry { after: Duration::ZERO });
    assert_eq!(decide(&Failure { redirects: 2, attempts: 2, ..full }), RetryDecision::GiveUp);
    assert_eq!(decide(&Failure { has_alternative: false, ..full }), RetryDecision::GiveUp);
    let shed = Failure { refusal: Refusal::not_run(Reason::Shed), reached_upstream: true, ..full };
    assert_eq!(decide(&shed), RetryDecision::GiveUp);
}

// Guards against a large request that is refused for a full link while another member has room.
#[test]
fn a_full_link_leads_to_up_to_three_other_members_without_a_token() {
    let settings = RetrySettings { burst: 0.0, min_rate: 0.0, ..RetrySettings::default() };
    let mut budget = RetryBudget::new(Time::ZERO, settings);
    let mut rng = StdRng::seed_from_u64(1);
    let mut decide = |failure: &Failure| budget.decide(Time::ZERO, &mut rng, failure);
    let full = failure(Refusal::not_run(Reason::LinkFull));
    let full = Failure { redirects: 1, reached_upstream: false, has_alternative: true, ..full };
    for redirects in 1..=3 {
        let attempt = Failure { redirects, attempts: redirects, ..full };
        assert_eq!(decide(&attempt), RetryDecision::Retry { after: Duration::ZERO });
    }
    assert_eq!(decide(&Failure { redirects: 4, attempts: 4, ..full }), RetryDecision::GiveUp);
    assert_eq!(decide(&Failure { has_alternative: false, ..full }), RetryDecision::GiveUp);
}
