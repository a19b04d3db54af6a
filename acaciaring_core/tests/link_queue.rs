//! Tests of the transmission order of large answers.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::link_queue::{AnswerId, LargeAnswer, LinkQueue, LinkSettings, Overdue};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// 10 Mbit/s, in bytes per second.
const RATE: u64 = 1_250_000;

/// Bytes that occupy the link for 100 ms, and the time limit of their transmission.
const BYTES: u64 = 125_000;
const LIMIT_MS: u64 = 4 * 100 + 200;

/// Expiry of an answer whose expiry does not matter.
const LATER: Time = Time::from_millis(60_000);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn settings() -> LinkSettings {
    LinkSettings { rate: RATE, ..LinkSettings::default() }
}

fn answer(aim: u64, expiry: Time) -> LargeAnswer {
    LargeAnswer { bytes: BYTES, aim: Some(at(aim)), expiry }
}

fn start(queue: &mut LinkQueue, now: u64) -> Vec<AnswerId> {
    queue.start(at(now)).iter().map(|started| started.id).collect()
}

/// Returns a queue with two transmissions.
fn busy() -> (LinkQueue, [AnswerId; 2]) {
    let mut queue = LinkQueue::new(settings());
    let ids = [queue.join(answer(0, LATER)), queue.join(answer(0, LATER))];
    assert_eq!(start(&mut queue, 0), ids);
    (queue, ids)
}

/// Starts the waiting answers one at a time, without time passing, and returns their order.
fn order(queue: &mut LinkQueue, sending: AnswerId, now: u64) -> Vec<AnswerId> {
    let mut last = sending;
    let mut order = Vec::new();
    loop {
        queue.end(last);
        let started = start(queue, now);
        let [id] = started[..] else { return order };
        order.push(id);
        last = id;
    }
}

// Guards against large answers that are transmitted all at once and are all late together.
#[test]
fn at_most_two_are_transmitted() {
    let (mut queue, [first, second]) = busy();
    let third = queue.join(answer(500, LATER));
    assert!(start(&mut queue, 1).is_empty());
    queue.end(second);
    assert_eq!(start(&mut queue, 2), [third]);
    queue.end(first);
    queue.end(third);
    assert_eq!(queue.counted(), 0);
}

// Guards against an urgent answer behind one that is wanted later.
#[test]
fn the_earliest_aim_is_next() {
    let (mut queue, [first, _]) = busy();
    let [late, early, middle] = [900, 300, 600].map(|aim| queue.join(answer(aim, LATER)));
    assert_eq!(order(&mut queue, first, 0), [early, middle, late]);
}

// Guards against an answer that is late anyway and makes another one late.
#[test]
fn answers_that_can_meet_their_aim_go_before_late_ones() {
    let (mut queue, [first, _]) = busy();
    let late = queue.join(answer(299, at(2000)));
    let later = queue.join(answer(250, at(3000)));
    let exact = queue.join(answer(300, at(9000)));
    let early = queue.join(answer(5000, LATER));
    assert_eq!(order(&mut queue, first, 200), [exact, early, late, later]);
}

// Guards against late answers in the order of their aims, where one that expires first is lost.
#[test]
fn late_answers_are_ordered_by_expiry() {
    let (mut queue, [first, _]) = busy();
    let [second, third, expired] =
        [(100, 4000), (90, 5000), (200, 900)].map(|(aim, end)| queue.join(answer(aim, at(end))));
    assert_eq!(order(&mut queue, first, 1000), [expired, second, third]);
}

// Guards against answers of classes without a latency target that are always late or always first.
#[test]
fn without_an_aim_the_expiry_is_the_aim() {
    let (mut queue, [first, _]) = busy();
    let none = queue.join(LargeAnswer { bytes: BYTES, aim: None, expiry: at(600) });
    let [early, late] = [500, 700].map(|aim| queue.join(answer(aim, LATER)));
    assert_eq!(order(&mut queue, first, 0), [early, none, late]);
}

// Guards against answers that are equally urgent and change places while they wait.
#[test]
fn equal_answers_keep_their_order() {
    let (mut queue, [first, _]) = busy();
    let ids = [0; 5].map(|_| queue.join(answer(1000, LATER)));
    assert_eq!(order(&mut queue, first, 0), ids);
}

// Guards against an answer whose caller has left and that still occupies the link.
#[test]
fn a_cancelled_answer_is_not_transmitted() {
    let (mut queue, [first, _]) = busy();
    let [cancelled, next] = [300, 400].map(|aim| queue.join(answer(aim, LATER)));
    queue.end(cancelled);
    assert_eq!(queue.backlog(), 3 * BYTES);
    assert_eq!(order(&mut queue, first, 0), [next]);
}

// Guards against silent receivers that block the answers to all others.
#[test]
fn an_overdue_transmission_does_not_count() {
    let (mut queue, ids) = busy();
    let third = queue.join(answer(2000, LATER));
    assert!(queue.expire(at(LIMIT_MS - 1)).is_empty());
    assert!(start(&mut queue, LIMIT_MS - 1).is_empty());
    assert_eq!(queue.expire(at(LIMIT_MS)), ids.map(|id| Overdue { id, bytes: BYTES }));
    assert_eq!(start(&mut queue, LIMIT_MS), [third]);
    assert!(queue.expire(at(LIMIT_MS + 1)).is_empty(), "each one is overdue once");
}

