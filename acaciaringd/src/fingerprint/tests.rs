use acaciaring_schema::peer::{Header, Request};
use bytes::Bytes;

use super::fingerprint;

fn request() -> Request {
    Request {
        workspace: "books".into(),
        method: "PUT".into(),
        path: "/a?b=1".into(),
        headers: vec![header("host", "a.example"), header("x-caller", "lab")],
        body: Bytes::from_static(b"body"),
        ..Request::default()
    }
}

fn header(name: &str, value: &str) -> Header {
    Header { name: name.into(), value: value.into() }
}

/// Guards against requests that are not recognised when they come again.
#[test]
fn attempt_key_time_left_and_calling_service_do_not_change_it() {
    let again = Request { attempt: 7, left: 3, key: Some(4), id: vec![1; 16], ..request() };
    let again = Request {
        headers: [again.headers.clone(), vec![header("x-attempt", "9")]].concat(),
        ..again
    };
    assert_eq!(fingerprint(&request()), fingerprint(&again));
    let headers = vec![header("host", "a.example"), header("x-caller", "mill")];
    assert_eq!(fingerprint(&request()), fingerprint(&Request { headers, ..request() }));
}

/// Guards against different requests that are taken for one.
#[test]
fn path_host_and_body_change_it() {
    let others = [
        Request { workspace: "lab".into(), ..request() },
        Request { method: "GET".into(), ..request() },
        Request { path: "/a?b=2".into(), ..request() },
        Request { body: Bytes::from_static(b"other"), ..request() },
        Request { headers: vec![header("host", "b.example")], ..request() },
        Request { path: "/a?b=1body".into(), body: Bytes::new(), ..request() },
    ];
    for other in others {
        assert_ne!(fingerprint(&request()), fingerprint(&other), "{other:?}");
    }
}
