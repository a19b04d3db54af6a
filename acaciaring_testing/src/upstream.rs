//! Stand-in for an upstream: a server beside a member.

mod announce;
mod behaviour;
mod control;
mod fence;
mod record;
mod work;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use parking_lot::{Condvar, Mutex};
use snafu::ResultExt;
use tiny_http::Request;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::{IoSnafu, Result};
use crate::http::Http;

use self::fence::Tokens;
use self::record::Record;

pub use self::control::{
    Announced, Echo, Health, UpstreamControl, UpstreamCounts, UpstreamOptions,
};
pub use self::record::Run;
pub(crate) use self::record::micros;

/// Upstream in this process; it stops when dropped.
pub struct UpstreamServer {
    handle: UpstreamHandle,
}

/// Control of a running upstream.
#[derive(Clone)]
pub struct UpstreamHandle {
    shared: Arc<Shared>,
}

struct Shared {
    options: UpstreamOptions,
    http: Arc<Http>,
    started: Instant,
    /// Requests running or waiting.
    busy: AtomicUsize,
    state: Mutex<State>,
    /// Signalled when `State::frozen` ends.
    unfrozen: Condvar,
    jobs: Sender<Job>,
    ended: AtomicBool,
}

struct State {
    announce: Option<SocketAddr>,
    announced: Option<Announced>,
    quiet: bool,
    draining: bool,
    service: Duration,
    costs: BTreeMap<String, Duration>,
    check: Check,
    frozen: bool,
    /// Most requests that run or wait; 0 when every request is shed.
    capacity: usize,
    lose: u32,
    cut: u32,
    late: u32,
    lateness: Duration,
    lag: Duration,
    lie: Option<Health>,
    samples: VecDeque<(Instant, Health)>,
    tokens: Tokens,
    /// Attempts that wait or run, by number, with the way to cancel them.
    attempts: HashMap<u64, Sender<()>>,
    /// Requests that arrived while frozen.
    held: Vec<Request>,
    record: Record,
    counts: UpstreamCounts,
}

/// When a fence is checked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Check {
    Off,
    /// As a request starts to run.
    Once,
    /// Again at the end of its run.
    Twice,
}

enum Job {
    Run(Box<Attempt>),
    Stop,
}

/// Request on its way to a slot.
struct Attempt {
    request: Request,
    number: Option<u64>,
    deadline: Option<Instant>,
    /// Both ends: a channel without a sender would end the run as if it were cancelled.
    cancel: (Sender<()>, Receiver<()>),
}

impl UpstreamServer {
    /// Starts the upstream.
    ///
    /// # Errors
    ///
    /// When the address is taken or the record's file cannot be opened.
    pub fn start(options: UpstreamOptions) -> Result<Self> {
        let http = Http::start(options.address, options.connections, options.connect)?;
        let file = match &options.record {
            Some(path) => {
                let open = OpenOptions::new().create(true).append(true).open(path);
                Some(open.with_context(|_| IoSnafu { what: format!("open {}", path.display()) })?)
            }
            None => None,
        };
        let (jobs, queue) = crossbeam_channel::unbounded();
        let state = State::new(&options, Record { file, ..Record::default() });
        let shared = Arc::new(Shared {
            http,
            started: Instant::now(),
            busy: AtomicUsize::new(0),
            state: Mutex::new(state),
            unfrozen: Condvar::new(),
            jobs,
            ended: AtomicBool::new(false),
            options,
        });
        for _ in 0..shared.options.slots {
            let (shared, queue) = (Arc::clone(&shared), queue.clone());
            thread::spawn(move || work::serve(&shared, &queue));
        }
        let acceptor = Arc::clone(&shared);
        thread::spawn(move || work::accept(&acceptor));
        let announcer = Arc::downgrade(&shared);
        thread::spawn(move || announce::run(&announcer));
        Ok(Self { handle: UpstreamHandle { shared } })
    }

    /// Address of the upstream.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handle.shared.http.address()
    }

    /// Control of the upstream.
    #[must_use]
    pub fn handle(&self) -> UpstreamHandle {
        self.handle.clone()
    }

    /// Closes all connections and the address, as when the server is lost.
    pub fn stop(&self) {
        self.handle.shared.ended.store(true, Ordering::SeqCst);
        self.handle.shared.unfrozen.notify_all();
        self.handle.shared.http.stop();
    }
}

impl Drop for UpstreamServer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl UpstreamHandle {
    /// Carries out commands.
    pub fn set(&self, control: &UpstreamControl) {
        self.shared.set(control);
    }

    /// Requests that ran, in the order of their starts.
    #[must_use]
    pub fn records(&self) -> Vec<Run> {
        self.shared.state.lock().record.runs.clone()
    }

    /// Counts since the start.
    #[must_use]
    pub fn counts(&self) -> UpstreamCounts {
        self.shared.counts()
    }

    /// Last answer of the member beside the upstream.
    #[must_use]
    pub fn announced(&self) -> Option<Announced> {
        self.shared.state.lock().announced
    }

    /// The upstream's own clock in milliseconds.
    #[must_use]
    pub fn clock(&self) -> u64 {
        self.shared.clock()
    }
}

impl Check {
    fn new(fenced: bool, recheck: bool) -> Self {
        match (fenced, recheck) {
            (false, _) => Self::Off,
            (true, false) => Self::Once,
            (true, true) => Self::Twice,
        }
    }
}

impl UpstreamOptions {
    fn capacity(&self) -> usize {
        self.slots + self.queue
    }
}

impl State {
    fn new(options: &UpstreamOptions, record: Record) -> Self {
        Self {
            announce: options.announce,
            announced: None,
            quiet: false,
            draining: false,
            service: options.service,
            costs: BTreeMap::new(),
            check: Check::new(options.fenced, options.recheck),
            frozen: false,
            capacity: options.capacity(),
            lose: 0,
            cut: 0,
            late: 0,
            lateness: Duration::ZERO,
            lag: Duration::ZERO,
            lie: None,
            samples: VecDeque::new(),
            tokens: Tokens::default(),
            attempts: HashMap::new(),
            held: Vec::new(),
            record,
            counts: UpstreamCounts::default(),
        }
    }
}

/// Hash of a body as answers state it: 16 hex digits of XXH3-64.
#[must_use]
pub fn body_hash(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
