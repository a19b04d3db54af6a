//! Logs and traces on standard error, as text or JSON.
//!
//! Each hop of a request has a span. When the span ends, a line with its
//! fields and its time is written, so that the lines with one trace id are the
//! trace of one request.

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

/// Beginning of the targets of this project's crates.
const CRATE_PREFIX: &str = "acaciaring";

/// Most that libraries log; below it a QUIC library writes a line for each packet.
const LIBRARY_LEVEL: LevelFilter = LevelFilter::WARN;

/// Failure to set up or to change the logs.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The process has logs already.
    #[snafu(display("the logs are set up already"))]
    AlreadySet {
        /// What the library says.
        source: SetGlobalDefaultError,
    },
    /// The settings file has faults; the logs stay as they were.
    #[snafu(display("the settings of the logs stay as they were"))]
    Settings {
        /// Faults of the file.
        source: SettingsError,
    },
    /// The logs are gone.
    #[snafu(display("the logs cannot be changed"))]
    Gone {
        /// What the library says.
        source: reload::Error,
    },
}

/// Changes which lines are written while the process runs.
#[derive(Debug, Clone)]
pub struct LogHandle {
    filter: reload::Handle<LogFilter, Registry>,
}

impl LogHandle {
    /// Reads a settings file again and applies the level and the spans of its `[logging]`.
    ///
    /// # Errors
    ///
    /// Fails when the file has any fault; then the logs stay as they were.
    pub fn reload(&self, path: &Path) -> Result<(), LoggingError> {
        let settings = load(path).context(SettingsSnafu)?;
        self.apply(&settings.logging)
    }

    /// Applies the level and the spans.
    ///
    /// # Errors
    ///
    /// Fails when the subscriber is gone.
    pub fn apply(&self, settings: &Logging) -> Result<(), LoggingError> {
        self.filter.reload(LogFilter::new(settings)).context(GoneSnafu)?;
        info!(level = ?settings.level, spans = ?settings.spans, "logs changed");
        Ok(())
    }
}

/// Sets up the logs of this process on standard error.
///
/// # Errors
///
/// Fails when they are set up already.
pub fn init(settings: &Logging) -> Result<LogHandle, LoggingError> {
    let (subscriber, handle) = subscriber(settings, io::stderr);
    subscriber::set_global_default(subscriber).context(AlreadySetSnafu)?;
    Ok(handle)
}

/// Returns a subscriber that writes to `writer`, and the handle that changes it.
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

/// Which lines are written.
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
