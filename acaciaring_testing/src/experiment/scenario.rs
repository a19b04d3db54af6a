//! Scenarios: the fault or change that is injected during a run.

use std::str::FromStr;

use serde::Serialize;

use crate::error::{Error, OptionsSnafu};

/// Fault or change that is injected during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// No fault or change.
    Calm,
    /// The 13 most requested keys are replaced by others.
    HotSpell,
    /// A VM joins the service that is partitioned by key.
    Join,
    /// A member shuts down gracefully.
    Stop,
    /// A VM crashes.
    Crash,
    /// A VM is frozen for 4 s and then resumes.
    Freeze,
    /// The log is unavailable, and a VM crashes during the outage.
    LogOutage,
    /// The offered load is twice the capacity of the servers.
    Overload,
    /// Open connections between members lose all further datagrams.
    Silence,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 9] = [
        Self::Calm,
        Self::HotSpell,
        Self::Join,
        Self::Stop,
        Self::Crash,
        Self::Freeze,
        Self::LogOutage,
        Self::Overload,
        Self::Silence,
    ];

    /// Name on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::HotSpell => "hot-spell",
            Self::Join => "join",
            Self::Stop => "stop",
            Self::Crash => "crash",
            Self::Freeze => "freeze",
            Self::LogOutage => "log-outage",
            Self::Overload => "overload",
            Self::Silence => "silence",
        }
    }

    /// Whether the fault affects one VM of the service that is partitioned by key.
    #[must_use]
    pub const fn has_victim(self) -> bool {
        matches!(self, Self::Stop | Self::Crash | Self::Freeze | Self::LogOutage)
    }

    /// Whether the affected VM is down at the end of the run.
    #[must_use]
    pub const fn loses_victim(self) -> bool {
        matches!(self, Self::Stop | Self::Crash | Self::LogOutage)
    }
}

impl FromStr for Scenario {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let found = Self::ALL.into_iter().find(|scenario| scenario.name() == text);
        found.ok_or_else(|| OptionsSnafu { what: format!("unknown scenario {text}") }.build())
    }
}
