//! Judges what callers were told against what upstreams ran.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::path::Path;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{SentRequest, Verdict};
use crate::error::{IoSnafu, JsonSnafu, Result};
use crate::upstream::Run;

/// Faults that the records of the upstreams show; empty when all is well.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Tags of requests that may run at most once and ran more often.
    pub duplicates: Vec<String>,
    /// Tags, with their try, that were told `not-run` and ran.
    pub refused: Vec<String>,
    /// Tags that were answered and are in no record; meaningful when all records are given.
    pub missing: Vec<String>,
    /// Tags that got another request's answer or a broken one as whole.
    pub wrong: Vec<String>,
    /// Runs of one key on two upstreams at the same time.
    pub overlaps: Vec<Overlap>,
    /// Count of runs that were matched with a request; 0 means that nothing was checked.
    pub matched: usize,
}

/// Two runs of one key on two upstreams at the same time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overlap {
    /// Key.
    pub key: String,
    /// Run that started first.
    pub first: Run,
    /// Run that started before the first one had ended.
    pub second: Run,
}

impl Report {
    /// Whether no fault was found and something was checked.
    #[must_use]
    pub fn clean(&self) -> bool {
        self.matched > 0 && *self == Self { matched: self.matched, ..Self::default() }
    }
}

/// Judges the requests of a load by the records of all upstreams.
///
/// Runs that carry no tag of these requests are left out, and so are runs that were reverted. A run
/// without an end is taken to have ended when it started, for its upstream may have died at any time
/// after that.
#[must_use]
pub fn check_records(records: &[Run], sent: &[SentRequest]) -> Report {
    let runs = by_tag(records);
    let mut report = Report::default();
    let mut keys: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for request in sent {
        let runs = runs.get(request.tag.as_str()).map_or(&[][..], Vec::as_slice);
        report.matched += runs.len();
        report.check_request(request, runs);
        if let Some(key) = &request.key {
            keys.entry(key).or_default().extend(runs);
        }
    }
    for (key, runs) in keys {
        report.overlaps.extend(overlaps(key, runs));
    }
    report
}

/// Runs that took effect, by the tag of their request without the try.
fn by_tag(records: &[Run]) -> HashMap<&str, Vec<&Run>> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in records.iter().filter(|run| !run.reverted) {
        if let Some((tag, _)) = run.tag.rsplit_once('.') {
            runs.entry(tag).or_default().push(run);
        }
    }
    runs
}

impl Report {
    fn check_request(&mut self, request: &SentRequest, runs: &[&Run]) {
        if request.once && runs.len() > 1 {
            self.duplicates.push(request.tag.clone());
        }
        for (number, told) in request.tries.iter().enumerate() {
            let tag = format!("{}.{number}", request.tag);
            match told {
                Verdict::NotRun if runs.iter().any(|run| run.tag == tag) => self.refused.push(tag),
                Verdict::Answered if runs.is_empty() => self.missing.push(tag),
                Verdict::Wrong => self.wrong.push(tag),
                Verdict::Answered | Verdict::NotRun | Verdict::Unknown | Verdict::Nothing => {}
            }
        }
    }
}

fn overlaps(key: &str, mut runs: Vec<&Run>) -> Vec<Overlap> {
    runs.sort_by_key(|run| run.start);
    let mut found = Vec::new();
    // The run that ends last so far, for each upstream.
    let mut latest: BTreeMap<&str, &Run> = BTreeMap::new();
    for run in runs {
        let others = latest.values().filter(|other| other.upstream != run.upstream);
        for other in others.filter(|other| run.start < other.end) {
            let (first, second) = ((*other).clone(), run.clone());
            found.push(Overlap { key: key.to_owned(), first, second });
        }
        let last = latest.entry(&run.upstream).or_insert(run);
        if run.end > last.end {
            *last = run;
        }
    }
    found
}

/// Pairs of runs in which the later one began under a lower token of the same slot, at another upstream.
///
/// A server whose keys were taken over has the lower token, so the pairs show what it ran after the
/// takeover. Runs at one upstream may pass each other: a standby that has taken over becomes the
/// owner, under a higher token, while its requests go on. The records are to be of one workspace,
/// and of upstreams whose clock is the same.
#[must_use]
pub fn check_tokens(records: &[Run]) -> Vec<(Run, Run)> {
    let mut runs: Vec<&Run> =
        records.iter().filter(|run| !run.reverted && !run.slot.is_empty()).collect();
    runs.sort_by_key(|run| run.start);
    // The run with the highest token so far, for each slot and upstream.
    let mut highest: BTreeMap<&str, BTreeMap<&str, &Run>> = BTreeMap::new();
    let mut found = Vec::new();
    for run in runs {
        let servers = highest.entry(&run.slot).or_default();
        let others = servers.values().filter(|other| other.upstream != run.upstream);
        let stale = others.filter(|other| run.token < other.token);
        found.extend(stale.map(|other| ((*other).clone(), run.clone())));
        let last = servers.entry(&run.upstream).or_insert(run);
        if run.token > last.token {
            *last = run;
        }
    }
    found
}

/// Reads the record that an upstream has written to a file.
///
/// # Errors
///
/// When the file cannot be read, or a line but the last is no run.
pub fn read_records(path: &Path) -> Result<Vec<Run>> {
    let text = fs::read_to_string(path)
        .with_context(|_| IoSnafu { what: format!("read {}", path.display()) })?;
    // The process may have been killed within its last line.
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let mut runs: Vec<Run> = Vec::new();
    for line in whole.lines() {
        let run: Run = serde_json::from_str(line).context(JsonSnafu)?;
        match runs.iter_mut().rev().find(|known| known.seq == run.seq && known.start == run.start) {
            Some(known) => *known = run,
            None => runs.push(run),
        }
    }
    Ok(runs)
}
