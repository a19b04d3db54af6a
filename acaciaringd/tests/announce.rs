//! Admin listener: dispatch of announcements and operator requests, and refusals.

mod support;

use std::sync::Arc;

use acaciaringd::announce::{
    Admin, AdminAnswer, AdminListener, AdminSettings, AnnounceReply, Announcement, Phase,
};
use serde_json::json;

struct Echo;

impl Admin for Echo {
    fn announce(&self, announcement: Announcement) -> AnnounceReply {
        assert_eq!(announcement.phase, Phase::Ready);
        AnnounceReply { member: announcement.clock, leased: announcement.fenced }
    }

    fn get(&self, path: &str, query: &[(String, String)]) -> AdminAnswer {
        AdminAnswer { status: 200, json: json!({ "path": path, "query": query }) }
    }

    fn post(&self, path: &str, body: &[u8]) -> AdminAnswer {
        AdminAnswer { status: 202, json: json!({ "path": path, "length": body.len() }) }
    }
}

#[test]
fn listener_dispatches_and_refuses() {
    let settings = AdminSettings { body: 512, ..AdminSettings::default() };
    let listener = AdminListener::start(&settings, Arc::new(Echo)).expect("listener");
    let ask = |method: &str, path: &str, body: &str| {
        let length = body.len();
        let head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {length}\r\n\r\n");
        let answer = support::exchange(listener.local_addr(), &(head + body));
        let body = answer.split_once("\r\n\r\n").expect("head").1.to_owned();
        (answer[9..12].to_owned(), body)
    };
    let announcement = r#"{"workspace": "korenveld-contracts", "address": "127.0.0.1:9000",
        "fenced": true, "slots": 20, "connections": 100, "clock": 12, "phase": "ready"}"#;
    let reply = ask("POST", "/v1/announce", announcement);
    assert_eq!(reply, ("200".into(), r#"{"leased":true,"member":12}"#.into()));
    assert_eq!(ask("POST", "/v1/announce", "{").0, "400");
    let found = ask("GET", "/v1/status?member=3&all", "");
    assert_eq!(found.1, r#"{"path":"/v1/status","query":[["member","3"],["all",""]]}"#);
    assert_eq!(ask("POST", "/v1/publish", "abc").1, r#"{"length":3,"path":"/v1/publish"}"#);
    assert_eq!(ask("POST", "/v1/publish", &"x".repeat(600)).0, "413");
    assert_eq!(ask("DELETE", "/", "").0, "405");
}
