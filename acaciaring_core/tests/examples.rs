//! Tests that the example documents build and route requests as intended.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use acaciaring_core::route::{Document, DocumentKind, Rank, Repeat, Route, Routes, build, parse};

fn read(directory: &str, kind: DocumentKind) -> Vec<Document> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(directory);
    let entries = fs::read_dir(path).expect("the examples are there");
    let paths = entries.map(|entry| entry.expect("the directory can be read").path());
    let parse = |path: std::path::PathBuf| {
        let text = fs::read_to_string(&path).expect("an example can be read");
        parse(kind, &path.display().to_string(), &text).expect("an example parses")
    };
    paths.map(parse).collect()
}

fn routes(tenant: &str) -> Vec<Route> {
    let templates = read(&format!("{tenant}/templates"), DocumentKind::Template);
    let parameters = read(&format!("{tenant}/parameters"), DocumentKind::Parameters);
    let build_route = |parameters: &Document| {
        let name = parameters.template().expect("parameters name a template");
        let template = templates.iter().find(|template| template.name == *name);
        build(template.expect("the template is there"), parameters).expect("the example builds")
    };
    parameters.iter().map(build_route).collect()
}

fn all() -> Routes {
    let routes = ["korenveld", "laurentides"].into_iter().flat_map(routes);
    routes.map(Arc::new).collect()
}

#[test]
fn requests_of_the_tenants_get_their_classes() {
    let cases = [
        ("POST", "/korenveld/contracts/commitments/c1", Rank::Interactive, Repeat::Once),
        ("GET", "/korenveld/contracts/orders/c1", Rank::Interactive, Repeat::Idempotent),
        ("DELETE", "/korenveld/contracts/orders/c1", Rank::Interactive, Repeat::Once),
        ("PUT", "/korenveld/quality-lab/samples/s1", Rank::Bulk, Repeat::Idempotent),
        ("GET", "/korenveld/quality-lab/contracts/c1/grade", Rank::Critical, Repeat::Idempotent),
        ("GET", "/korenveld/quality-lab/board/june", Rank::Background, Repeat::Idempotent),
        ("POST", "/laurentides/guichet/issuance/p1", Rank::Interactive, Repeat::Once),
        ("POST", "/laurentides/guichet/payments/p1", Rank::Interactive, Repeat::Once),
        ("GET", "/laurentides/guichet/limits/p1", Rank::Critical, Repeat::Idempotent),
        ("GET", "/laurentides/guichet/status/p1", Rank::Interactive, Repeat::Idempotent),
        ("PUT", "/laurentides/dossier/reports/r1", Rank::Bulk, Repeat::Idempotent),
        ("GET", "/laurentides/dossier/archive/a1", Rank::Background, Repeat::Idempotent),
    ];
    let routes = all();
    for (method, path, rank, repeat) in cases {
        let class = routes.find(None, path).expect("the path has a route").class(method, path);
        assert_eq!((class.rank, class.repeat), (rank, repeat), "{method} {path}");
    }
}

#[test]
fn the_tenants_weigh_moves_differently() {
    assert!(routes("korenveld").iter().all(|route| route.weights.churn > route.weights.downtime));
    assert!(routes("laurentides").iter().all(|route| route.weights.churn < route.weights.downtime));
}

#[test]
fn the_keys_of_contracts_and_permits_are_found() {
    let routes = all();
    let key = |path| routes.find(None, path).expect("the path has a route").key(path, []);
    let signing = key("/korenveld/contracts/commitments/c1");
    assert!(signing.is_some());
    assert_eq!(signing, key("/korenveld/contracts/orders/c1?full=yes"));
    assert_eq!(key("/laurentides/guichet/issuance"), None);
    assert_eq!(key("/laurentides/dossier/reports/r1"), None);
}
