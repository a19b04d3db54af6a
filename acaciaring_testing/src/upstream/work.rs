//! Request handling of an upstream: admission, fencing, execution and response.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use parking_lot::MutexGuard;
use serde_json::json;
use tiny_http::{Method, Request};

use super::control::{Echo, UpstreamCounts};
use super::fence::Fence;
use super::record::Run;
use super::{Attempt, Check, Job, Shared, State, body_hash};
use crate::http::{self, Reply};

/// Header of an attempt, which its answer repeats.
const ATTEMPT: &str = "x-acaciaring-attempt";

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Value of `retry-after` in responses to shed requests.
const RETRY_AFTER_S: &str = "1";

/// Interval at which a frozen worker checks whether the upstream has stopped.
const FROZEN_POLL: Duration = Duration::from_millis(50);

/// Reason for not running a request.
#[derive(Clone, Copy)]
enum Refusal {
    Fence,
    Shed,
    Expired,
    Cancelled,
}

/// Fault applied to a response.
enum Delivery {
    Complete,
    Dropped,
    Truncated,
    Delayed(Duration),
}

pub(super) fn accept(shared: &Arc<Shared>) {
    while let Some(request) = shared.http.receive() {
        shared.handle(request);
    }
    for _ in 0..shared.options.slots {
        _ = shared.jobs.send(Job::Stop);
    }
}

