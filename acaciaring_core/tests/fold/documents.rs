//! Tests of publishing and retiring documents.

use acaciaring_core::route::DocumentKind::{Parameters, Template};
use acaciaring_core::state::{Outcome, RECENT_MAX, Rejection};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{Assign, DocumentKind};

use crate::support::{CONTRACTS, Log, encode, parameters, publish, retire, template};

fn is_invalid(rejection: Rejection) -> bool {
    matches!(rejection, Rejection::Invalid { faults } if !faults.is_empty())
}

/// Guards against a lost update: of two publications based on the same version, the second is
/// rejected with the version in force.
#[test]
fn racing_operators_have_one_winner() {
    let mut log = Log::with_members(0);
    let base = log.applied(parameters(CONTRACTS, "contracts", 8, 0));
    let winner = log.applied(parameters(CONTRACTS, "orders", 8, base));
    let conflict = log.rejected(parameters(CONTRACTS, "bookings", 8, base));
    assert_eq!(conflict, Rejection::Conflict { current: winner });
    assert_eq!(&*log.state.routes()[CONTRACTS].prefix, "/orders");
    assert_eq!(log.state.document(Parameters, CONTRACTS).expect("published").version, winner);
}

/// Guards against an append repeated after a lost answer that conflicts or overwrites a newer
/// version.
#[test]
fn a_repeated_append_has_no_effect() {
    let mut log = Log::with_members(0);
    let entry = encode([7; 16], parameters(CONTRACTS, "contracts", 8, 0));
    assert_eq!(log.append_entry(entry.clone()), Outcome::Applied);
    let version = log.applied(parameters(CONTRACTS, "orders", 8, log.state.next() - 1));
    assert_eq!(log.append_entry(entry), Outcome::Duplicate);
    assert_eq!(log.state.document(Parameters, CONTRACTS).expect("published").version, version);
    assert!(log.state.is_recent(&[7; 16]));
    assert_eq!(log.state.skipped(), 1);
    // The number of ids kept is bounded.
    for _ in 0..RECENT_MAX {
        log.append(template(1));
    }
    assert!(!log.state.is_recent(&[7; 16]));
    assert_eq!(log.state.to_snapshot().recent.len(), RECENT_MAX);
}

/// Guards against a rejected record that takes effect when it is appended again in a later state.
#[test]
fn a_rejected_record_stays_rejected() {
    let mut log = Log::default();
    let entry = encode([7; 16], parameters(CONTRACTS, "contracts", 8, 0));
    assert!(matches!(log.append_entry(entry.clone()), Outcome::Rejected(_)));
    log.applied(template(0));
    assert_eq!(log.append_entry(entry), Outcome::Duplicate);
    assert!(log.state.routes().is_empty());
}

#[test]
fn a_template_is_published_for_all_its_workspaces_or_not_at_all() {
    let mut log = Log::with_members(0);
    let base = log.state.next() - 1;
    log.applied(parameters(CONTRACTS, "contracts", 8, 0));
    log.applied(parameters("orders", "orders", 8, 0));
    let broken = [("template", "name", "keyed"), ("route", "prefix", "/${prefix}")];
    assert!(is_invalid(log.rejected(publish(DocumentKind::Template, "keyed", base, &broken))));
    // Without the parameter, both workspaces would have the same prefix.
    let Body::Publish(mut same) = template(base) else { unreachable!() };
    same.fields[1].value = "/same".to_owned();
    assert!(is_invalid(log.rejected(Body::Publish(same.clone()))));
    same.fields[1].value = "/v2-${prefix}".to_owned();
    log.applied(Body::Publish(same));
    let prefixes: Vec<_> = log.state.routes().values().map(|route| &*route.prefix).collect();
    assert_eq!(prefixes, ["/v2-contracts", "/v2-orders"]);
}

#[test]
fn routes_and_divisions_do_not_clash() {
    let mut log = Log::with_members(0);
    let base = log.applied(parameters(CONTRACTS, "contracts", 8, 0));
    assert!(is_invalid(log.rejected(parameters("other", "contracts", 8, 0))));
    assert!(is_invalid(log.rejected(parameters(CONTRACTS, "contracts", 9, base))));
    let orphan = [("workspace", "template", "none"), ("workspace", "tenant", "korenveld")];
    assert!(is_invalid(log.rejected(publish(DocumentKind::Parameters, "orphan", 0, &orphan))));
    assert!(is_invalid(log.rejected(publish(DocumentKind::Unspecified, "x", 0, &[]))));
    assert!(is_invalid(log.rejected(publish(DocumentKind::Template, "", 0, &[]))));
}

#[test]
fn a_retired_document_leaves_its_version() {
    let mut log = Log::with_members(0);
    let template_base = log.state.next() - 1;
    let base = log.applied(parameters(CONTRACTS, "contracts", 8, 0));
    let in_use = log.rejected(retire(DocumentKind::Template, "keyed", template_base));
    assert_eq!(in_use, Rejection::InUse { workspace: CONTRACTS.into() });
    let tombstone = log.applied(retire(DocumentKind::Parameters, CONTRACTS, base));
    assert!(log.state.routes().is_empty());
    assert!(log.state.service(CONTRACTS).is_none());
    let again = retire(DocumentKind::Parameters, CONTRACTS, tombstone);
    assert_eq!(log.rejected(again), Rejection::UnknownDocument);
    log.applied(retire(DocumentKind::Template, "keyed", template_base));
    assert!(log.state.document(Template, "keyed").expect("a tombstone").retired);
    let conflict = log.rejected(parameters(CONTRACTS, "contracts", 8, 0));
    assert_eq!(conflict, Rejection::Conflict { current: tombstone });
}

/// Guards against a second owner when a workspace is retired and published again: members that lag
/// behind the log still serve its slots.
#[test]
fn a_workspace_that_returns_keeps_its_owners() {
    let mut log = Log::with_service(5, 16);
    let owners = log.service().clone();
    let base = log.state.document(Parameters, CONTRACTS).expect("published").version;
    let base = log.applied(retire(DocumentKind::Parameters, CONTRACTS, base));
    let assign = Body::Assign(Assign { workspace: CONTRACTS.to_owned(), slots: 0 });
    let gone = Rejection::UnknownService { workspace: CONTRACTS.into() };
    assert_eq!(log.rejected(assign.clone()), gone);
    assert!(is_invalid(log.rejected(parameters(CONTRACTS, "contracts", 32, base))));
    let base = log.applied(parameters(CONTRACTS, "contracts", 16, base));
    assert_eq!(*log.service(), owners);
    assert_eq!(log.rejected(assign), Rejection::Assigned);
    // Once every owner is dead, the workspace may return with a different number of slots.
    log.applied(retire(DocumentKind::Parameters, CONTRACTS, base));
    let members: Vec<_> = log.state.members().map(|member| member.id.0).collect();
    for member in members {
        log.applied(Body::Exit(acaciaring_schema::log::Exit { member }));
    }
    log.applied(parameters(
        CONTRACTS,
        "contracts",
        32,
        log.state.document(Parameters, CONTRACTS).expect("known").version,
    ));
    assert_eq!(log.service().slots.len(), 32);
}

/// Guards against a template fault that shows only when the first workspace uses the template.
#[test]
fn a_template_without_users_is_checked() {
    let mut log = Log::default();
    let fields = [("template", "name", "spare"), ("route", "prefxi", "/spare")];
    assert!(is_invalid(log.rejected(publish(DocumentKind::Template, "spare", 0, &fields))));
    assert!(log.state.document(Template, "spare").is_none());
}
