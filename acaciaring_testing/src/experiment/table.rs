//! Tables in Markdown.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Write as _};

use crate::load::Verdict;

use super::trial::Outcome;

/// Rows of text below a head.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table with the names of its columns.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        let head: Vec<String> = head.iter().map(ToString::to_string).collect();
        let rule = vec!["---".to_owned(); head.len()];
        Self { rows: vec![head, rule] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl Display for Table {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            writeln!(out, "| {} |", row.join(" | "))?;
        }
        Ok(())
    }
}

/// Returns the three tables of the outcomes: measures, classes and what callers were told.
#[must_use]
pub fn render(outcomes: &[Outcome]) -> String {
    let mut text = String::new();
    for table in [measures(outcomes), classes(outcomes), verdicts(outcomes)] {
        _ = writeln!(text, "{table}");
    }
    text
}

fn measures(outcomes: &[Outcome]) -> Table {
    let mut table = Table::new(&[
        "deployment",
        "scenario",
        "baseline",
        "imbalance whole (max/mean, sd/mean)",
        "imbalance end",
        "keys moved (moves) of seen",
        "units moved",
        "unavailable worst / mean ms",
        "goodput /s",
        "unknown",
        "duplicates",
        "not run but ran",
        "wrong or missing",
        "overlaps",
    ]);
    for outcome in outcomes {
        let Outcome { whole, end, churn, unavailable, .. } = outcome;
        let mut cells = name(outcome);
        cells.extend([
            format!("{:.2}, {:.2}", whole.peak, whole.deviation),
            format!("{:.2}, {:.2}", end.peak, end.deviation),
            format!("{} ({}) of {}", churn.keys, churn.moves, churn.seen),
            format!("{} of {}", outcome.units, outcome.known),
            format!(
                "{} / {}",
                unavailable.worst / 1000,
                unavailable.total / unavailable.keys.max(1) / 1000
            ),
            format!("{:.0}", outcome.goodput),
            told(outcome, Verdict::Unknown).to_string(),
            outcome.duplicates.to_string(),
            outcome.refused.to_string(),
            (outcome.wrong + outcome.missing).to_string(),
            outcome.overlaps.to_string(),
        ]);
        table.row(cells);
    }
    table
}

fn classes(outcomes: &[Outcome]) -> Table {
    let mut table = Table::new(&[
        "deployment",
        "scenario",
        "baseline",
        "class",
        "sent",
        "answered",
        "goodput /s",
        "p50 ms",
        "p99 ms",
    ]);
    for outcome in outcomes {
        for (class, figures) in &outcome.classes {
            let mut cells = name(outcome);
            cells.extend([
                class.clone(),
                figures.sent.to_string(),
                figures.answered.to_string(),
                format!("{:.0}", figures.goodput),
                millis(figures.p50),
                millis(figures.p99),
            ]);
            table.row(cells);
        }
    }
    table
}

fn verdicts(outcomes: &[Outcome]) -> Table {
    let mut table = Table::new(&[
        "deployment",
        "scenario",
        "baseline",
        "tries answered",
        "not run",
        "unknown",
        "no answer",
        "reasons of last tries",
    ]);
    for outcome in outcomes {
        let mut cells = name(outcome);
        let kinds = [Verdict::Answered, Verdict::NotRun, Verdict::Unknown, Verdict::Nothing];
        cells.extend(kinds.map(|kind| told(outcome, kind).to_string()));
        cells.push(reasons(&outcome.reasons));
        table.row(cells);
    }
    table
}

fn name(outcome: &Outcome) -> Vec<String> {
    let Outcome { deployment, scenario, baseline, .. } = outcome;
    vec![deployment.name().into(), scenario.name().into(), baseline.name.into()]
}

fn told(outcome: &Outcome, told: Verdict) -> u64 {
    outcome.told.get(&told).copied().unwrap_or_default()
}

fn reasons(reasons: &BTreeMap<String, u64>) -> String {
    let parts: Vec<String> =
        reasons.iter().map(|(name, count)| format!("{name} {count}")).collect();
    parts.join(", ")
}

/// Milliseconds with one digit after the point.
#[allow(clippy::cast_precision_loss)]
pub(super) fn millis(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1000.0)
}
