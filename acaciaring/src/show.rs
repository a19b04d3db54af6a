//! The read-only commands: `in-force`, `owner`, `members` and `load`.

use std::thread;
use std::time::Instant;

use acaciaring_core::Offset;
use acaciaring_core::admin::{
    self, Documents, InForce, LoadEntry, Loads, MemberEntry, MemberName, Members, Owner,
    OwnerReason, PublishedDocument,
};
use acaciaring_core::route::DocumentField;
use serde_json::json;
use snafu::ensure;

use crate::Outcome;
use crate::client::Client;
use crate::error::{PendingSnafu, ToolError, UnknownDocumentSnafu};
use crate::publish::{RETRY_DELAY, lagging};
use crate::report::Report;

/// Reports the documents in force and the offset that each member has applied.
pub(crate) fn in_force(client: &Client, name: Option<&str>, wait: bool) -> Outcome {
    let start = Instant::now();
    match fetch(client, name, wait) {
        Ok((documents, members)) => {
            let offset = newest_version(&documents);
            let report = in_force_report(name, offset, &documents, &members);
            let vms = lagging(members, offset);
            let report =
                if wait && vms.is_empty() { report.with_elapsed(start.elapsed()) } else { report };
            let failure = (!vms.is_empty()).then(|| PendingSnafu { offset, vms }.build());
            Outcome { report: Some(report), failure }
        }
        Err(error) => Err(error).into(),
    }
}

/// Fetches documents and applied offsets; with `wait`, polls until no member lags or the deadline
/// passes.
fn fetch(
    client: &Client,
    name: Option<&str>,
    wait: bool,
) -> Result<(Vec<PublishedDocument>, InForce), ToolError> {
    loop {
        let (documents, members) = documents(client, name)?;
        let lags = !lagging(members.clone(), newest_version(&documents)).is_empty();
        if !wait || !lags || client.deadline_passed(Instant::now()) {
            return Ok((documents, members));
        }
        thread::sleep(RETRY_DELAY);
    }
}

fn newest_version(documents: &[PublishedDocument]) -> Offset {
    documents.iter().map(|document| document.version).max().unwrap_or(0)
}

fn documents(
    client: &Client,
    name: Option<&str>,
) -> Result<(Vec<PublishedDocument>, InForce), ToolError> {
    let Documents { mut documents, .. } = client.get(admin::DOCUMENTS, &[])?;
    if let Some(name) = name {
        documents.retain(|document| &*document.name == name);
        ensure!(!documents.is_empty(), UnknownDocumentSnafu { name });
    }
    let offset = newest_version(&documents);
    let members = client.get(admin::IN_FORCE, &[("offset", &offset.to_string())])?;
    Ok((documents, members))
}

fn in_force_report(
    name: Option<&str>,
    offset: u64,
    documents: &[PublishedDocument],
    members: &InForce,
) -> Report {
    let rows = documents.iter().map(|document| {
        let state = if document.retired { "retired" } else { "published" };
        vec![
            document.kind.to_string(),
            document.name.to_string(),
            document.version.to_string(),
            state.to_owned(),
        ]
    });
    let json = json!({"documents": documents, "members": members});
    let report = Report::new(&["KIND", "NAME", "VERSION", "STATE"], rows.collect(), json);
    let report = match name {
        Some(_) => report.with_table(&["SECTION", "KEY", "VALUE"], values(documents)),
        None => report,
    };
    report.with_table(&["MEMBER", "VM", "APPLIED", "IN FORCE"], member_rows(members, offset))
}

fn values(documents: &[PublishedDocument]) -> Vec<Vec<String>> {
    let row = |field: &DocumentField| {
        vec![field.section.to_string(), field.key.to_string(), field.value.to_string()]
    };
    documents.iter().flat_map(|document| &document.fields).map(row).collect()
}

fn member_rows(members: &InForce, offset: u64) -> Vec<Vec<String>> {
    let applied = members.applied.iter().map(|member| {
        let in_force = if member.applied >= offset { "yes" } else { "no" };
        vec![
            member.member.to_string(),
            member.vm.to_string(),
            member.applied.to_string(),
            in_force.to_owned(),
        ]
    });
    let pending = members
        .pending
        .iter()
        .map(|vm| vec!["-".to_owned(), vm.to_string(), "-".to_owned(), "not known".to_owned()]);
    applied.chain(pending).collect()
}

/// Reports the owner of a key and the reason.
pub(crate) fn owner(client: &Client, workspace: &str, key: &str) -> Result<Report, ToolError> {
    let query = [("workspace", workspace), ("key", key)];
    let owner: Owner = client.get(admin::OWNER, &query)?;
    let member = |member: &Option<MemberName>| match member {
        Some(MemberName { member, vm }) => format!("{member} ({vm})"),
        None => "none".to_owned(),
    };
    let unit = if owner.hot { "hot key in slot" } else { "slot" };
    let rows = [
        ("unit", format!("{unit} {}", owner.slot)),
        ("owner", member(&owner.owner)),
        ("standby", member(&owner.standby)),
        ("prior owner", member(&owner.prior)),
        ("served by", member(&owner.serves)),
        ("reason", explain(&owner)),
    ];
    let rows = rows.into_iter().map(|(label, value)| vec![label.to_owned(), value]);
    Ok(Report::new(&["WHAT", "VALUE"], rows.collect(), json!(owner)))
}

fn explain(owner: &Owner) -> String {
    let Owner { version, token, .. } = owner;
    match owner.reason {
        OwnerReason::Assigned => format!("owner since record {token}, unchanged since {version}"),
        OwnerReason::AwaitsRelease => {
            format!("owner by record {token}, waits for the prior owner to release or expire")
        }
        OwnerReason::TakenOver => {
            format!("standby under version {version}: the owner has released or its lease is over")
        }
        OwnerReason::Unassigned => "no member has been assigned".to_owned(),
    }
}

/// Reports the members.
pub(crate) fn members(client: &Client) -> Result<Report, ToolError> {
    let members: Members = client.get(admin::MEMBERS, &[])?;
    let row = |member: &MemberEntry| {
        let lessors: Vec<_> = member.lessors.iter().map(ToString::to_string).collect();
        vec![
            member.member.to_string(),
            member.vm.to_string(),
            member.data_centre.to_string(),
            member.phase.to_string(),
            member.workspace.as_deref().unwrap_or("-").to_owned(),
            member.owned.to_string(),
            member.standing_by.to_string(),
            lessors.join(","),
            member.http.to_string(),
        ]
    };
    let header = [
        "MEMBER",
        "VM",
        "DATA CENTRE",
        "PHASE",
        "WORKSPACE",
        "OWNED",
        "STANDBY",
        "LESSORS",
        "HTTP",
    ];
    let rows = members.members.iter().map(row).collect();
    Ok(Report::new(&header, rows, json!(members)))
}

/// Reports the load of the members.
pub(crate) fn load(client: &Client) -> Result<Report, ToolError> {
    let loads: Loads = client.get(admin::LOAD, &[])?;
    let row = |load: &LoadEntry| {
        vec![
            load.member.to_string(),
            load.vm.to_string(),
            load.workspace.as_deref().unwrap_or("-").to_owned(),
            format!("{}.{:03}", load.rate / 1_000, load.rate % 1_000),
            load.busy.to_string(),
            load.capacity.to_string(),
            format!("{} ms", load.age),
        ]
    };
    let header = ["MEMBER", "VM", "WORKSPACE", "REQUESTS/S", "BUSY", "CAPACITY", "AGE"];
    let rows = loads.members.iter().map(row).collect();
    Ok(Report::new(&header, rows, json!(loads)))
}
