//! Tests of the limit on incomplete answers.

use super::*;

const LIMIT: usize = 1 << 20;

/// Guards against answers without end that together take more than the limit, or all of it.
#[test]
fn answers_without_end_leave_room_for_others() {
    let (all, held) = (IncompleteAnswers::new(LIMIT as u64), HeldBytes::default());
    let mut endless: Vec<IncompleteAnswer> = (0..7).map(|_| all.begin(&held)).collect();
    let mut open = vec![true; endless.len()];
    while open.contains(&true) {
        for (answer, open) in endless.iter_mut().zip(&mut open) {
            *open = *open && answer.add(1 << 10);
        }
    }
    assert!(held.get() <= LIMIT as u64, "{} bytes", held.get());
    assert!(all.begin(&held).add(LIMIT / 32), "an answer of the usual size fits");
    drop(endless);
    assert_eq!((held.get(), all.bytes.load(Ordering::Relaxed)), (0, 0));
}

/// Guards against an answer that is refused while nothing else is received.
#[test]
fn one_answer_may_take_half_of_the_limit() {
    let (all, held) = (IncompleteAnswers::new(LIMIT as u64), HeldBytes::default());
    let mut answer = all.begin(&held);
    assert!(answer.add(LIMIT / 2));
    assert!(!answer.add(1));
}
