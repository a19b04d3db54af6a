//! Stub of a member's admin interface, and a runner of the tool.

use std::collections::VecDeque;
use std::process::Command;
use std::sync::{Arc, Mutex, PoisonError};
use std::{env, fs, thread};

use acaciaring_core::MemberId;
use acaciaring_core::admin::{
    Applied, Conflict, Documents, Failure, InForce, Publish, PublishOutcome, Published,
    PublishedDocument,
};
use serde::Serialize;
use tiny_http::{Request, Response, Server};

/// Fault injected into the next publish request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The log cannot be reached; nothing is appended.
    LogDown,
    /// The record is appended, but no answer is sent and the connection stays open.
    AnswerLost,
    /// As `AnswerLost`, and the member forgets the record ids.
    AnswerLostIdForgotten,
    /// The record is appended, but the member does not read it back in time and answers 504.
    Late,
}

/// State of the stub member; tests change it.
#[derive(Debug, Default)]
pub struct Member {
    /// Documents in force.
    pub documents: Vec<PublishedDocument>,
    /// Offset of the last record.
    pub last: u64,
    /// VMs reported as pending.
    pub unresponsive: Vec<&'static str>,
    /// Faults of the next publish requests, in order.
    pub faults: VecDeque<Fault>,
    /// Record id of each publish request received.
    pub attempts: Vec<String>,
    /// Id and offset of each record appended.
    pub appended: Vec<(String, u64)>,
}

/// HTTP server of a stub member.
pub struct StubServer {
    /// Listening address.
    pub address: String,
    /// State shared with the server thread.
    pub member: Arc<Mutex<Member>>,
}

impl StubServer {
    /// Starts the server on a free loopback port.
    pub fn start(member: Member) -> Self {
        let server = Server::http("127.0.0.1:0").expect("a port is free");
        let address = server.server_addr().to_string();
        let member = Arc::new(Mutex::new(member));
        let state = Arc::clone(&member);
        thread::spawn(move || {
            for request in server.incoming_requests() {
                let mut member = state.lock().unwrap_or_else(PoisonError::into_inner);
                member.answer(request);
            }
        });
        Self { address, member }
    }

    /// Calls `action` with the state locked.
    pub fn with_member<T>(&self, action: impl FnOnce(&mut Member) -> T) -> T {
        action(&mut self.member.lock().expect("the member has not panicked"))
    }
}

impl Member {
    fn answer(&mut self, mut request: Request) {
        let url = request.url().to_owned();
        let (status, body) = match url.split('?').next().unwrap_or_default() {
            "/v1/documents" => (200, json(&self.documents())),
            "/v1/in-force" => (200, json(&self.in_force())),
            "/v1/publish" => match self.publish(&read(&mut request)) {
                Some(answer) => answer,
                // Leave the connection open without an answer.
                None => return drop(request.into_writer()),
            },
            _ => (404, json(&Failure { message: format!("nothing at {url}") })),
        };
        let response = Response::from_string(body).with_status_code(status);
        request.respond(response).expect("the tool waits for the answer");
    }

    fn documents(&self) -> Documents {
        Documents { applied: self.last, documents: self.documents.clone() }
    }

    fn in_force(&self) -> InForce {
        let applied = Applied { member: MemberId(1), vm: "contracts-1".into(), applied: self.last };
        InForce {
            applied: vec![applied],
            pending: self.unresponsive.iter().map(|vm| (*vm).into()).collect(),
        }
    }

    fn publish(&mut self, text: &str) -> Option<(u16, String)> {
        let publish: Publish = serde_json::from_str(text).expect("the tool sends a request");
        self.attempts.push(publish.id.clone());
        let fault = self.faults.pop_front();
        if fault == Some(Fault::LogDown) {
            return Some((503, json(&Failure { message: "the log is down".to_owned() })));
        }
        let answer = self.append(publish);
        match fault {
            Some(Fault::Late) => {
                return Some((
                    504,
                    json(&Failure { message: "it may yet take effect".to_owned() }),
                ));
            }
            Some(Fault::AnswerLostIdForgotten) => self.appended.clear(),
            Some(_) => {}
            None => return Some(answer),
        }
        None
    }

    fn append(&mut self, publish: Publish) -> (u16, String) {
        let applied = |offset| (200, json(&Published { offset, outcome: PublishOutcome::Applied }));
        if let Some((_, offset)) = self.appended.iter().find(|(id, _)| *id == publish.id) {
            return applied(*offset);
        }
        let same =
            |other: &PublishedDocument| other.kind == publish.kind && other.name == publish.name;
        let current = self.documents.iter().find(|other| same(other)).map_or(0, |old| old.version);
        if current != publish.base {
            return (409, json(&Conflict { current }));
        }
        self.last += 1;
        self.documents.retain(|other| !same(other));
        self.documents.push(PublishedDocument {
            kind: publish.kind,
            name: publish.name,
            version: self.last,
            retired: publish.retired,
            fields: publish.fields,
        });
        self.appended.push((publish.id, self.last));
        applied(self.last)
    }
}

fn read(request: &mut Request) -> String {
    let mut text = String::new();
    request.as_reader().read_to_string(&mut text).expect("the body is text");
    text
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("messages are JSON")
}

/// Result of one run of the tool.
#[derive(Debug)]
pub struct Run {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

/// Runs the tool.
pub fn run(args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_acaciaring")).args(args).output();
    let output = output.expect("the tool runs");
    Run {
        code: output.status.code().expect("the tool ends by itself"),
        out: String::from_utf8(output.stdout).expect("the output is text"),
        err: String::from_utf8(output.stderr).expect("the output is text"),
    }
}

/// Writes a file to the directory of one test and returns its path.
pub fn file(case: &str, name: &str, text: &str) -> String {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(case);
    fs::create_dir_all(&directory).expect("the directory can be made");
    let path = directory.join(name);
    fs::write(&path, text).expect("the file can be written");
    path.display().to_string()
}
