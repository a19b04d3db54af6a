//! Parsing of durations and sizes such as `250ms` or `4MiB`.

use std::time::Duration;

use snafu::Snafu;

/// Milliseconds per unit; a suffix precedes any shorter suffix of itself, so that it matches first.
const DURATION_UNITS: [(&str, u64); 3] = [("ms", 1), ("min", 60_000), ("s", 1_000)];

/// Bytes per unit; a suffix precedes any shorter suffix of itself, so that it matches first.
const SIZE_UNITS: [(&str, u64); 5] =
    [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1), ("", 1)];

/// Maximum number before a unit, so that the product with any unit fits a `u64`.
const NUMBER_MAX: u64 = u32::MAX as u64;

/// Error of a text that is not a valid duration or size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum QuantityError {
    /// The unit is missing or unknown.
    #[snafu(display("expected a whole number followed by {units}"))]
    Unit {
        /// Accepted units.
        units: &'static str,
    },
    /// The number is not a whole number, or is too large.
    #[snafu(display("expected a whole number of at most {NUMBER_MAX}"))]
    Number,
}

/// Parses a duration: a whole number followed by `ms`, `s` or `min`.
///
/// # Errors
///
/// Fails when the unit is unknown, or the number is not whole or exceeds `u32::MAX`.
pub fn parse_duration(text: &str) -> Result<Duration, QuantityError> {
    let millis = parse(text, &DURATION_UNITS, "ms, s or min")?;
    Ok(Duration::from_millis(millis))
}

/// Parses a size into bytes: a whole number, optionally followed by `B`, `KiB`, `MiB` or
/// `GiB`.
///
/// # Errors
///
/// Fails when the unit is unknown, or the number is not whole or exceeds `u32::MAX`.
pub fn parse_size(text: &str) -> Result<u64, QuantityError> {
    parse(text, &SIZE_UNITS, "B, KiB, MiB or GiB")
}

fn parse(text: &str, known: &[(&str, u64)], units: &'static str) -> Result<u64, QuantityError> {
    let split = known.iter().find_map(|(unit, factor)| {
        let number = text.strip_suffix(unit)?;
        Some((number.trim_end(), *factor))
    });
    let Some((number, factor)) = split else {
        return UnitSnafu { units }.fail();
    };
    Ok(parse_number(number)? * factor)
}

fn parse_number(text: &str) -> Result<u64, QuantityError> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return NumberSnafu.fail();
    }
    match text.parse() {
        Ok(number) if number <= NUMBER_MAX => Ok(number),
        _ => NumberSnafu.fail(),
    }
}
