//! The commands `publish` and `retire`: send changes and wait until every member applies them.

use std::thread;
use std::time::{Duration, Instant};

use acaciaring_core::admin::{
    self, Conflict, Documents, InForce, Invalid, Publish, PublishedDocument,
};
use acaciaring_core::route::{Document, DocumentField, DocumentKind};
use acaciaring_core::{Name, Offset};
use rand::Rng;
use serde::Serialize;
use serde_json::json;
use snafu::{OptionExt, ensure};

use crate::Outcome;
use crate::check;
use crate::client::{Client, PublishReply};
use crate::error::{
    ConflictSnafu, InvalidSnafu, NotAppendedSnafu, PendingSnafu, ToolError, UnconfirmedSnafu,
    UnknownDocumentSnafu, UsageSnafu,
};
use crate::flags;
use crate::report::Report;

/// Delay between attempts of a request.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(200);

/// State of a change, as reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Step {
    /// Applied by every member.
    InForce,
    /// Already in force before the command, so nothing was published.
    Unchanged,
    /// Published, but not yet applied by every member.
    Pending,
    /// The command failed before or while publishing this document.
    NotPublished,
}

impl Step {
    const fn as_str(self) -> &'static str {
        match self {
            Self::InForce => "in-force",
            Self::Unchanged => "unchanged",
            Self::Pending => "pending",
            Self::NotPublished => "not-published",
        }
    }
}

/// Progress of the change to one document.
#[derive(Debug, Clone, Serialize)]
struct Progress {
    kind: DocumentKind,
    name: Name,
    base: Option<Offset>,
    version: Option<Offset>,
    step: Step,
    pending: Vec<Name>,
    /// Time from the start of the change until it was in force everywhere, in milliseconds.
    millis: Option<u64>,
}

/// Publishes the files, templates first; stops at the first failure.
pub(crate) fn run(client: &Client, command: &flags::Publish) -> Outcome {
    match prepare(command) {
        Ok(changes) => apply(client, &changes, command.base),
        Err(error) => Err(error).into(),
    }
}

/// Retires a document.
pub(crate) fn retire(client: &Client, command: &flags::Retire) -> Outcome {
    let change = Change {
        kind: command.kind.0,
        name: command.name.as_str().into(),
        retired: true,
        fields: Vec::new(),
    };
    apply(client, &[change], command.base)
}

/// Requested change to a document.
struct Change {
    kind: DocumentKind,
    name: Name,
    retired: bool,
    fields: Vec<DocumentField>,
}

impl Change {
    fn new(document: Document) -> Self {
        let Document { kind, name, fields } = document;
        Self { kind, name, retired: false, fields }
    }

    /// Returns true when the document in force already equals the result of the change.
    fn matches(&self, document: &PublishedDocument) -> bool {
        let value =
            |field: &DocumentField| [&field.section, &field.key, &field.value].map(Name::clone);
        let same = self.fields.iter().map(value).eq(document.fields.iter().map(value));
        self.retired == document.retired && (self.retired || same)
    }

    fn find<'a>(&self, documents: &'a Documents) -> Option<&'a PublishedDocument> {
        let same = |other: &&PublishedDocument| other.kind == self.kind && other.name == self.name;
        documents.documents.iter().find(same)
    }
}

fn prepare(command: &flags::Publish) -> Result<Vec<Change>, ToolError> {
    let sources = check::read(&command.files)?;
    let single = command.base.is_none() || sources.len() == 1;
    ensure!(single, UsageSnafu { message: "--base takes one FILE only" });
    Ok(sources.into_iter().map(|source| Change::new(source.document)).collect())
}

fn apply(client: &Client, changes: &[Change], base: Option<Offset>) -> Outcome {
    let mut progress: Vec<_> = changes.iter().map(initial_progress).collect();
    let mut failure = None;
    for (change, progress) in changes.iter().zip(&mut progress) {
        if let Err(error) = publish(client, change, base, progress) {
            failure = Some(error);
            break;
        }
    }
    Outcome { report: Some(report(&progress)), failure }
}

fn initial_progress(change: &Change) -> Progress {
    Progress {
        kind: change.kind,
        name: Name::clone(&change.name),
        base: None,
        version: None,
        step: Step::NotPublished,
        pending: Vec::new(),
        millis: None,
    }
}

fn publish(
    client: &Client,
    change: &Change,
    base: Option<Offset>,
    progress: &mut Progress,
) -> Result<(), ToolError> {
    let start = Instant::now();
    let (base, unchanged) = match base {
        Some(base) => (base, None),
        None => current_version(client, change)?,
    };
    progress.base = Some(base);
    let version = match unchanged {
        Some(version) => version,
        None => send(client, change, base)?,
    };
    progress.version = Some(version);
    progress.step = Step::Pending;
    wait(client, version, &mut progress.pending)?;
    progress.millis = u64::try_from(start.elapsed().as_millis()).ok();
    progress.step = if unchanged.is_some() { Step::Unchanged } else { Step::InForce };
    Ok(())
}

