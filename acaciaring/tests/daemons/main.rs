//! Tests of the commands against a cluster of real daemons.
//!
//! Need a built `acaciaringd`: `cargo test --workspace` and `cargo build` build it.

mod system;

use std::collections::BTreeSet;
use std::{fs, thread};

use serde_json::{Value, json};

use system::{CONTRACTS, GUICHET, Run, System, examples, lock_system, run};

fn parsed(run: &Run) -> Value {
    assert_eq!(run.code, 0, "{run:?}");
    serde_json::from_str(&run.out).expect("the output is JSON")
}

fn steps(published: &Value) -> Vec<&str> {
    let documents = published["documents"].as_array().expect("a list");
    documents.iter().map(|document| document["step"].as_str().expect("a step")).collect()
}

// Documents published through one member must be in force at all, and every member must report
// the same owners, members and loads.
#[test]
fn the_examples_are_published_and_shown() {
    let _guard = lock_system();
    let system = System::start("");
    let files = examples();
    let files: Vec<&str> = files.iter().map(String::as_str).collect();
    assert_eq!(files.len(), 8, "{files:?}");
    let checked = run(&[&["check"], files.as_slice()].concat());
    assert_eq!(checked.code, 0, "{checked:?}");

    let publish = [&["publish"], files.as_slice()].concat();
    let published = parsed(&system.json(0, &publish));
    assert_eq!(steps(&published), ["in-force"; 8], "{published}");
    assert!(published["documents"][7]["millis"].is_u64(), "{published}");
    let again = parsed(&system.json(1, &publish));
    assert_eq!(steps(&again), ["unchanged"; 8], "{again}");
    let table = system.tool(2, &["in-force"]);
    assert_eq!(table.code, 0, "{table:?}");
    assert!(table.out.contains(CONTRACTS) && table.out.contains("vm-3"), "{table:?}");

    system.wait_for_owners();
    let owner = parsed(&system.json(1, &["owner", CONTRACTS, "k1"]));
    let serves = owner["serves"]["vm"].as_str().expect("someone serves the key");
    assert!(["vm-0", "vm-1", "vm-2"].contains(&serves), "{owner}");
    assert_eq!(parsed(&system.json(2, &["owner", GUICHET, "k1"]))["serves"]["vm"], "vm-3");
    for command in ["members", "load"] {
        let shown = parsed(&system.json(1, &[command]));
        let members = shown["members"].as_array().expect("a list");
        let vms = members.iter().filter_map(|member| member["vm"].as_str());
        let vms: Vec<_> = vms.collect::<BTreeSet<_>>().into_iter().collect();
        assert_eq!(vms, ["vm-0", "vm-1", "vm-2", "vm-3"], "{command}");
    }

    let address = system.address(0);
    drop(system);
    let unreachable = run(&["--member", &address, "members"]);
    assert_eq!(unreachable.code, 6, "{unreachable:?}");
    let unreachable = run(&[&["--member", &address, "publish"], files.as_slice()].concat());
    assert_eq!(unreachable.code, 6, "{unreachable:?}");
}

// Of concurrent changes to one version through two members exactly one may win; the other must
// report the conflict. An invalid file must be refused with its line and change nothing.
#[test]
fn a_conflict_and_a_fault_change_nothing() {
    let _guard = lock_system();
    let system = System::start("");
    let files = examples();
    let files: Vec<&str> = files.iter().map(String::as_str).collect();
    parsed(&system.json(0, &[&["publish"], files.as_slice()].concat()));
    let mut base = version(&system);
    for round in 0..3 {
        let texts = [0, 1].map(|side| system.parameters(&format!("{}ms", 1000 + round * 2 + side)));
        let at = base.to_string();
        let runs = thread::scope(|scope| {
            let (system, at) = (&system, at.as_str());
            let spawn =
                |(vm, text)| scope.spawn(move || system.tool(vm, &["publish", "--base", at, text]));
            let threads = texts.iter().map(String::as_str).enumerate().map(spawn);
            let threads: Vec<_> = threads.collect();
            threads.into_iter().map(|thread| thread.join().expect("no panic")).collect::<Vec<_>>()
        });
        base = version(&system);
        let mut codes: Vec<_> = runs.iter().map(|run| run.code).collect();
        codes.sort_unstable();
        assert_eq!(codes, [0, 4], "{runs:?}");
        let loser = runs.iter().find(|run| run.code == 4).expect("one lost");
        assert!(loser.err.contains(&format!("version {base} is in force")), "{loser:?}");
    }

    let broken = system.parameters("2s\n\n[workspace]\nregion = free-state");
    let line = fs::read_to_string(&broken).expect("a file").lines().count();
    for command in ["check", "publish"] {
        let files = [&[command], files.as_slice(), &[broken.as_str()]].concat();
        let files: Vec<_> =
            files.into_iter().filter(|file| !file.ends_with(&contracts_path())).collect();
        let invalid = system.tool(0, &files);
        assert_eq!(invalid.code, 3, "{invalid:?}");
        let place = format!("{broken}:{line}: workspace.region");
        assert!(invalid.err.contains(&place), "{place} in {invalid:?}");
    }
    assert_eq!(version(&system), base);
}

/// Path suffix of the file that [`System::parameters`] replaces.
fn contracts_path() -> String {
    format!("parameters/{CONTRACTS}.ini")
}

fn version(system: &System) -> u64 {
    let shown = parsed(&system.json(0, &["in-force", CONTRACTS]));
    shown["documents"][0]["version"].as_u64().expect("a version")
}

// A change must not be reported as in force while a VM is frozen; it must come into force there
// without a further command once the VM resumes.
#[test]
fn a_frozen_member_is_waited_for() {
    let _guard = lock_system();
    // The lease outlasts the freeze, so that the VM is not evicted.
    let mut system = System::start("[lease]\nterm = 10s\n");
    let files = examples();
    let files: Vec<&str> = files.iter().map(String::as_str).collect();
    system.cluster.vms[2].process.freeze();
    let publish = [&["--timeout", "3s", "publish"], files.as_slice()].concat();
    let pending = system.tool(0, &publish);
    assert_eq!(pending.code, 5, "{pending:?}");
    assert!(pending.err.contains("not yet in force at vm-2"), "{pending:?}");
    system.cluster.vms[2].process.thaw();
    let shown = parsed(&system.json(0, &["--timeout", "30s", "in-force", "--wait"]));
    assert!(shown["millis"].is_u64() && shown["members"]["pending"] == json!([]), "{shown}");
    let rest = parsed(&system.json(2, &[&["publish"], files.as_slice()].concat()));
    assert_eq!(steps(&rest)[0], "unchanged", "{rest}");
}
