//! Tests of threads that must not fail.

use std::panic::{AssertUnwindSafe, catch_unwind};

use super::run_guarded;

// Control meets a value that it cannot handle and panics. The process is told so; it is not told when
// control ends because it was asked to.
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
