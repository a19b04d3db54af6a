//! Parsers of route values, with their bounds.

use std::ops::RangeInclusive;
use std::time::Duration;

use acaciaring_schema::quantity::{parse_duration, parse_size};

use super::layout::is_name;
use super::{KeySource, Rank, Repeat};
use crate::id::Name;

/// Valid numbers of slots of a service.
const SLOT_RANGE: RangeInclusive<u32> = 1..=65_536;

/// Valid deadlines of a class.
const DEADLINE_RANGE: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_mins(10);

/// Valid limits of the body size, in bytes.
const BODY_BYTES: RangeInclusive<u64> = 1..=16 << 20;

/// Maximum weight, in thousandths.
const WEIGHT_MAX: u32 = 1_000_000;

/// Maximum index of the path segment that holds the key.
const SEGMENT_MAX: usize = 31;

/// Maximum length of a host name in bytes, as in DNS (RFC 1035).
const HOST_MAX: usize = 253;

/// Maximum length of a method in bytes.
const METHOD_MAX: usize = 16;

/// Value, or an error message that says what is expected.
type Parsed<T> = Result<T, String>;

pub(super) fn name(text: &str) -> Parsed<Name> {
    if is_name(text) {
        return Ok(text.into());
    }
    Err(format!("'{text}' is not a name of lower-case letters, digits, '-', '_' or '.'"))
}

pub(super) fn host(text: &str) -> Parsed<Name> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    if text.is_empty() || text.len() > HOST_MAX || !text.chars().all(allowed) {
        return Err(format!("'{text}' is not a host name; a port is not allowed"));
    }
    Ok(text.to_ascii_lowercase().into())
}

/// Parses a path prefix and removes a trailing slash; the empty one matches every path.
pub(super) fn prefix(text: &str) -> Parsed<Name> {
    let trimmed = text.strip_suffix('/').unwrap_or(text);
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._~".contains(c);
    let plain = |segment: &str| {
        !segment.is_empty() && segment != "." && segment != ".." && segment.chars().all(allowed)
    };
    let valid = match trimmed.strip_prefix('/') {
        Some(rest) => rest.split('/').all(plain),
        None => trimmed.is_empty(),
    };
    if valid {
        return Ok(trimmed.into());
    }
    Err(format!(
        "'{text}' is not a path of '/' and segments of letters, digits, '-', '.', '_' or '~'"
    ))
}

pub(super) fn method(text: &str) -> Parsed<Name> {
    let valid = !text.is_empty() && text.len() <= METHOD_MAX;
    if valid && text.bytes().all(|byte| byte.is_ascii_uppercase()) {
        return Ok(text.into());
    }
    Err(format!("'{text}' is not a method of at most {METHOD_MAX} capital letters"))
}

pub(super) fn slots(text: &str) -> Parsed<u32> {
    let slots = text.parse().ok().filter(|slots| SLOT_RANGE.contains(slots));
    slots.ok_or_else(|| {
        format!("expected a whole number from {} to {}", SLOT_RANGE.start(), SLOT_RANGE.end())
    })
}

pub(super) fn key_source(text: &str) -> Parsed<KeySource> {
    let source = match text.split_once(':') {
        Some(("segment", index)) => {
            index.parse().ok().filter(|index| *index <= SEGMENT_MAX).map(KeySource::Segment)
        }
        Some(("header", name)) => Some(name.to_ascii_lowercase())
            .filter(|name| is_name(name))
            .map(|name| KeySource::Header(name.into())),
        Some(("query", name)) => {
            Some(name).filter(|name| is_query_name(name)).map(|name| KeySource::Query(name.into()))
        }
        _ => None,
    };
    source.ok_or_else(|| {
        format!("expected segment:N with N up to {SEGMENT_MAX}, header:NAME or query:NAME")
    })
}

fn is_query_name(text: &str) -> bool {
    is_name(&text.to_ascii_lowercase())
}

/// Parses a decimal number with at most three decimals into thousandths.
pub(super) fn weight(text: &str) -> Parsed<u32> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    let valid = digits(whole) && digits(decimals) && decimals.len() <= 3;
    let weight = format!("{whole}{decimals:0<3}").parse().ok();
    match weight {
        Some(weight) if valid && weight <= WEIGHT_MAX => Ok(weight),
        _ => Err("expected a number in 0 to 1000 with at most three decimals".to_owned()),
    }
}

pub(super) fn body(text: &str) -> Parsed<u64> {
    let size = parse_size(text).map_err(|error| error.to_string())?;
    if BODY_BYTES.contains(&size) {
        return Ok(size);
    }
    Err(format!("expected {} to {} bytes", BODY_BYTES.start(), BODY_BYTES.end()))
}

pub(super) fn deadline(text: &str) -> Parsed<Duration> {
    let deadline = parse_duration(text).map_err(|error| error.to_string())?;
    if DEADLINE_RANGE.contains(&deadline) {
        return Ok(deadline);
    }
    Err("expected a duration from 1ms to 10min".to_owned())
}

pub(super) fn rank(text: &str) -> Parsed<Rank> {
    match text {
        "critical" => Ok(Rank::Critical),
        "interactive" => Ok(Rank::Interactive),
        "bulk" => Ok(Rank::Bulk),
        "background" => Ok(Rank::Background),
        _ => Err("expected critical, interactive, bulk or background".to_owned()),
    }
}

pub(super) fn repeat(text: &str) -> Parsed<Repeat> {
    match text {
        "idempotent" => Ok(Repeat::Idempotent),
        "once" => Ok(Repeat::Once),
        _ => Err("expected once or idempotent".to_owned()),
    }
}

/// Parses the size of a class's answers; true if they are large.
pub(super) fn large_answer(text: &str) -> Parsed<bool> {
    match text {
        "large" => Ok(true),
        "small" => Ok(false),
        _ => Err("expected large or small".to_owned()),
    }
}

/// Kind of a division.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DivisionKind {
    /// Partitioned by key.
    Keyed,
    /// Not partitioned.
    Pooled,
}

pub(super) fn division(text: &str) -> Parsed<DivisionKind> {
    match text {
        "keyed" => Ok(DivisionKind::Keyed),
        "pooled" => Ok(DivisionKind::Pooled),
        _ => Err("expected keyed or pooled".to_owned()),
    }
}
