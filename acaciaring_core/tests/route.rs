//! Tests of documents, the routes built from them, and route lookups.

use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::route::{
    Division, Document, DocumentKind, Fault, KeySource, Rank, Repeat, Route, Routes, build, check,
    parse, parse_any,
};
use acaciaring_core::{KeyHash, parse_duration, parse_size};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const TEMPLATE: &str = "\
[template]
name = contracts

[route]
prefix = /${place}/contracts

[division]
kind = keyed
slots = ${slots}
key = segment:1

[weights]
churn = 1
downtime = 0.25

[limits]
body = 64KiB

[class sign]
method = POST
path = /commitments
rank = interactive
repeat = once
deadline = 2s

[class other]
rank = background
repeat = idempotent
deadline = 250ms
";

const PARAMETERS: &str = "\
[workspace]
name = korenveld-contracts
tenant = korenveld
template = contracts

[parameters]
place = free-state
slots = 64
";

fn template(text: &str) -> Document {
    parse(DocumentKind::Template, "contracts.ini", text).expect("the template parses")
}

fn parameters(text: &str) -> Document {
    parse(DocumentKind::Parameters, "korenveld.ini", text).expect("the parameters parse")
}

fn route(template_text: &str) -> Route {
    build(&template(template_text), &parameters(PARAMETERS)).expect("the route builds")
}

fn faults(template_text: &str, parameters_text: &str) -> Vec<String> {
    let faults = build(&template(template_text), &parameters(parameters_text));
    faults.expect_err("the route has faults").iter().map(Fault::to_string).collect()
}

#[test]
fn a_filled_template_is_a_route() {
    let route = route(TEMPLATE);
    assert_eq!(&*route.workspace, "korenveld-contracts");
    assert_eq!(&*route.tenant, "korenveld");
    assert_eq!(&*route.prefix, "/free-state/contracts");
    assert_eq!(route.division, Division::Keyed { slots: 64, key: KeySource::Segment(1) });
    assert_eq!((route.weights.churn, route.weights.downtime), (1_000, 250));
    assert_eq!(route.max_body, 65_536);
    assert_eq!(route.classes.len(), 2);
    assert_eq!(route.classes[0].rank, Rank::Interactive);
    assert_eq!(route.classes[1].deadline, Duration::from_millis(250));
}

#[test]
fn every_fault_is_listed_with_its_line() {
    let broken = TEMPLATE
        .replace("slots = ${slots}", "slots = ${slot}")
        .replace("downtime = 0.25", "downtime = much")
        .replace("deadline = 2s", "deadline = 2h");
    let found = faults(&broken, &PARAMETERS.replace("tenant = korenveld\n", ""));
    let expected = [
        "korenveld-contracts:2: workspace.tenant: is missing",
        "contracts:9: division.slots: the workspace has no parameter 'slot'",
        "contracts:14: weights.downtime: expected a number in 0 to 1000 with at most three decimals",
        "contracts:24: class sign.deadline: expected a whole number followed by ms, s or min",
    ];
    assert_eq!(found, expected);
}

#[test]
fn values_outside_their_bounds_are_faults() {
    let cases = [
        ("slots = ${slots}", "slots = 0"),
        ("slots = ${slots}", "slots = 65537"),
        ("deadline = 250ms", "deadline = 0ms"),
        ("deadline = 250ms", "deadline = 11min"),
        ("body = 64KiB", "body = 17MiB"),
        ("body = 64KiB", "body = 0"),
        ("key = segment:1", "key = segment:32"),
        ("key = segment:1", "key = cookie:id"),
        ("prefix = /${place}/contracts", "prefix = contracts"),
        ("prefix = /${place}/contracts", "prefix = /a/../b"),
        ("method = POST", "method = post"),
        ("kind = keyed", "kind = pooled"),
        ("churn = 1\ndowntime = 0.25", "churn = 0\ndowntime = 0"),
        ("rank = background", "rank = background\nmethod = GET"),
        ("path = /commitments", "path = ${place"),
    ];
    for (valid, broken) in cases {
        let text = TEMPLATE.replace(valid, broken);
        assert_ne!(text, TEMPLATE, "{broken}");
        let found = build(&template(&text), &parameters(PARAMETERS));
        assert!(found.is_err(), "'{broken}' is accepted");
    }
}

#[test]
fn a_pooled_service_has_no_class_that_runs_once() {
    // Guards against a second run after a lost answer: no member of a pooled service owns the
    // idempotency key, so another upstream would run the request again.
    let pooled =
        TEMPLATE.replace("kind = keyed\nslots = ${slots}\nkey = segment:1", "kind = pooled");
    let found = faults(&pooled, PARAMETERS);
    assert_eq!(found.len(), 1);
    assert!(found[0].contains("class sign.repeat"), "{found:?}");
}