// Guards against a place that is given back twice: by the time limit and by the end.
#[test]
fn the_end_of_an_overdue_transmission_frees_no_place() {
    let (mut queue, [first, second]) = busy();
    queue.expire(at(LIMIT_MS));
    let ids = [0; 3].map(|_| queue.join(answer(5000, LATER)));
    assert_eq!(start(&mut queue, LIMIT_MS), ids[..2]);
    queue.end(first);
    queue.end(second);
    assert!(start(&mut queue, LIMIT_MS).is_empty());
    queue.end(ids[0]);
    assert_eq!(start(&mut queue, LIMIT_MS), ids[2..]);
}

// Guards against a backlog that forgets what still crosses the link, or keeps what has crossed.
#[test]
fn the_backlog_is_what_waits_or_is_transmitted() {
    let (mut queue, [first, second]) = busy();
    let third = queue.join(answer(500, LATER));
    assert_eq!(queue.backlog(), 3 * BYTES);
    queue.expire(at(LIMIT_MS));
    assert_eq!(queue.backlog(), 3 * BYTES, "overdue answers are still transmitted");
    for id in [third, first, first, second] {
        queue.end(id);
    }
    assert_eq!(queue.backlog(), 0);
}

// Guards against a receiver that died and whose answers fill the backlog until its connection ends.
#[test]
fn an_overdue_transmission_leaves_the_backlog_once_it_has_expired() {
    let mut queue = LinkQueue::new(settings());
    let [first, second] = [LIMIT_MS - 100, 4000].map(|end| queue.join(answer(100, at(end))));
    assert_eq!(start(&mut queue, 0), [first, second]);
    queue.expire(at(LIMIT_MS - 1));
    assert_eq!(queue.backlog(), 2 * BYTES, "it is late and may still arrive");
    queue.expire(at(LIMIT_MS));
    assert_eq!(queue.backlog(), BYTES);
    queue.end(first);
    assert_eq!(queue.backlog(), BYTES);
    queue.expire(at(4000));
    assert_eq!(queue.backlog(), 0);
}

// Guards against answers that wait where the rate of the link is not known.
#[test]
fn without_a_rate_nothing_waits() {
    let mut queue = LinkQueue::new(LinkSettings::default());
    let ids = [0; 9].map(|_| queue.join(answer(500, LATER)));
    assert_eq!(start(&mut queue, 0), ids);
}

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Join {
        bytes: u64,
        aim: Option<u64>,
        left: u64,
    },
    /// The answer with this index ends or is cancelled.
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let join = (16_000..540_000_u64, prop::option::of(0..3000_u64), 0..4000_u64);
    prop_oneof![
        (1..300_u64).prop_map(Step::Wait),
        join.prop_map(|(bytes, aim, left)| Step::Join { bytes, aim, left }),
        (0..60_usize).prop_map(Step::End),
    ]
}

/// Applies the time limits, starts answers, and checks the limit.
fn advance(queue: &mut LinkQueue, now: u64, started: &mut Vec<AnswerId>) {
    queue.expire(at(now));
    started.extend(start(queue, now));
    assert!(queue.counted() <= 2);
    assert!(queue.counted() == 2 || queue.waiting() == 0, "a place is free and an answer waits");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    // Guards against an answer that is never transmitted while the queue is finite, although no
    // receiver acknowledges anything.
    #[test]
    fn no_waiting_answer_starves(steps in prop::collection::vec(step(), 1..80)) {
        let mut queue = LinkQueue::new(settings());
        let mut now = 0;
        let (mut joined, mut started, mut ended) = (Vec::new(), Vec::new(), Vec::new());
        for step in steps {
            match step {
                Step::Wait(millis) => now += millis,
                Step::Join { bytes, aim, left } => {
                    let aim = aim.map(|aim| at(now + aim));
                    let expiry = at(now + left);
                    joined.push((queue.join(LargeAnswer { bytes, aim, expiry }), bytes, expiry));
                }
                Step::End(index) => {
                    if let Some((id, ..)) = joined.get(index) {
                        queue.end(*id);
                        ended.push(*id);
                    }
                }
            }
            advance(&mut queue, now, &mut started);
            let open = joined.iter().filter(|(id, ..)| !ended.contains(id));
            let total = open.clone().map(|(_, bytes, _)| bytes).sum::<u64>();
            let wanted = open.filter(|(id, _, expiry)| *expiry > at(now) || !started.contains(id));
            prop_assert!(queue.backlog() <= total);
            prop_assert!(queue.backlog() >= wanted.map(|(_, bytes, _)| bytes).sum::<u64>());
        }
        let limit = |bytes| 4 * settings().transmission_time(bytes) + Duration::from_millis(200);
        let limits: Duration = joined.iter().map(|(_, bytes, _)| limit(*bytes)).sum();
        let end = at(now + 1) + limits;
        while queue.waiting() > 0 && at(now) < end {
            now += 10;
            advance(&mut queue, now, &mut started);
        }
        prop_assert_eq!(queue.waiting(), 0);
        for (id, ..) in joined {
            let times = started.iter().filter(|&&other| other == id).count();
            prop_assert!(times == 1 || (times == 0 && ended.contains(&id)));
        }
    }
}
