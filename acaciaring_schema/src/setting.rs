//! Fields of settings: what is known of each, and how its text becomes a value.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};

use crate::quantity::{QuantityError, parse_duration, parse_size};
use crate::settings::Settings;

/// One setting, as the schema describes it.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Section of the settings file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// True when a settings file must have it.
    pub required: bool,
    /// Text of its default, empty when there is none.
    pub default: &'static str,
    /// Sets the value from its text.
    pub assign: fn(&mut Settings, &str) -> Result<(), ValueError>,
}

/// Why a text is no value of a setting.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ValueError {
    /// The text is no quantity.
    #[snafu(display("{source}"))]
    Quantity {
        /// What is wrong.
        source: QuantityError,
    },
    /// The text is no number.
    #[snafu(display("expected a number"))]
    Number,
    /// The value is out of its bounds.
    #[snafu(display("expected {min} to {max}"))]
    Bounds {
        /// Least value.
        min: String,
        /// Greatest value.
        max: String,
    },
    /// The text is no socket address.
    #[snafu(display("expected IP:PORT, for example 127.0.0.1:7000"))]
    Address,
    /// The text is no name.
    #[snafu(display("expected letters, digits, '-', '_' or '.'"))]
    Name,
    /// The text is empty.
    #[snafu(display("expected a value"))]
    Empty,
    /// The text is none of the known words.
    #[snafu(display("expected one of {}", known.join(", ")))]
    Choice {
        /// Known words.
        known: Vec<&'static str>,
    },
}

/// Returns the address that an address setting without default has: loopback, any port.
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

/// Reads a value and its bounds; a value that does not compare, as NaN, is out of bounds.
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
