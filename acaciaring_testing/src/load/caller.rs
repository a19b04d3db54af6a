//! Client thread of a load.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use ureq::http::Response;
use ureq::{Agent, Body};

use super::{LoadClass, LoadOptions, SentRequest, Verdict};
use crate::error::{OptionsSnafu, Result};
use crate::upstream::{Echo, body_hash, micros};

/// Upper bound on the wait before a retry.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);

/// Wait before a retry if the response requests none.
const RETRY_WAIT: Duration = Duration::from_millis(20);

/// Number of hottest keys that are replaced together.
const HOT_KEYS: u64 = 13;

const BODY_FILL: u8 = b'x';

pub(super) struct Caller<'a> {
    options: &'a LoadOptions,
    number: usize,
    rng: StdRng,
    agent: Agent,
    start: Instant,
    end: Instant,
}

/// Request to be sent.
struct Draft<'a> {
    class: &'a LoadClass,
    tag: String,
    path: String,
    body: Vec<u8>,
}

/// Response to one attempt.
struct Reply {
    outcome: Verdict,
    status: u16,
    reason: Option<String>,
    wait: Option<Duration>,
}

/// Rejects options that permit no request.
pub(super) fn validate(options: &LoadOptions) -> Result<()> {
    let what = if options.entries.is_empty() {
        "no entry address given"
    } else if options.classes.iter().all(|class| class.weight == 0) {
        "no request class has a weight above 0"
    } else if options.keys == 0 || options.tries == 0 {
        "keys and tries must be above 0"
    } else {
        return Ok(());
    };
    OptionsSnafu { what }.fail()
}

impl<'a> Caller<'a> {
    pub(super) fn new(options: &'a LoadOptions, number: usize, start: Instant) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_millis(options.timeout)));
        let seed = options.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        Self {
            options,
            number,
            rng: StdRng::seed_from_u64(seed),
            agent: config.build().new_agent(),
            start,
            end: start + Duration::from_millis(options.duration),
        }
    }

    pub(super) fn run(mut self) -> Vec<SentRequest> {
        let mut sent = Vec::new();
        while self.pace(sent.len()) {
            let request = self.request(sent.len());
            sent.push(request);
        }
        sent
    }

    /// Waits until the next request is due; returns false at the end of the load.
    #[allow(clippy::cast_precision_loss)]
    fn pace(&self, sent: usize) -> bool {
        if self.options.rate > 0.0 {
            let place = sent as f64 * self.options.threads as f64 + self.number as f64;
            let due = self.start + Duration::from_secs_f64(place / self.options.rate);
            thread::sleep(due.min(self.end).saturating_duration_since(Instant::now()));
        }
        Instant::now() < self.end
    }

    fn request(&mut self, place: usize) -> SentRequest {
        let options = self.options;
        let class = self.class();
        let key = class.path.contains("{key}").then(|| self.key());
        let tag = format!("{:x}-{}-{place}", options.seed, self.number);
        let path = class.path.replace("{key}", key.as_deref().unwrap_or_default());
        let draft = Draft { class, path, tag: tag.clone(), body: vec![BODY_FILL; class.body] };
        let mut sent = SentRequest {
            tag,
            class: class.name.clone(),
            key,
            once: class.once,
            tries: Vec::new(),
            status: 0,
            reason: None,
            start: micros(),
            end: 0,
        };
        for number in 0..options.tries as usize {
            let entry = options.entries[(self.number + number) % options.entries.len()];
            let reply = self.send(&draft, entry, number);
            sent.tries.push(reply.outcome);
            sent.status = reply.status;
            sent.reason = reply.reason;
            if matches!(reply.outcome, Verdict::Answered | Verdict::Wrong) {
                break;
            }
            if number + 1 < options.tries as usize {
                thread::sleep(reply.wait.unwrap_or(RETRY_WAIT).min(MAX_RETRY_WAIT));
            }
        }
        sent.end = micros();
        sent
    }

