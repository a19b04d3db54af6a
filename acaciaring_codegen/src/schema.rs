//! Parser of the settings schema, `settings.ini`.

use ini::{Ini, ParseOption, Properties};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::quantity::{QuantityError, parse_duration, parse_size};

/// Value of the `default` attribute of an optional setting without a default.
const NO_DEFAULT: &str = "none";

/// Error in the schema.
#[derive(Debug, Snafu)]
pub enum SchemaError {
    /// The file is not valid INI.
    #[snafu(display("invalid INI syntax"))]
    Syntax {
        /// Error of the INI parser.
        source: ini::ParseError,
    },
    /// An attribute is missing.
    #[snafu(display("{place} is missing"))]
    Missing {
        /// Section and attribute.
        place: String,
    },
    /// An attribute or its type name is unknown.
    #[snafu(display("{place} is unknown"))]
    Unknown {
        /// Section and attribute.
        place: String,
    },
    /// Bounds are missing, malformed, or given for a type without bounds.
    #[snafu(display("the bounds of {place} do not fit its type"))]
    Bounds {
        /// Section and key.
        place: String,
    },
    /// A default is not a value of its type.
    #[snafu(display("the default of {place} does not fit its type"))]
    Default {
        /// Section and key.
        place: String,
    },
}

/// Section of the settings.
#[derive(Debug)]
pub(crate) struct Section {
    pub(crate) name: String,
    pub(crate) doc: String,
    pub(crate) settings: Vec<Setting>,
}

/// One setting.
#[derive(Debug)]
pub(crate) struct Setting {
    pub(crate) name: String,
    pub(crate) kind: Kind,
    pub(crate) presence: Presence,
    pub(crate) bounds: Option<(String, String)>,
    pub(crate) doc: String,
}

/// Whether a setting is required, optional, or has a default.
#[derive(Debug)]
pub(crate) enum Presence {
    Required,
    Optional,
    Default(String),
}

/// Type of a setting.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Name,
    Address,
    Path,
    Duration,
    Size,
    Count,
    Ratio,
    Choice(Vec<String>),
}

impl Kind {
    fn parse(text: &str) -> Option<Self> {
        Some(match text {
            "name" => Self::Name,
            "address" => Self::Address,
            "path" => Self::Path,
            "duration" => Self::Duration,
            "size" => Self::Size,
            "count" => Self::Count,
            "ratio" => Self::Ratio,
            _ if text.contains('|') => Self::Choice(text.split('|').map(str::to_owned).collect()),
            _ => return None,
        })
    }

    pub(crate) const fn is_bounded(&self) -> bool {
        matches!(self, Self::Duration | Self::Size | Self::Count | Self::Ratio)
    }

    /// Returns true when `text` parses as a value of this type.
    fn accepts(&self, text: &str) -> bool {
        match self {
            Self::Name | Self::Path => !text.is_empty(),
            Self::Address => false,
            Self::Duration => parse_duration(text).is_ok(),
            Self::Size => parse_size(text).is_ok(),
            Self::Count => text.parse::<u32>().is_ok(),
            Self::Ratio => text.parse::<f64>().is_ok(),
            Self::Choice(words) => words.iter().any(|word| word == text),
        }
    }
}

/// Parses a duration into milliseconds.
pub(crate) fn millis(text: &str) -> Result<u128, QuantityError> {
    parse_duration(text).map(|duration| duration.as_millis())
}

/// Parses a size into bytes.
pub(crate) fn bytes(text: &str) -> Result<u64, QuantityError> {
    parse_size(text)
}

/// Parses the schema into sections.
pub(crate) fn parse(text: &str) -> Result<Vec<Section>, SchemaError> {
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    let file = Ini::load_from_str_opt(text, option).context(SyntaxSnafu)?;
    let named = file.iter().filter_map(|(name, values)| Some((name?, values)));
    named.map(|(name, values)| section(name, values)).collect()
}

fn section(name: &str, values: &Properties) -> Result<Section, SchemaError> {
    let mut settings = Vec::new();
    for (key, _) in values {
        let known = ["type", "default", "bounds", "doc"];
        match key.split_once('.') {
            Some((setting, "type")) => settings.push(self::setting(name, setting, values)?),
            Some((_, attribute)) if known.contains(&attribute) => {}
            None if key == "doc" => {}
            _ => return UnknownSnafu { place: format!("{name}.{key}") }.fail(),
        }
    }
    Ok(Section { name: name.to_owned(), doc: attribute(name, "doc", values)?, settings })
}

fn setting(section: &str, name: &str, values: &Properties) -> Result<Setting, SchemaError> {
    let place = format!("{section}.{name}");
    let attribute = |key: &str| attribute(section, &format!("{name}.{key}"), values);
    let kind = Kind::parse(&attribute("type")?);
    let kind = kind.context(UnknownSnafu { place: format!("{place}.type") })?;
    let presence = match values.get(format!("{name}.default")) {
        None => Presence::Required,
        Some(NO_DEFAULT) => Presence::Optional,
        Some(default) => Presence::Default(default.to_owned()),
    };
    if let Presence::Default(default) = &presence {
        ensure!(kind.accepts(default), DefaultSnafu { place: &place });
    }
    let bounds = values.get(format!("{name}.bounds"));
    let bounds = bounds.and_then(|bounds| bounds.split_once(".."));
    let bounds = bounds.map(|(min, max)| (min.to_owned(), max.to_owned()));
    ensure!(bounds_match(&kind, bounds.as_ref()), BoundsSnafu { place: &place });
    Ok(Setting { name: name.to_owned(), kind, presence, bounds, doc: attribute("doc")? })
}

fn bounds_match(kind: &Kind, bounds: Option<&(String, String)>) -> bool {
    match bounds {
        Some((min, max)) => kind.is_bounded() && kind.accepts(min) && kind.accepts(max),
        None => !kind.is_bounded(),
    }
}

fn attribute(section: &str, key: &str, values: &Properties) -> Result<String, SchemaError> {
    let place = || format!("{section}.{key}");
    values.get(key).map(str::to_owned).with_context(|| MissingSnafu { place: place() })
}