/// Returns the version in force as the base, and again if the change would have no effect.
fn current_version(
    client: &Client,
    change: &Change,
) -> Result<(Offset, Option<Offset>), ToolError> {
    let documents: Documents = client.get(admin::DOCUMENTS, &[])?;
    let found = change.find(&documents);
    if change.retired {
        found.context(UnknownDocumentSnafu { name: &*change.name })?;
    }
    let version = found.map_or(0, |document| document.version);
    let unchanged = found.is_some_and(|document| change.matches(document));
    Ok((version, unchanged.then_some(version)))
}

/// Retries a change until there is a final answer; returns the new version.
///
/// All attempts carry the same record id, so that a retry after a lost answer
/// is deduplicated and does not apply the change twice.
fn send(client: &Client, change: &Change, base: Offset) -> Result<Offset, ToolError> {
    let request = request(change, base);
    let mut uncertain = false;
    loop {
        let last = match client.publish(&request) {
            Ok(PublishReply::Published(published)) => return Ok(published.offset),
            Ok(PublishReply::Invalid(Invalid { faults })) => return InvalidSnafu { faults }.fail(),
            Ok(PublishReply::Conflict(Conflict { current })) if !uncertain => {
                return conflict(change, base, current);
            }
            Ok(PublishReply::Conflict(Conflict { current })) => {
                format!("version {current} is in force")
            }
            Ok(PublishReply::Refused(why)) => why,
            Ok(PublishReply::Unknown(why)) => {
                uncertain = true;
                why
            }
            Err(ToolError::Unreachable { .. }) if uncertain => {
                "no member can be reached".to_owned()
            }
            Err(error) => return Err(error),
        };
        if uncertain && let Some(outcome) = resolve_lost_response(client, change, base) {
            return outcome;
        }
        if client.deadline_passed(Instant::now()) {
            return timeout_error(change, uncertain, last);
        }
        thread::sleep(RETRY_DELAY);
    }
}

fn request(change: &Change, base: Offset) -> Publish {
    Publish {
        id: format!("{:032x}", rand::rng().random::<u128>()),
        kind: change.kind,
        name: Name::clone(&change.name),
        base,
        retired: change.retired,
        fields: change.fields.clone(),
    }
}

/// Finds the outcome of a change whose answer was lost from the document in force.
///
/// A member that no longer knows the record id would report the change as in
/// conflict with itself. Returns `None` while the base is still in force,
/// because the record may yet be applied.
fn resolve_lost_response(
    client: &Client,
    change: &Change,
    base: Offset,
) -> Option<Result<Offset, ToolError>> {
    let documents: Documents = client.get(admin::DOCUMENTS, &[]).ok()?;
    let document = change.find(&documents).filter(|document| document.version > base)?;
    if change.matches(document) {
        return Some(Ok(document.version));
    }
    Some(conflict(change, base, document.version))
}

fn conflict(change: &Change, base: Offset, current: Offset) -> Result<Offset, ToolError> {
    ConflictSnafu { kind: change.kind, name: Name::clone(&change.name), base, current }.fail()
}

fn timeout_error(change: &Change, uncertain: bool, last: String) -> Result<Offset, ToolError> {
    let (kind, name) = (change.kind, Name::clone(&change.name));
    if uncertain {
        return UnconfirmedSnafu { kind, name, last }.fail();
    }
    NotAppendedSnafu { kind, name, last }.fail()
}

/// Waits until every member has applied an offset; `pending` receives the VMs still lagging.
fn wait(client: &Client, offset: Offset, pending: &mut Vec<Name>) -> Result<(), ToolError> {
    loop {
        *pending = match client.get(admin::IN_FORCE, &[("offset", &offset.to_string())]) {
            Ok(in_force) => lagging(in_force, offset),
            // The last poll may time out at the deadline; the previous result still names the VMs.
            Err(ToolError::Unreachable { .. }) if !pending.is_empty() => pending.clone(),
            Err(ToolError::Unreachable { members }) => {
                members.iter().map(|(address, _)| address.to_string().into()).collect()
            }
            Err(error) => return Err(error),
        };
        if pending.is_empty() {
            return Ok(());
        }
        if client.deadline_passed(Instant::now()) {
            return PendingSnafu { offset, vms: pending.clone() }.fail();
        }
        thread::sleep(RETRY_DELAY);
    }
}

/// Returns the sorted VMs whose members have not applied an offset, or did not report.
pub(crate) fn lagging(in_force: InForce, offset: Offset) -> Vec<Name> {
    let behind = in_force.applied.into_iter().filter(|member| member.applied < offset);
    let mut vms: Vec<_> = behind.map(|member| member.vm).chain(in_force.pending).collect();
    vms.sort();
    vms.dedup();
    vms
}

fn report(progress: &[Progress]) -> Report {
    let number = |offset: Option<Offset>| offset.map_or_else(|| "-".to_owned(), |o| o.to_string());
    let row = |progress: &Progress| {
        vec![
            progress.kind.to_string(),
            progress.name.to_string(),
            number(progress.base),
            number(progress.version),
            progress.step.as_str().to_owned(),
            progress.millis.map_or_else(|| "-".to_owned(), |millis| format!("{millis} ms")),
            progress.pending.join(","),
        ]
    };
    let rows = progress.iter().map(row).collect();
    let header = ["KIND", "NAME", "BASE", "VERSION", "STEP", "IN FORCE AFTER", "WAITING FOR"];
    Report::new(&header, rows, json!({"documents": progress}))
}
