//! Stand-in for an upstream: the application server that a member forwards requests to.

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

/// Upstream that runs in this process and stops when dropped.
pub struct UpstreamServer {
    handle: UpstreamHandle,
}

/// Handle that controls a running upstream.
#[derive(Clone)]
pub struct UpstreamHandle {
    shared: Arc<Shared>,
}

struct Shared {
    options: UpstreamOptions,
    http: Arc<Http>,
    started: Instant,
    /// Requests queued or running.
    busy: AtomicUsize,
    state: Mutex<State>,
    /// Signalled when `State::frozen` becomes false.
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
    /// Maximum number of queued and running requests; 0 sheds every request.
    capacity: usize,
    lose: u32,
    cut: u32,
    late: u32,
    lateness: Duration,
    lag: Duration,
    lie: Option<Health>,
    samples: VecDeque<(Instant, Health)>,
    tokens: Tokens,
    /// Cancellation channels of queued and running attempts, by attempt number.
    attempts: HashMap<u64, Sender<()>>,
    /// Requests received while frozen, handled after the freeze ends.
    held: Vec<Request>,
    record: Record,
    counts: UpstreamCounts,
}

/// When the fencing token of a request is checked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Check {
    Off,
    /// Before a request starts to run.
    Once,
    /// Before a request starts to run and after it has run.
    Twice,
}

enum Job {
    Run(Box<Attempt>),
    Stop,
}

/// Request queued for a worker.
struct Attempt {
    request: Request,
    number: Option<u64>,
    deadline: Option<Instant>,
    /// Includes the sender: if it were dropped, `recv_timeout` would return before the run ends.
    cancel: (Sender<()>, Receiver<()>),
}

impl UpstreamServer {
    /// Starts the upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the record file cannot be opened.
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

    /// Address that the upstream listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handle.shared.http.address()
    }

    /// Returns a handle that controls the upstream.
    #[must_use]
    pub fn handle(&self) -> UpstreamHandle {
        self.handle.clone()
    }

    /// Closes the listening socket and all connections, as when the server crashes.
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
    /// Applies the settings that `control` contains.
    pub fn set(&self, control: &UpstreamControl) {
        self.shared.set(control);
    }

    /// Requests that ran, ordered by start.
    #[must_use]
    pub fn records(&self) -> Vec<Run> {
        self.shared.state.lock().record.runs.clone()
    }

    /// Counters since the start.
    #[must_use]
    pub fn counts(&self) -> UpstreamCounts {
        self.shared.counts()
    }

    /// Latest reply of the member to an announcement.
    #[must_use]
    pub fn announced(&self) -> Option<Announced> {
        self.shared.state.lock().announced
    }

    /// The upstream's clock in milliseconds.
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

/// Returns the XXH3-64 hash of a body as 16 hexadecimal digits, as in [`Echo::hash`].
#[must_use]
pub fn body_hash(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
