//! Tests of the load generator and its checks of records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use acaciaring_testing::{
    Echo, LoadClass, LoadOptions, Run, SentRequest, UpstreamOptions, UpstreamServer, Verdict,
    body_hash, check_records, check_tokens, run_load,
};
use tiny_http::{Header, Request, Response, Server};

fn header(request: &Request, name: &str) -> String {
    let mut headers = request.headers().iter();
    let header = headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    header.map(|header| header.value.to_string()).unwrap_or_default()
}

fn response_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).unwrap()
}

/// Entry that refuses each first attempt as `not-run` and answers `/swap` for another request.
fn entry() -> SocketAddr {
    let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
    let address = server.server_addr().to_ip().unwrap();
    thread::spawn(move || {
        while let Ok(mut request) = server.recv() {
            let mut body = Vec::new();
            request.as_reader().read_to_end(&mut body).unwrap();
            let tag = header(&request, "x-load-tag");
            if tag.ends_with(".0") {
                let refusal = Response::empty(503)
                    .with_header(response_header("x-acaciaring-verdict", "not-run"))
                    .with_header(response_header("x-acaciaring-reason", "busy"));
                request.respond(refusal).unwrap();
                continue;
            }
            let swapped = request.url().starts_with("/swap");
            let echo = Echo {
                request: String::new(),
                tag: if swapped { "other.0".into() } else { tag },
                path: request.url().to_owned(),
                upstream: "u".into(),
                length: body.len(),
                hash: body_hash(&body),
            };
            let answer = Response::from_data(serde_json::to_vec(&echo).unwrap())
                .with_header(response_header("x-acaciaring-verdict", "answered"));
            request.respond(answer).unwrap();
        }
    });
    address
}

#[test]
fn figures_count_what_callers_were_told() {
    let write = LoadClass {
        name: "write".into(),
        method: "POST".into(),
        path: "/{key}/sign".into(),
        once: true,
        body: 100,
        ..LoadClass::default()
    };
    let swap = LoadClass { name: "swap".into(), path: "/swap".into(), ..LoadClass::default() };
    let figures = run_load(&LoadOptions {
        entries: vec![entry(), entry()],
        duration: 500,
        tries: 2,
        classes: vec![LoadClass::default(), write, swap],
        ..LoadOptions::default()
    })
    .unwrap();
    let requests = figures.sent.len() as u64;
    assert!(requests > 0);
    assert_eq!(figures.told[&Verdict::NotRun], requests);
    let (read, write, swap) =
        (&figures.classes["read"], &figures.classes["write"], &figures.classes["swap"]);
    assert_eq!(read.sent + write.sent + swap.sent, requests);
    assert_eq!((read.answered, write.answered), (read.sent, write.sent));
    assert_eq!(swap.answered, 0);
    assert_eq!(figures.told[&Verdict::Wrong], swap.sent);
    assert!(read.p50 > 0 && read.p50 <= read.p99 && read.p99 <= read.longest);
    assert!(figures.sent.iter().all(|sent| (sent.class == "swap") == sent.key.is_none()));
}

#[test]
fn hottest_keys_change_and_the_others_stay() {
    let options = LoadOptions {
        entries: vec![entry()],
        duration: 300,
        keys: 40,
        changes: vec![0],
        ..LoadOptions::default()
    };
    let figures = run_load(&options).unwrap();
    let keys: Vec<&str> = figures.sent.iter().filter_map(|sent| sent.key.as_deref()).collect();
    let (hot, other): (Vec<&str>, Vec<&str>) =
        keys.into_iter().partition(|key| key.starts_with("hot-1-"));
    assert!(!hot.is_empty() && !other.is_empty());
    let rank = |key: &str| key.rsplit_once('-').and_then(|(_, rank)| rank.parse::<u64>().ok());
    assert!(hot.iter().all(|key| rank(key) <= Some(13)), "{hot:?}");
    assert!(other.iter().all(|key| rank(key) > Some(13)), "{other:?}");
}

#[test]
fn direct_calls_need_no_verdict() {
    let options = UpstreamOptions { fenced: false, ..UpstreamOptions::default() };
    let upstream = UpstreamServer::start(options).unwrap();
    for (direct, told) in [(true, Verdict::Answered), (false, Verdict::Nothing)] {
        let options = LoadOptions {
            entries: vec![upstream.address()],
            duration: 200,
            direct,
            ..LoadOptions::default()
        };
        let figures = run_load(&options).unwrap();
        assert!(figures.told[&told] > 0, "{:?}", figures.told);
        assert_eq!(figures.told.len(), 1, "{:?}", figures.told);
    }
}

