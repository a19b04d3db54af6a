//! Metadata of the settings, and parsing and validation of their values.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};

use crate::quantity::{QuantityError, parse_duration, parse_size};
use crate::settings::Settings;

/// Metadata of one setting, from the schema.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Section of the settings file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// True when a settings file must set it.
    pub required: bool,
    /// Default in text form; empty when there is none.
    pub default: &'static str,
    /// Parses a text and assigns the value.
    pub assign: fn(&mut Settings, &str) -> Result<(), ValueError>,
}

/// Error of a text that is not a valid value of a setting.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ValueError {
    /// The text is not a duration or size.
    #[snafu(display("{source}"))]
    Quantity {
        /// Cause.
        source: QuantityError,
    },
    /// The text is not a number.
    #[snafu(display("expected a number"))]
    Number,
    /// The value is out of bounds.
    #[snafu(display("expected {min} to {max}"))]
    Bounds {
        /// Minimum value.
        min: String,
        /// Maximum value.
        max: String,
    },
    /// The text is not a socket address.
    #[snafu(display("expected IP:PORT, for example 127.0.0.1:7000"))]
    Address,
    /// The text is empty or contains other characters than a name may have.
    #[snafu(display("expected letters, digits, '-', '_' or '.'"))]
    Name,
    /// The text is empty.
    #[snafu(display("expected a value"))]
    Empty,
    /// The text is not one of the accepted words.
    #[snafu(display("expected one of {}", known.join(", ")))]
    Choice {
        /// Accepted words.
        known: Vec<&'static str>,
    },
}

/// Returns the placeholder of a required address in `Settings::default`: loopback, port 0.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn name(text: &str) -> Result<Arc<str>, ValueError> {
    let known = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.is_empty() || !text.chars().all(known) {
        return NameSnafu.fail();
    }
    Ok(text.into())
}

pub(crate) fn address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().ok().ok_or(ValueError::Address)
}

pub(crate) fn path(text: &str) -> Result<PathBuf, ValueError> {
    if text.is_empty() { EmptySnafu.fail() } else { Ok(text.into()) }
}

pub(crate) fn duration(text: &str, min: &str, max: &str) -> Result<Duration, ValueError> {
    let read = |text: &str| parse_duration(text).context(QuantitySnafu);
    bounded(read, text, min, max)
}

pub(crate) fn size(text: &str, min: &str, max: &str) -> Result<u64, ValueError> {
    let read = |text: &str| parse_size(text).context(QuantitySnafu);
    bounded(read, text, min, max)
}

pub(crate) fn count(text: &str, min: &str, max: &str) -> Result<u32, ValueError> {
    let read = |text: &str| text.parse().ok().ok_or(ValueError::Number);
    bounded(read, text, min, max)
}

pub(crate) fn ratio(text: &str, min: &str, max: &str) -> Result<f64, ValueError> {
    let read = |text: &str| text.parse().ok().ok_or(ValueError::Number);
    bounded(read, text, min, max)
}

pub(crate) fn choice<T: Copy>(text: &str, known: &[(&'static str, T)]) -> Result<T, ValueError> {
    let found = known.iter().find(|(word, _)| *word == text);
    found
        .map(|(_, value)| *value)
        .ok_or_else(|| ValueError::Choice { known: known.iter().map(|(word, _)| *word).collect() })
}

/// Parses a value and checks it against its inclusive bounds; NaN is out of bounds.
fn bounded<T: PartialOrd>(
    read: impl Fn(&str) -> Result<T, ValueError>,
    text: &str,
    min: &str,
    max: &str,
) -> Result<T, ValueError> {
    let value = read(text)?;
    if read(min)? <= value && value <= read(max)? {
        return Ok(value);
    }
    BoundsSnafu { min, max }.fail()
}