#[test]
fn a_class_behind_one_that_matches_all_is_a_fault() {
    let hidden = TEMPLATE.replace("method = POST\npath = /commitments\n", "");
    assert!(faults(&hidden, PARAMETERS)[0].contains("hides the classes after it"));
}

#[test]
fn a_document_must_name_itself_and_its_template() {
    let other = PARAMETERS.replace("template = contracts", "template = permits");
    assert!(faults(TEMPLATE, &other)[0].contains("workspace.template"));
    let renamed = Document { name: "permits".into(), ..template(TEMPLATE) };
    assert!(build(&renamed, &parameters(PARAMETERS)).is_err());
}

#[test]
fn a_file_lists_unknown_and_double_settings() {
    let text = "[template]\nname = a\nname = b\n\n[rout]\nprefix = /\n\n[limits]\n\n[template]\nowner = c\n";
    let found = parse(DocumentKind::Template, "a.ini", text).expect_err("the file has faults");
    let found: Vec<_> = found.iter().map(Fault::to_string).collect();
    let expected = [
        "a.ini:8: limits.: the section is empty",
        "a.ini:10: template.: the section occurs twice",
        "a.ini:3: template.name: is set twice",
        "a.ini:6: rout.prefix: unknown section",
        "a.ini:11: template.owner: unknown key, expected one of name",
    ];
    assert_eq!(found, expected);
}

/// Guards against a class whose answers fill the link of a VM unnoticed, or are limited unasked.
#[test]
fn a_class_states_whether_its_answers_are_large() {
    let class = |text: &str| {
        let route = build(&template(text), &parameters(PARAMETERS)).expect("valid");
        route.classes.last().expect("a class").large_answer
    };
    let with =
        |size| TEMPLATE.replace("deadline = 250ms", &format!("deadline = 250ms\nanswers = {size}"));
    assert!(!class(TEMPLATE));
    assert!(class(&with("large")));
    assert!(!class(&with("small")));
    assert!(faults(&with("huge"), PARAMETERS)[0].contains("expected large or small"));
}

#[test]
fn a_line_without_equals_sign_is_not_swallowed() {
    // Guards against two settings lost silently: the parser joins a line without '=' with the next.
    let text = TEMPLATE.replace("rank = background", "rank background");
    let found = parse(DocumentKind::Template, "a.ini", &text).expect_err("the file has a fault");
    assert!(found.iter().any(|fault| fault.message == "a line has no '='" && fault.line == 27));
}

#[test]
fn the_sections_tell_the_kind() {
    let kind = |text| parse_any("a.ini", text).expect("the file parses").kind;
    assert_eq!(kind(TEMPLATE), DocumentKind::Template);
    assert_eq!(kind(PARAMETERS), DocumentKind::Parameters);
}

#[test]
fn the_class_is_the_first_that_matches() {
    let route = route(TEMPLATE);
    let class = |method, path| &*route.class(method, path).name;
    assert_eq!(class("POST", "/free-state/contracts/commitments/k1"), "sign");
    assert_eq!(class("GET", "/free-state/contracts/commitments/k1"), "other");
    assert_eq!(class("POST", "/free-state/contracts/commitmentsX/k1"), "other");
}

#[test]
fn an_escape_does_not_bypass_a_class() {
    // Guards against a repeated run of a request that escapes a letter of its path: the upstream
    // decodes it, so the router must as well when it selects the class.
    let route = route(TEMPLATE);
    let class = route.class("POST", "/free-state/contracts/commit%6Dents/k1");
    assert_eq!(class.repeat, Repeat::Once);
}

#[test]
fn the_longest_prefix_on_a_segment_border_wins() {
    let base = route(TEMPLATE);
    let named = |workspace: &str, host: Option<&str>, prefix: &str| {
        Arc::new(Route {
            workspace: workspace.into(),
            host: host.map(Into::into),
            prefix: prefix.into(),
            ..base.clone()
        })
    };
    let routes: Routes = [
        named("root", None, ""),
        named("a", None, "/a"),
        named("a-b", None, "/a/b"),
        named("host", Some("mill.example"), "/a"),
        named("later", None, "/a"),
    ]
    .into_iter()
    .collect();
    let find = |host, path| routes.find(host, path).map_or("none", |route| &*route.workspace);
    assert_eq!(find(None, "/a/b/c?x=/a"), "a-b");
    assert_eq!(find(None, "/a/bc"), "a");
    assert_eq!(find(None, "/ab"), "root");
    assert_eq!(find(None, "/"), "root");
    assert_eq!(find(Some("Mill.Example:8080"), "/a/b"), "host");
    assert_eq!(find(Some("mill.example"), "/c"), "root");
    assert_eq!(find(Some("127.0.0.1:80"), "/a/x/"), "a");
    for path in ["", "a", "/a/../b", "/a/%2e%2E/b", "/a//b", "/a/x%2Fy", "/a/%zz"] {
        assert_eq!(find(None, path), "none", "{path}");
    }
}

