//! Entry under exhausted file descriptors; in a process of its own, as the limit is per process.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use acaciaring_core::{Reason, Refusal};
use acaciaringd::entry::{Entry, EntryAnswer, EntryRequest, EntrySettings, Service};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

struct NoRoute;

impl Service for NoRoute {
    fn handle(&self, _request: EntryRequest) -> EntryAnswer {
        EntryAnswer::refusal(Refusal::not_run(Reason::NoRoute))
    }
}

/// Guards against an entry that never accepts again: `tiny_http` ends its accept thread when
/// `accept` fails for lack of file descriptors.
#[test]
fn accepting_goes_on_after_descriptors_ran_out() {
    let entry = Entry::start(EntrySettings::default(), Arc::new(NoRoute)).expect("entry");
    let address = entry.local_addr();
    let limit = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: Some(64), ..limit }).expect("limit");
    let mut burst = Vec::new();
    while let Ok(stream) = TcpStream::connect(address) {
        burst.push(stream);
    }
    assert!(!burst.is_empty());
    thread::sleep(Duration::from_millis(500));
    drop(burst);
    let answered = support::wait_until(|| {
        let bound = Duration::from_secs(1);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, bound) else { return false };
        stream.set_read_timeout(Some(bound)).expect("timeout");
        let sent = stream.write_all(b"GET / HTTP/1.1\r\n\r\n").is_ok();
        sent && support::read_message(&mut stream).starts_with("HTTP/1.1 404 ")
    });
    assert!(answered);
}
