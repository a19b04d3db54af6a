//! Refusals of malformed or incomplete requests.

use std::sync::Arc;
use std::thread;

use acaciaring_core::{Reason, Refusal};
use tiny_http::Request;
use tracing::{error, info};

use crate::clock;
use crate::entry::answer::EntryAnswer;
use crate::entry::body::{self, BodyError};
use crate::entry::connection::Fault;
use crate::entry::request::{self, Malformed};
use crate::entry::worker::Pool;

const BAD_REQUEST: u16 = 400;
const REQUEST_TIMEOUT: u16 = 408;
const TOO_LARGE: u16 = 413;
const HEADERS_TOO_LARGE: u16 = 431;

/// Whether a connection can regain message framing after a request that was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Recovery {
    /// Framing was intact before, and the length of the body is known.
    Possible,
    /// Framing was lost before, or the end of the body is ambiguous.
    Never,
}

impl Pool {
    pub(super) fn refuse_malformed(&self, raw: Request, malformed: Malformed) {
        let status = match malformed {
            Malformed::HeaderSize => HEADERS_TOO_LARGE,
            Malformed::Path | Malformed::Method | Malformed::Framing | Malformed::Deadline => {
                BAD_REQUEST
            }
        };
        info!(remote = ?raw.remote_addr(), ?malformed, "request rejected: malformed");
        let answer = bad_request(status);
        if malformed == Malformed::Framing {
            self.refuse_unread(raw, answer, Recovery::Never);
        } else if request::has_unread(&raw) {
            self.refuse_unread(raw, answer, Recovery::Possible);
        } else {
            self.answer(raw, &answer);
        }
    }

    /// Refuses a request on a connection that lost message framing.
    pub(super) fn refuse_desynced(&self, raw: Request, fault: Fault) {
        info!(remote = ?raw.remote_addr(), ?fault, "request rejected: message framing is lost");
        match fault {
            Fault::Unread => self.refuse_unread(raw, bad_request(BAD_REQUEST), Recovery::Never),
            Fault::Unwritten => run_on_thread("entry-drop", move || drop(raw.into_writer())),
        }
    }

    pub(super) fn refuse_body(&self, raw: Request, error: BodyError) {
        info!(remote = ?raw.remote_addr(), ?error, "request rejected: cannot read its body");
        let status = match error {
            BodyError::TooLarge => return self.answer(raw, &bad_request(TOO_LARGE)),
            BodyError::Huge => TOO_LARGE,
            BodyError::Slow => REQUEST_TIMEOUT,
            BodyError::Malformed | BodyError::Cut => BAD_REQUEST,
        };
        self.refuse_unread(raw, bad_request(status), Recovery::Possible);
    }

    /// Refuses a request with an unread body, on a separate thread.
    ///
    /// `tiny_http` reads the rest of the body when it drops the request, at the speed of the
    /// caller, which must not block a worker.
    pub(super) fn refuse_unread(&self, raw: Request, answer: EntryAnswer, recovery: Recovery) {
        self.service.0.record_verdict(answer.verdict);
        let Some(remote) = raw.remote_addr().copied() else {
            return;
        };
        self.desynced.mark(remote, Fault::Unread, clock::now());
        if raw.body_length().is_some_and(|length| length as u64 > body::MAX_DISCARD) {
            answer_and_leak(raw, &answer);
            return;
        }
        let (desynced, idle) = (Arc::clone(&self.desynced), self.settings.idle);
        let framed = raw.body_length().is_some() && !request::is_upgrade_of(&raw);
        let start = clock::now();
        run_on_thread("entry-abandon", move || {
            let written = raw.respond(answer.response()).is_ok();
            // No read times out within half of `idle`, so either the rest of the body was read or
            // the connection has ended; no unread bytes remain.
            let consumed = framed && written && clock::now().since(start) < idle / 2;
            if consumed && recovery == Recovery::Possible {
                desynced.unmark(remote);
            }
        });
    }
}

fn bad_request(status: u16) -> EntryAnswer {
    EntryAnswer::refusal_with(Refusal::not_run(Reason::BadRequest), status)
}

/// Runs work that the caller may block indefinitely on a separate thread.
fn run_on_thread(name: &str, run: impl FnOnce() + Send + 'static) {
    if let Err(error) = thread::Builder::new().name(name.into()).spawn(run) {
        error!(%error, name, "cannot start a thread");
    }
}

/// Answers a request whose body is above [`body::MAX_DISCARD`] and leaks its stream.
///
/// Dropping the stream would allocate the rest of the body. The connection stays open, and
/// blocks its thread if it is kept alive, until the process ends.
fn answer_and_leak(raw: Request, answer: &EntryAnswer) {
    error!(
        remote = ?raw.remote_addr(),
        length = ?raw.body_length(),
        "body too large to discard, connection stays open until the process ends"
    );
    std::mem::forget(raw.upgrade("none", answer.response()));
}
