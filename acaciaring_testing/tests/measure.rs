//! Tests of the metrics computed by the experiments.

use acaciaring_testing::Run;
use acaciaring_testing::experiment::{Imbalance, churn, imbalance, longest_gap, unavailability};

fn run(upstream: &str, path: &str, start: u64) -> Run {
    Run { upstream: upstream.into(), path: path.into(), start, ..Run::default() }
}

fn path(run: &Run) -> Option<&str> {
    run.path.strip_prefix('/')
}

#[test]
fn even_counts_have_no_imbalance() {
    assert_eq!(imbalance(&[7, 7, 7]), Imbalance { peak: 1.0, deviation: 0.0 });
    assert_eq!(imbalance(&[]), Imbalance::default());
    assert_eq!(imbalance(&[0, 0]), Imbalance::default());
}

#[test]
fn idle_server_counts_in_the_imbalance() {
    assert_eq!(imbalance(&[0, 4]), Imbalance { peak: 2.0, deviation: 1.0 });
    let Imbalance { peak, deviation } = imbalance(&[2, 4, 4, 4, 5, 5, 7, 9]);
    assert!((peak - 1.8).abs() < 1e-9 && (deviation - 0.4).abs() < 1e-9);
}

#[test]
fn churn_counts_keys_and_moves_in_order_of_time() {
    let runs = [
        run("b", "/k", 20),
        run("a", "/k", 10),
        run("a", "/k", 30),
        run("a", "/still", 10),
        run("a", "/still", 20),
        run("a", "other", 10),
    ];
    let found = churn(&runs, path);
    assert_eq!((found.keys, found.moves, found.seen), (1, 2, 2));
}

#[test]
fn run_without_effect_is_no_churn() {
    let reverted = Run { reverted: true, ..run("b", "/k", 20) };
    let found = churn(&[run("a", "/k", 10), reverted, run("a", "/k", 30)], path);
    assert_eq!((found.keys, found.moves, found.seen), (0, 0, 1));
}

#[test]
fn longest_gap_excludes_the_median_gap() {
    assert_eq!(longest_gap(&[10, 20, 30, 40], 0, 50), 0);
    assert_eq!(longest_gap(&[40, 10, 20, 30, 140, 150], 0, 160), 90);
}

#[test]
fn key_that_is_not_answered_again_is_unavailable_to_the_end() {
    assert_eq!(longest_gap(&[10, 20, 30], 0, 100), 60);
    assert_eq!(longest_gap(&[80, 90, 100], 0, 100), 70);
}

#[test]
fn key_that_is_never_answered_counts_with_the_whole_time() {
    let answers: [&[u64]; 3] = [&[10, 20, 30, 40], &[], &[10, 20, 60, 70]];
    let found = unavailability(answers, 0, 80);
    assert_eq!((found.worst, found.total, found.keys, found.never), (80, 80 + 30 + 30, 3, 1));
}