    fn class(&mut self) -> &'a LoadClass {
        let classes = &self.options.classes;
        let total: u32 = classes.iter().map(|class| class.weight).sum();
        let mut left = self.rng.random_range(0..total);
        let chosen = classes.iter().find(|class| {
            let found = left < class.weight;
            left = left.saturating_sub(class.weight);
            found
        });
        chosen.unwrap_or(&classes[0])
    }

    /// Draws a key with a log-uniform rank, which approximates a Zipf distribution with exponent 1.
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn key(&mut self) -> String {
        let uniform: f64 = self.rng.random();
        let rank = (self.options.keys as f64 + 1.0).powf(uniform) as u64;
        let rank = rank.clamp(1, self.options.keys);
        match self.hot_changes() {
            0 => format!("key-{rank}"),
            _ if rank > HOT_KEYS => format!("key-{rank}"),
            change => format!("hot-{change}-{rank}"),
        }
    }

    /// Number of times that the hottest keys have been replaced.
    fn hot_changes(&self) -> usize {
        let elapsed = self.start.elapsed().as_millis();
        self.options.changes.iter().filter(|at| u128::from(**at) <= elapsed).count()
    }

    fn send(&self, draft: &Draft<'_>, entry: SocketAddr, number: usize) -> Reply {
        let tag = format!("{}.{number}", draft.tag);
        match self.call(draft, entry, &tag) {
            Ok(response) => Reply::read(response, draft, &tag, self.options.direct),
            Err(error) => {
                tracing::debug!(%error, tag, "attempt got no response");
                Reply { outcome: Verdict::Nothing, status: 0, reason: None, wait: None }
            }
        }
    }

    fn call(
        &self,
        draft: &Draft<'_>,
        entry: SocketAddr,
        tag: &str,
    ) -> std::result::Result<Response<Body>, ureq::Error> {
        let url = format!("http://{entry}{}", draft.path);
        let mut headers = vec![("x-load-tag", tag.to_owned())];
        if draft.class.once {
            headers.push(("idempotency-key", draft.tag.clone()));
        }
        if draft.class.deadline > 0 {
            headers.push(("x-acaciaring-deadline", draft.class.deadline.to_string()));
        }
        let more = draft.class.headers.iter();
        headers.extend(more.map(|(name, value)| (name.as_str(), value.clone())));
        if draft.class.method == "GET" {
            let get = self.agent.get(&url);
            return headers.iter().fold(get, |get, (name, value)| get.header(*name, value)).call();
        }
        let post = self.agent.post(&url);
        let post = headers.iter().fold(post, |post, (name, value)| post.header(*name, value));
        post.send(&draft.body[..])
    }
}

impl Reply {
    fn read(mut response: Response<Body>, draft: &Draft<'_>, tag: &str, direct: bool) -> Self {
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let verdict = header("x-acaciaring-verdict");
        let plain = direct && response.status().is_success();
        let verdict = if plain { Some("answered".to_owned()) } else { verdict };
        let reason = header("x-acaciaring-reason");
        let wait = header("x-acaciaring-retry-ms").and_then(|millis| millis.parse().ok());
        let status = response.status().as_u16();
        let outcome = match response.body_mut().read_to_vec() {
            Ok(body) => classify(verdict.as_deref(), &body, draft, tag),
            Err(_) => Verdict::Nothing,
        };
        Self { outcome, status, reason, wait: wait.map(Duration::from_millis) }
    }
}

fn classify(verdict: Option<&str>, body: &[u8], draft: &Draft<'_>, tag: &str) -> Verdict {
    match verdict {
        Some("answered") if matches_request(body, draft, tag) => Verdict::Answered,
        Some("answered") => Verdict::Wrong,
        Some("not-run") => Verdict::NotRun,
        Some("unknown") => Verdict::Unknown,
        Some(_) | None => Verdict::Nothing,
    }
}

/// Whether a response belongs to the request. With an idempotency key, a retry may get the response
/// to an earlier attempt.
fn matches_request(body: &[u8], draft: &Draft<'_>, tag: &str) -> bool {
    let Ok(echo) = serde_json::from_slice::<Echo>(body) else { return false };
    let same_tag = echo.tag == tag
        || draft.class.once && echo.tag.rsplit_once('.').is_some_and(|(tag, _)| tag == draft.tag);
    same_tag && echo.path == draft.path && echo.hash == body_hash(&draft.body)
}