pub(super) fn serve(shared: &Shared, queue: &Receiver<Job>) {
    for job in queue {
        let Job::Run(attempt) = job else { return };
        let number = attempt.number;
        shared.run(*attempt);
        if let Some(number) = number {
            shared.state.lock().attempts.remove(&number);
        }
        shared.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Shared {
    pub(super) fn handle(&self, request: Request) {
        if request.url().starts_with("/control") {
            return self.control(request);
        }
        let mut state = self.state.lock();
        if state.frozen {
            return state.held.push(request);
        }
        drop(state);
        if let Some(attempt) = request.url().strip_prefix("/acaciaring/cancel/") {
            let known = self.cancel(attempt.parse().unwrap_or(0));
            return http::answer(request, http::json(&json!({ "known": known })));
        }
        if request.url() == "/acaciaring/health" {
            return http::answer(request, http::json(&self.health()));
        }
        self.admit(request);
    }

    fn control(&self, mut request: Request) {
        if request.url() == "/control/record" {
            let reply = http::json(&self.state.lock().record.runs);
            return http::answer(request, reply);
        }
        if request.method() == &Method::Post {
            match http::command(&mut request) {
                Ok(control) => self.set(&control),
                Err(error) => return http::answer(request, http::bad_request(&error)),
            }
        }
        http::answer(request, http::json(&self.counts()));
    }

    fn cancel(&self, attempt: u64) -> bool {
        let state = self.state.lock();
        state.attempts.get(&attempt).is_some_and(|cancel| cancel.try_send(()).is_ok())
    }

    fn admit(&self, request: Request) {
        let mut state = self.state.lock();
        state.counts.arrived += 1;
        if self.busy.load(Ordering::SeqCst) >= state.capacity {
            return refuse(state, request, Refusal::Shed);
        }
        let number = header_number(&request, ATTEMPT);
        let left = time_left(&request);
        let (cancel, cancelled) = crossbeam_channel::bounded(1);
        if let Some(number) = number {
            state.attempts.insert(number, cancel.clone());
        }
        self.busy.fetch_add(1, Ordering::SeqCst);
        drop(state);
        let deadline = left.map(|left| Instant::now() + left);
        let attempt = Attempt { request, number, deadline, cancel: (cancel, cancelled) };
        _ = self.jobs.send(Job::Run(Box::new(attempt)));
    }

    /// Waits while the upstream is frozen.
    fn wait_unfrozen(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock();
        while state.frozen && !self.stopped() {
            self.unfrozen.wait_for(&mut state, FROZEN_POLL);
        }
        state
    }

    fn run(&self, mut attempt: Attempt) {
        let Some(body) = http::body(&mut attempt.request, MAX_BODY_BYTES) else {
            self.state.lock().counts.broken += 1;
            return self.http.close(attempt.request);
        };
        let fence = http::header(&attempt.request, "x-acaciaring-fence").and_then(Fence::parse);
        let mut state = self.wait_unfrozen();
        if let Some(why) = self.check(&mut state, &attempt, fence.as_ref()) {
            return refuse(state, attempt.request, why);
        }
        let run = self.describe(&attempt.request, attempt.number.unwrap_or(0), fence.as_ref());
        state.counts.ran += 1;
        let seq = state.record.start(run);
        let cost = self.cost(&state, attempt.request.url());
        drop(state);

        let cancelled = attempt.cancel.1.recv_timeout(cost).is_ok();
        let mut state = self.wait_unfrozen();
        let reverted = state.check == Check::Twice && !self.fence_valid(&mut state, fence.as_ref());
        state.record.end(seq, cancelled, reverted);
        if reverted {
            return refuse(state, attempt.request, Refusal::Fence);
        }
        // A run cancelled midway gets no response: its effect is unknown.
        let delivery = if cancelled { Delivery::Dropped } else { state.delivery() };
        drop(state);
        self.deliver(attempt.request, &body, &delivery);
    }

    fn check(
        &self,
        state: &mut State,
        attempt: &Attempt,
        fence: Option<&Fence>,
    ) -> Option<Refusal> {
        if attempt.cancel.1.try_recv().is_ok() {
            return Some(Refusal::Cancelled);
        }
        if attempt.deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            return Some(Refusal::Expired);
        }
        (!self.fence_valid(state, fence)).then_some(Refusal::Fence)
    }

    fn fence_valid(&self, state: &mut State, fence: Option<&Fence>) -> bool {
        let clock = self.clock();
        state.check == Check::Off || fence.is_some_and(|fence| state.tokens.check(fence, clock))
    }

    fn describe(&self, request: &Request, attempt: u64, fence: Option<&Fence>) -> Run {
        Run {
            upstream: self.options.name.clone(),
            request: header_text(request, "x-acaciaring-request"),
            attempt,
            tag: header_text(request, "x-load-tag"),
            method: request.method().to_string(),
            path: request.url().to_owned(),
            slot: fence.map(|fence| fence.slot.clone()).unwrap_or_default(),
            token: fence.map_or(0, |fence| fence.token),
            ..Run::default()
        }
    }

    fn deliver(&self, request: Request, body: &[u8], delivery: &Delivery) {
        let attempt = header_text(&request, ATTEMPT);
        let echo = Echo {
            request: header_text(&request, "x-acaciaring-request"),
            tag: header_text(&request, "x-load-tag"),
            path: request.url().to_owned(),
            upstream: self.options.name.clone(),
            length: body.len(),
            hash: body_hash(body),
        };
        match delivery {
            Delivery::Complete => {
                http::answer(request, http::with_header(http::json(&echo), ATTEMPT, &attempt));
            }
            Delivery::Dropped => self.http.close(request),
            Delivery::Truncated => {
                let body = serde_json::to_vec(&echo).unwrap_or_default();
                self.http.truncate(request, &body, body.len() / 2);
            }
            Delivery::Delayed(by) => {
                thread::sleep(*by);
                http::answer(request, http::with_header(http::json(&echo), ATTEMPT, &attempt));
            }
        }
    }
}

impl State {
    /// Takes the fault that applies to the next response.
    fn delivery(&mut self) -> Delivery {
        if self.lose > 0 {
            self.lose -= 1;
            self.counts.lost += 1;
            return Delivery::Dropped;
        }
        if self.cut > 0 {
            self.cut -= 1;
            return Delivery::Truncated;
        }
        if self.late > 0 {
            self.late -= 1;
            return Delivery::Delayed(self.lateness);
        }
        Delivery::Complete
    }
}

impl Refusal {
    /// Counts the refusal and builds its response.
    fn count(self, counts: &mut UpstreamCounts) -> Reply {
        let (count, status, why) = match self {
            Self::Fence => (&mut counts.fence, 409, "fence"),
            Self::Shed => (&mut counts.shed, 503, "shed"),
            Self::Expired => (&mut counts.expired, 504, "deadline"),
            Self::Cancelled => (&mut counts.cancelled, 503, "cancelled"),
        };
        *count += 1;
        let reply = http::with_header(http::status(status), "x-acaciaring-refused", why);
        match self {
            Self::Shed => http::with_header(reply, "retry-after", RETRY_AFTER_S),
            Self::Fence | Self::Expired | Self::Cancelled => reply,
        }
    }
}

fn refuse(mut state: MutexGuard<'_, State>, request: Request, why: Refusal) {
    let attempt = header_text(&request, ATTEMPT);
    let reply = http::with_header(why.count(&mut state.counts), ATTEMPT, &attempt);
    drop(state);
    http::answer(request, reply);
}

fn header_text(request: &Request, name: &str) -> String {
    http::header(request, name).unwrap_or_default().to_owned()
}

fn header_number(request: &Request, name: &str) -> Option<u64> {
    http::header(request, name)?.trim().parse().ok()
}

fn time_left(request: &Request) -> Option<Duration> {
    header_number(request, "x-acaciaring-deadline").map(Duration::from_millis)
}