#[test]
fn a_key_is_read_from_the_place_that_the_template_names() {
    let base = route(TEMPLATE);
    let with = |key| Route { division: Division::Keyed { slots: 8, key }, ..base.clone() };
    let hash = |key: &str| Some(KeyHash::of(key.as_bytes()));

    let segment = with(KeySource::Segment(1));
    let key = |path| segment.key(path, []);
    assert_eq!(key("/free-state/contracts/orders/k-1/x?k=2"), hash("k-1"));
    assert_eq!(key("/free-state/contracts/orders/k%20%c3%a9"), hash("k é"));
    assert_eq!(key("/free-state/contracts/orders/"), None);
    assert_eq!(key("/free-state/contracts/orders/%4"), None);
    assert_eq!(key("/free-state/contracts/x/../orders/k"), None);

    let header = with(KeySource::Header("x-key".into()));
    let key = |values: &[&'static str]| {
        header.key("/", values.iter().map(|value| ("X-Key", value.as_bytes())))
    };
    assert_eq!(key(&[" k1 "]), hash("k1"));
    assert_eq!(key(&["k1", "k1"]), hash("k1"));
    assert_eq!(key(&["k1", "k2"]), None);
    assert_eq!(key(&[""]), None);
    assert_eq!(key(&[]), None);

    let query = with(KeySource::Query("permit".into()));
    let key = |target| query.key(target, []);
    assert_eq!(key("/status?a=b&permit=P+1%2F2#x"), hash("P 1/2"));
    assert_eq!(key("/status?permit=1&permit=2"), None);
    assert_eq!(key("/status?permit="), None);
    assert_eq!(key("/status?permit=%"), None);
    assert_eq!(key("/status"), None);

    let pooled = Route { division: Division::Pooled, ..base.clone() };
    assert_eq!(pooled.key("/free-state/contracts/orders/k", []), None);
}

#[test]
fn quantities_need_whole_numbers_and_known_units() {
    assert_eq!(parse_duration("250ms"), Ok(Duration::from_millis(250)));
    assert_eq!(parse_duration("10 min"), Ok(Duration::from_mins(10)));
    assert_eq!(parse_size("4MiB"), Ok(4 << 20));
    assert_eq!(parse_size("16GiB"), Ok(16 << 30));
    assert_eq!(parse_size("512"), Ok(512));
    for text in ["", "ms", "1", "-1s", "1.5s", "+1s", "99999999999s"] {
        assert!(parse_duration(text).is_err(), "{text}");
    }
}

/// Runs a property with a fixed seed, so that its result is reproducible.
fn check_property<S: Strategy>(strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng).run(&strategy, test).expect("the property holds");
}

#[test]
fn no_text_makes_the_functions_panic() {
    let line = "(\\[[a-z ]{0,9}\\]|[a-z]{0,5} ?[=:]? ?[a-z0-9${}/%:.]{0,9}|[^\\r]{0,6})";
    let files = (prop::collection::vec(line, 0..12), prop::collection::vec(line, 0..6));
    check_property(files, |(first, second)| {
        let first = format!("[template]\nname = contracts\n{}", first.join("\n"));
        let second = format!("[workspace]\nname = w\n{}", second.join("\n"));
        let template = parse_any("a", &first);
        let parameters = parse_any("b", &second);
        if let (Ok(template), Ok(parameters)) = (template, parameters) {
            prop_assert!(check(&template).is_empty());
            let _ = build(&template, &parameters);
        }
        Ok(())
    });
}

#[test]
fn a_key_and_its_escaped_form_have_one_owner() {
    let route = route(TEMPLATE);
    check_property("[a-zA-Z0-9._~-]{3,12}", |key| {
        let escaped = key.bytes().fold(String::new(), |text, byte| format!("{text}%{byte:02X}"));
        let hash = |key: &str| route.key(&format!("/free-state/contracts/orders/{key}"), []);
        prop_assert_eq!(hash(&key), hash(&escaped));
        Ok(())
    });
}
