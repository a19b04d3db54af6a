//! Checks the verdicts that clients received against the records of the upstreams.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::path::Path;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{SentRequest, Verdict};
use crate::error::{IoSnafu, JsonSnafu, Result};
use crate::upstream::Run;

/// Violations found in the records of the upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Tags of at-most-once requests that ran more than once.
    pub duplicates: Vec<String>,
    /// Tags of attempts that got the verdict `not-run` although they ran.
    pub refused: Vec<String>,
    /// Tags of answered attempts without a run; meaningful only if all records are given.
    pub missing: Vec<String>,
    /// Tags of attempts that got a corrupt response or that of another request.
    pub wrong: Vec<String>,
    /// Concurrent runs of one key on two upstreams.
    pub overlaps: Vec<Overlap>,
    /// Number of runs matched with a request; 0 means that nothing was checked.
    pub matched: usize,
}

/// Two concurrent runs of one key on two upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overlap {
    /// Key.
    pub key: String,
    /// Run that started first.
    pub first: Run,
    /// Run that started before the first one ended.
    pub second: Run,
}

impl Report {
    /// Whether runs were checked and no violation was found.
    #[must_use]
    pub fn clean(&self) -> bool {
        self.matched > 0 && *self == Self { matched: self.matched, ..Self::default() }
    }
}

/// Checks the requests of a load against the records of all upstreams.
///
/// Ignores reverted runs and runs with other tags. A run without an end counts as ended at its
/// start, because its upstream may have crashed at any time after that.
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

/// Groups the runs that were not reverted by the tag of their request, without the attempt number.
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
    // Run with the latest end so far, by upstream.
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

/// Finds pairs of runs of one slot where the later, at another upstream, has the lower token.
///
/// Such a pair shows that a former owner ran a request after the takeover. Runs at one upstream are
/// not compared: a standby that becomes the owner gets a higher token while its earlier requests
/// still run. The records must come from one workspace and from upstreams on one clock.
#[must_use]
pub fn check_tokens(records: &[Run]) -> Vec<(Run, Run)> {
    let mut runs: Vec<&Run> =
        records.iter().filter(|run| !run.reverted && !run.slot.is_empty()).collect();
    runs.sort_by_key(|run| run.start);
    // Run with the highest token so far, by slot and upstream.
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

/// Reads the record file of an upstream.
///
/// # Errors
///
/// Returns an error if the file cannot be read or a complete line is not a run.
pub fn read_records(path: &Path) -> Result<Vec<Run>> {
    let text = fs::read_to_string(path)
        .with_context(|_| IoSnafu { what: format!("read {}", path.display()) })?;
    // A killed process may leave an incomplete last line.
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
