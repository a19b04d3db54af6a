//! Tables in Markdown.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Write as _};

use crate::load::Verdict;

use super::trial::Outcome;

/// Table with a header row.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns an empty table with the given column names.
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        let header: Vec<String> = header.iter().map(ToString::to_string).collect();
        let separator = vec!["---".to_owned(); header.len()];
        Self { rows: vec![header, separator] }
    }

    pub fn add_row(&mut self, cells: Vec<String>) {
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

/// Renders the tables of the outcomes: metrics, request classes and verdicts.
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
        let mut cells = run_cells(outcome);
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
            told_count(outcome, Verdict::Unknown).to_string(),
            outcome.duplicates.to_string(),
            outcome.refused.to_string(),
            (outcome.wrong + outcome.missing).to_string(),
            outcome.overlaps.to_string(),
        ]);
        table.add_row(cells);
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
            let mut cells = run_cells(outcome);
            cells.extend([
                class.clone(),
                figures.sent.to_string(),
                figures.answered.to_string(),
                format!("{:.0}", figures.goodput),
                format_millis(figures.p50),
                format_millis(figures.p99),
            ]);
            table.add_row(cells);
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
        let mut cells = run_cells(outcome);
        let kinds = [Verdict::Answered, Verdict::NotRun, Verdict::Unknown, Verdict::Nothing];
        cells.extend(kinds.map(|kind| told_count(outcome, kind).to_string()));
        cells.push(format_reasons(&outcome.reasons));
        table.add_row(cells);
    }
    table
}

fn run_cells(outcome: &Outcome) -> Vec<String> {
    let Outcome { deployment, scenario, baseline, .. } = outcome;
    vec![deployment.name().into(), scenario.name().into(), baseline.name.into()]
}

fn told_count(outcome: &Outcome, told: Verdict) -> u64 {
    outcome.told.get(&told).copied().unwrap_or_default()
}

fn format_reasons(reasons: &BTreeMap<String, u64>) -> String {
    let parts: Vec<String> =
        reasons.iter().map(|(name, count)| format!("{name} {count}")).collect();
    parts.join(", ")
}

/// Formats microseconds as milliseconds with one decimal place.
#[allow(clippy::cast_precision_loss)]
pub(super) fn format_millis(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1000.0)
}
