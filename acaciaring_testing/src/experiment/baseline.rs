//! Baselines: settings that disable a mechanism of the daemons, for comparison with all enabled.

use serde::Serialize;

use super::scenario::Scenario;

/// Settings under which a scenario is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Baseline {
    /// Name in tables and JSON.
    pub name: &'static str,
    /// Lines appended to the settings file of every daemon.
    #[serde(skip)]
    pub settings: &'static str,
    /// Scenarios in which the disabled mechanism matters; all scenarios when empty.
    #[serde(skip)]
    pub scenarios: &'static [Scenario],
}

/// Baseline with all mechanisms enabled.
pub const FULL: Baseline = Baseline { name: "full", settings: "", scenarios: &[] };

/// All baselines, [`FULL`] first.
pub const BASELINES: &[Baseline] = &[
    FULL,
    Baseline {
        name: "no balance",
        settings: "[balance]\nmoves = 0\n",
        scenarios: &[Scenario::Calm, Scenario::HotSpell, Scenario::Join],
    },
];

impl Baseline {
    /// Whether the scenario is run under this baseline.
    #[must_use]
    pub fn covers(&self, scenario: Scenario) -> bool {
        self.scenarios.is_empty() || self.scenarios.contains(&scenario)
    }
}
