//! Tests of critical threads.

use std::panic::{AssertUnwindSafe, catch_unwind};

use super::run_guarded;

// Guards against a panic that goes unnoticed, and a normal return that is taken for a panic.
#[test]
fn a_failure_is_told_and_an_end_is_not() {
    let mut failures = 0;
    run_guarded(|| {}, || failures += 1);
    assert_eq!(failures, 0, "an orderly end was taken for a failure");
    let failed =
        catch_unwind(AssertUnwindSafe(|| run_guarded(|| panic!("a fault"), || failures += 1)));
    assert!(failed.is_err());
    assert_eq!(failures, 1);
}
