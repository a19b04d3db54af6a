//! Tests of the quarantine of requests that crash upstreams.

use std::time::Duration;

use acaciaring_core::quarantine::{Quarantine, QuarantineSettings, Strike, Suspect, Treatment};
use acaciaring_core::{Fingerprint, Time};
use proptest::prelude::*;

const HOLD: Duration = Duration::from_mins(10);

fn request(number: u8) -> Fingerprint {
    Fingerprint { target: u64::from(number), digest: [number; 16] }
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

fn strikes(quarantine: &mut Quarantine, fingerprint: Fingerprint, crashes: std::ops::Range<u64>) {
    for crash in crashes {
        quarantine.crashed(at(crash), crash, &[fingerprint]);
    }
}

/// Guards against a request that crashes one upstream after the other.
#[test]
fn a_request_is_refused_after_three_crashes() {
    let mut quarantine = Quarantine::default();
    let fatal = request(1);
    assert!(!quarantine.knows_target(fatal.target));
    strikes(&mut quarantine, fatal, 1..2);
    assert_eq!(quarantine.treatment(at(2), &fatal), Treatment::Watch);
    strikes(&mut quarantine, fatal, 2..3);
    assert_eq!(quarantine.treatment(at(3), &fatal), Treatment::Alone);
    strikes(&mut quarantine, fatal, 3..4);
    assert_eq!(quarantine.treatment(at(4), &fatal), Treatment::Refuse((at(3) + HOLD).since(at(4))));
    assert!(quarantine.knows_target(fatal.target));
    assert_eq!(quarantine.treatment(at(4), &request(2)), Treatment::Normal);
}

/// Guards against a request that counts one crash for each copy of it that was in flight.
#[test]
fn one_crash_is_one_strike() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        quarantine.crashed(at(1), 7, &[request(1), request(1)]);
    }
    assert_eq!(quarantine.treatment(at(1), &request(1)), Treatment::Watch);
}

/// Guards against a request that stays refused though its upstream was repaired.
#[test]
fn a_request_may_run_alone_once_the_hold_is_over() {
    let mut quarantine = Quarantine::default();
    let fatal = request(1);
    strikes(&mut quarantine, fatal, 1..4);
    let later = at(3) + HOLD;
    assert_eq!(quarantine.treatment(later, &fatal), Treatment::Alone);
    assert!(quarantine.answered(later, &fatal).is_some(), "other members must learn it");
    assert_eq!(quarantine.treatment(later, &fatal), Treatment::Normal);
}

/// Guards against three more crashes each time that the hold is over.
#[test]
fn the_next_crash_after_the_hold_quarantines_at_once() {
    let mut quarantine = Quarantine::default();
    let fatal = request(1);
    strikes(&mut quarantine, fatal, 1..4);
    let later = at(3) + HOLD;
    quarantine.crashed(later, 9, &[fatal]);
    assert_eq!(quarantine.treatment(later, &fatal), Treatment::Refuse(HOLD));
}

/// Guards against a frequent request that is refused for crashes that it has merely witnessed.
#[test]
fn an_answer_withdraws_strikes_also_those_that_are_told_again() {
    let mut quarantine = Quarantine::default();
    let frequent = request(1);
    strikes(&mut quarantine, frequent, 1..3);
    let told = quarantine.serious(at(4));
    assert!(quarantine.answered(at(5), &frequent).is_some());
    quarantine.merge(at(6), &told);
    assert_eq!(quarantine.treatment(at(6), &frequent), Treatment::Normal);
    strikes(&mut quarantine, frequent, 7..8);
    assert_eq!(quarantine.treatment(at(8), &frequent), Treatment::Watch);
}

