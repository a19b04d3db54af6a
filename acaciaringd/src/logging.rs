//! Logs and trace spans on standard error, as text or JSON.
//!
//! Each hop of a request has a span. When the span closes, a line with its fields and duration is
//! written; the lines with the same trace id form the trace of a request.

use std::io;
use std::path::Path;

use snafu::{ResultExt, Snafu};
use tracing::level_filters::LevelFilter;
use tracing::subscriber::{self, SetGlobalDefaultError};
use tracing::{Metadata, Subscriber, info};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::fmt::format::FmtSpan;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::{Registry, fmt, reload};

use crate::config::{Logging, LoggingFormat, LoggingLevel, LoggingSpans, SettingsError, load};

/// Prefix of the log targets of this project's crates.
const CRATE_PREFIX: &str = "acaciaring";

/// Most verbose level of other crates: below it the QUIC library logs every packet.
const LIBRARY_LEVEL: LevelFilter = LevelFilter::WARN;

/// Failure to set up or to reconfigure logging.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// Logging is already set up.
    #[snafu(display("logging is already set up"))]
    AlreadySet {
        /// Error of the library.
        source: SetGlobalDefaultError,
    },
    /// The settings file is invalid; the log filter is unchanged.
    #[snafu(display("cannot reload the logging settings, keeping the current ones"))]
    Settings {
        /// Faults of the settings file.
        source: SettingsError,
    },
    /// The subscriber no longer exists.
    #[snafu(display("cannot change the log filter"))]
    Gone {
        /// Error of the library.
        source: reload::Error,
    },
}

/// Handle that changes the log filter at run time.
#[derive(Debug, Clone)]
pub struct LogHandle {
    filter: reload::Handle<LogFilter, Registry>,
}

impl LogHandle {
    /// Reloads a settings file and applies the level and the spans of its `[logging]`.
    ///
    /// # Errors
    ///
    /// Fails if the file has any fault; the log filter is then unchanged.
    pub fn reload(&self, path: &Path) -> Result<(), LoggingError> {
        let settings = load(path).context(SettingsSnafu)?;
        self.apply(&settings.logging)
    }

    /// Applies the level and the spans of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the subscriber no longer exists.
    pub fn apply(&self, settings: &Logging) -> Result<(), LoggingError> {
        self.filter.reload(LogFilter::new(settings)).context(GoneSnafu)?;
        info!(level = ?settings.level, spans = ?settings.spans, "log filter changed");
        Ok(())
    }
}

/// Sets up logging to standard error for the whole process.
///
/// # Errors
///
/// Fails if logging is already set up.
pub fn init(settings: &Logging) -> Result<LogHandle, LoggingError> {
    let (subscriber, handle) = subscriber(settings, io::stderr);
    subscriber::set_global_default(subscriber).context(AlreadySetSnafu)?;
    Ok(handle)
}

/// Returns a subscriber that writes to `writer`, and the handle that changes its filter.
pub fn subscriber<W>(settings: &Logging, writer: W) -> (impl Subscriber + Send + Sync, LogHandle)
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let (layer, filter) = reload::Layer::new(LogFilter::new(settings));
    let format = fmt::layer().with_writer(writer).with_span_events(FmtSpan::CLOSE).with_ansi(false);
    let format = match settings.format {
        LoggingFormat::Text => format.boxed(),
        LoggingFormat::Json => format.json().flatten_event(true).with_span_list(false).boxed(),
    };
    (Registry::default().with(layer).with(format), LogHandle { filter })
}

/// Filter by target and level, with or without spans.
#[derive(Debug)]
struct LogFilter {
    targets: Targets,
    spans: bool,
}

impl LogFilter {
    fn new(settings: &Logging) -> Self {
        let level = match settings.level {
            LoggingLevel::Error => LevelFilter::ERROR,
            LoggingLevel::Warn => LevelFilter::WARN,
            LoggingLevel::Info => LevelFilter::INFO,
            LoggingLevel::Debug => LevelFilter::DEBUG,
            LoggingLevel::Trace => LevelFilter::TRACE,
        };
        let targets =
            Targets::new().with_default(level.min(LIBRARY_LEVEL)).with_target(CRATE_PREFIX, level);
        Self { targets, spans: settings.spans == LoggingSpans::On }
    }
}

impl<S: Subscriber> Layer<S> for LogFilter {
    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        let wanted = self.spans || !metadata.is_span();
        wanted && self.targets.would_enable(metadata.target(), metadata.level())
    }
}