#[test]
fn options_without_an_entry_are_refused() {
    assert!(run_load(&LoadOptions::default()).is_err());
}

fn run(upstream: &str, tag: &str, start: u64, end: u64) -> Run {
    Run { upstream: upstream.into(), tag: tag.into(), start, end, ..Run::default() }
}

fn sent(tag: &str, key: &str, tries: &[Verdict]) -> SentRequest {
    SentRequest {
        tag: tag.into(),
        class: "write".into(),
        key: Some(key.into()),
        once: true,
        tries: tries.to_vec(),
        status: 200,
        reason: None,
        start: 0,
        end: 0,
    }
}

#[test]
fn clean_records_are_clean() {
    let sent = [
        sent("a", "k", &[Verdict::NotRun, Verdict::Answered]),
        sent("b", "k", &[Verdict::Nothing]),
    ];
    let records = [run("u", "a.1", 10, 20), run("v", "b.0", 20, 30)];
    let report = check_records(&records, &sent);
    assert!(report.clean(), "{report:?}");
    assert_eq!(report.matched, 2);
    assert!(!check_records(&[], &[]).clean());
}

#[test]
fn duplicate_of_a_once_request_is_found() {
    let records = [run("u", "a.0", 10, 20), run("v", "a.1", 30, 40)];
    let report = check_records(&records, &[sent("a", "k", &[Verdict::Unknown, Verdict::Answered])]);
    assert_eq!(report.duplicates, ["a"]);
    let read =
        SentRequest { once: false, ..sent("a", "k", &[Verdict::Unknown, Verdict::Answered]) };
    assert!(check_records(&records, &[read]).clean());
}

#[test]
fn run_that_was_told_not_run_is_found() {
    let tries = [Verdict::NotRun, Verdict::Unknown];
    let report = check_records(&[run("u", "a.0", 10, 20)], &[sent("a", "k", &tries)]);
    assert_eq!(report.refused, ["a.0"]);
    assert!(check_records(&[run("u", "a.1", 10, 20)], &[sent("a", "k", &tries)]).clean());
}

#[test]
fn answer_without_a_run_is_found() {
    let report = check_records(&[run("u", "b.0", 1, 2)], &[sent("a", "k", &[Verdict::Answered])]);
    assert_eq!(report.missing, ["a.0"]);
}

#[test]
fn overlap_on_two_upstreams_is_found() {
    let requests = |keys: [&str; 3]| {
        let tags = ["a", "b", "c"].into_iter().zip(keys);
        tags.map(|(tag, key)| sent(tag, key, &[Verdict::Answered])).collect::<Vec<_>>()
    };
    // A long run on `u` overlaps with a short one on `u` and the start of one on `v`.
    let records = [run("u", "a.0", 10, 50), run("u", "b.0", 11, 12), run("v", "c.0", 40, 60)];
    let report = check_records(&records, &requests(["k", "k", "k"]));
    assert_eq!(report.overlaps.len(), 1);
    assert_eq!((&*report.overlaps[0].first.tag, &*report.overlaps[0].second.tag), ("a.0", "c.0"));
    assert!(check_records(&records, &requests(["k", "k", "l"])).clean());
    let mut reverted = records;
    reverted[0].reverted = true;
    let report = check_records(&reverted, &requests(["k", "k", "k"]));
    assert!(report.overlaps.is_empty());
}

// A former owner runs a request after the takeover, between two runs of the new owner, so that no
// runs overlap.
#[test]
fn a_run_under_an_older_token_is_found() {
    let run = |upstream: &str, token, start| Run {
        upstream: upstream.into(),
        slot: "7".into(),
        token,
        start,
        end: start + 1,
        ..Run::default()
    };
    let good = [run("a", 4, 10), run("b", 5, 20), run("b", 8, 30), run("b", 5, 31)];
    assert!(check_tokens(&good).is_empty());
    let stale = [run("a", 4, 10), run("b", 5, 20), run("a", 4, 25), run("b", 5, 30)];
    assert_eq!(check_tokens(&stale), [(stale[1].clone(), stale[2].clone())]);
    let other = Run { slot: "8".into(), ..run("a", 4, 25) };
    assert!(check_tokens(&[run("b", 5, 20), other]).is_empty());
}