/// Guards against a member that counts on after another one has seen an answer, whatever reaches
/// it first.
#[test]
fn an_answer_at_another_member_withdraws_strikes() {
    for answer_first in [false, true] {
        let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
        let frequent = request(1);
        strikes(&mut there, frequent, 1..3);
        let told = there.serious(at(3));
        let answered = [there.answered(at(3), &frequent).expect("it has strikes")];
        let words = if answer_first { [&answered[..], &told] } else { [&told[..], &answered] };
        for word in words {
            here.merge(at(5), word);
        }
        strikes(&mut here, frequent, 6..7);
        assert_eq!(here.treatment(at(7), &frequent), Treatment::Watch);
        let known = there.withdrawn(at(7), &frequent).expect("it tells who asks");
        assert!(here.merge(at(7), &[known]).is_empty(), "nothing new");
    }
}

/// Guards against memory that grows with a caller whose fatal requests all differ.
#[test]
fn the_requests_with_the_fewest_strikes_are_forgotten_first() {
    let settings = QuarantineSettings { max_suspects: 8, ..QuarantineSettings::default() };
    let mut quarantine = Quarantine::new(settings);
    strikes(&mut quarantine, request(0), 1..4);
    for number in 1..200_u8 {
        quarantine.crashed(at(4), 100 + u64::from(number), &[request(number)]);
        assert!(quarantine.len() <= 8);
    }
    assert!(quarantine.take_dropped() > 0);
    assert!(matches!(quarantine.treatment(at(5), &request(0)), Treatment::Refuse(_)));
    assert!(!quarantine.knows_target(1), "the target of a forgotten request is forgotten");
}

#[test]
fn strikes_are_forgotten_after_the_retention() {
    let mut quarantine = Quarantine::default();
    strikes(&mut quarantine, request(1), 1..2);
    let later = at(1) + QuarantineSettings::default().retention;
    quarantine.crashed(later, 9, &[request(2)]);
    assert_eq!(quarantine.len(), 1);
}

/// Second at which all words are learned; all crashes came before.
const NOW: u64 = 100;

/// What members may learn, in any order and any number of times: crash `n` is of second `n`.
fn word() -> impl Strategy<Value = Suspect> {
    (0..6_u64, 0..3_u8, any::<bool>()).prop_map(|(crash, number, withdrawn)| Suspect {
        fingerprint: request(number),
        strikes: vec![Strike { crash, age: at(NOW).since(at(crash)), withdrawn }],
    })
}

proptest! {
    /// Guards against members that treat a request differently, as its words reached them in
    /// another order, or twice.
    #[test]
    fn order_and_repetition_of_words_do_not_matter(
        (words, shuffled) in proptest::collection::vec(word(), 0..20)
            .prop_flat_map(|words| (Just(words.clone()), Just(words).prop_shuffle())),
    ) {
        let mut first = Quarantine::default();
        let mut second = Quarantine::default();
        for word in &words {
            first.merge(at(NOW), std::slice::from_ref(word));
        }
        for word in shuffled.iter().chain(&words) {
            second.merge(at(NOW), std::slice::from_ref(word));
        }
        for number in 0..3 {
            let fingerprint = request(number);
            prop_assert_eq!(
                first.treatment(at(NOW), &fingerprint),
                second.treatment(at(NOW), &fingerprint)
            );
        }
    }

    /// Guards against innocent requests refused by chance: each is answered between two crashes.
    #[test]
    fn a_request_that_is_answered_between_crashes_is_never_refused(
        crashes in proptest::collection::vec(proptest::collection::vec(0..50_u8, 0..40), 1..200),
    ) {
        let mut quarantine = Quarantine::default();
        for (number, interrupted) in crashes.iter().enumerate() {
            let second = number as u64 * 2;
            let requests: Vec<Fingerprint> = interrupted.iter().copied().map(request).collect();
            quarantine.crashed(at(second), second, &requests);
            for fingerprint in &requests {
                let treatment = quarantine.treatment(at(second), fingerprint);
                prop_assert!(!matches!(treatment, Treatment::Refuse(_)));
                quarantine.answered(at(second + 1), fingerprint);
            }
        }
    }
}
