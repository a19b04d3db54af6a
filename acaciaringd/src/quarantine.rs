//! Quarantine of requests that crash upstreams, shared by all members.
//!
//! The member beside an upstream tells the others of each crash at once and retries until they have
//! acknowledged it. What was lost all the same, or came before a member joined, spreads by periodic
//! exchanges with random members while there is anything serious to tell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::quarantine::{
    CrashId, Quarantine as Table, Relay, Strike, Suspect, Treatment,
};
use acaciaring_core::state::Member;
use acaciaring_core::{Fingerprint, MemberId, Reason, Refusal, Time};
use acaciaring_schema::peer::{self, Request, Suspects, call, reply};
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::clock;
use crate::fingerprint::{fingerprint, target};
use crate::metrics::{Counter, Metrics};
use crate::peer::Transport;
use crate::view::Shared;
use crate::wire;

/// Number of members that a member tells directly; the others hear it from these.
const FANOUT: usize = 16;

/// Pauses before the further attempts to tell a member.
const RETRY_PAUSES: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];

/// Interval of exchanges with random members, and their number.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
const EXCHANGE_FANOUT: usize = 2;

/// Exchanges that a new member makes though it has nothing to tell.
const JOIN_EXCHANGES: u32 = 3;

/// Interval of the log lines about entries dropped for lack of room.
const DROP_LOG_INTERVAL: Duration = Duration::from_mins(1);

/// Time over which answered requests are gathered for a message to other members.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Length of a fingerprint in a message, bytes.
const FINGERPRINT_BYTES: usize = 24;

/// Quarantine of this process.
pub(crate) struct Quarantine {
    table: Mutex<Table>,
    shared: Arc<Shared>,
    transport: Transport,
    metrics: Metrics,
    /// When dropped entries were last logged.
    drop_logged: Mutex<Time>,
    /// Requests with withdrawn strikes that other members have not been told yet.
    answered: Mutex<Vec<Suspect>>,
    /// What other members told and this one passes on in a larger fleet.
    relay: Mutex<Relay>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub(crate) fn new(shared: Arc<Shared>, transport: Transport, metrics: Metrics) -> Self {
        let (table, drop_logged, answered, relay) = Default::default();
        Self { table, shared, transport, metrics, drop_logged, answered, relay }
    }

    /// Returns the fingerprint of a request whose target has strikes, else `None`.
    pub(crate) fn suspect(&self, request: &Request) -> Option<Fingerprint> {
        let known = {
            let table = self.table.lock();
            !table.is_empty() && table.knows_target(target(request))
        };
        known.then(|| fingerprint(request))
    }

    /// Returns how a request is to be treated.
    pub(crate) fn treatment(&self, now: Time, fingerprint: &Fingerprint) -> Treatment {
        self.table.lock().treatment(now, fingerprint)
    }

    /// Returns the fingerprint of a request that is refused, and for how long; else `None`.
    pub(crate) fn refused(&self, now: Time, request: &Request) -> Option<(Fingerprint, Duration)> {
        let fingerprint = self.suspect(request)?;
        match self.treatment(now, &fingerprint) {
            Treatment::Refuse(left) => Some((fingerprint, left)),
            Treatment::Normal | Treatment::Watch | Treatment::Alone => None,
        }
    }

    /// Returns the refusal of a request for the rest of its quarantine.
    pub(crate) fn refusal(&self, left: Duration) -> Refusal {
        self.metrics.count(Counter::RequestsQuarantined, 1);
        Refusal::not_run(Reason::Quarantined).after(left)
    }

    /// Records requests that were in flight at a crash of the local upstream.
    pub(crate) fn crashed(&self, now: Time, crash: CrashId, requests: &[Fingerprint]) {
        let mut table = self.table.lock();
        table.crashed(now, crash, requests);
        for fingerprint in requests {
            match table.treatment(now, fingerprint) {
                Treatment::Normal | Treatment::Watch => {}
                Treatment::Alone => {
                    info!(%fingerprint, "request was in flight at several crashes, runs alone");
                }
                Treatment::Refuse(left) => {
                    let seconds = left.as_secs();
                    warn!(%fingerprint, seconds, "request crashes upstreams, refusing it");
                }
            }
        }
        let dropped = table.take_dropped();
        drop(table);
        self.log_dropped(now, dropped);
    }

    /// Tells other members which requests were in flight at a crash of the local upstream.
    pub(crate) fn tell_crash(&self, crash: CrashId, requests: &[Fingerprint]) {
        let strike = Strike { crash, age: Duration::ZERO, withdrawn: false };
        let suspect = |fingerprint| Suspect { fingerprint, strikes: vec![strike] };
        self.tell(requests.iter().copied().map(suspect).collect(), FANOUT);
    }

    /// Records that the local upstream answered a request, and tells other members.
    pub(crate) fn answered(self: &Arc<Self>, now: Time, fingerprint: Fingerprint) {
        let Some(suspect) = self.table.lock().answered(now, &fingerprint) else { return };
        let gathering = {
            let mut answered = self.answered.lock();
            answered.push(suspect);
            answered.len() > 1
        };
        if gathering {
            return;
        }
        let quarantine = Arc::clone(self);
        self.transport.runtime().spawn(async move {
            sleep(GATHER_TIME).await;
            let told = std::mem::take(&mut *quarantine.answered.lock());
            quarantine.tell(told, FANOUT);
        });
    }

    /// Merges what another member knows; returns what this one knows.
    pub(crate) fn exchange(self: &Arc<Self>, now: Time, message: &Suspects) -> reply::Body {
        let (named, news) = self.merge(now, message);
        self.pass_on(now, &news);
        let table = self.table.lock();
        let mut known = table.serious(now);
        let missing =
            |suspect: &Suspect| known.iter().all(|k| k.fingerprint != suspect.fingerprint);
        let others: Vec<Suspect> = named
            .iter()
            .filter(|suspect| missing(suspect))
            .filter_map(|suspect| table.withdrawn(now, &suspect.fingerprint))
            .collect();
        drop(table);
        known.extend(others);
        reply::Body::Suspects(to_wire(&known, Duration::ZERO))
    }

    /// Merges what another member knows; returns all that it named, and what of it is new.
    fn merge(&self, now: Time, message: &Suspects) -> (Vec<Suspect>, Vec<Suspect>) {
        let suspects: Vec<Suspect> = message.suspects.iter().filter_map(from_wire).collect();
        if suspects.len() < message.suspects.len() {
            let malformed = message.suspects.len() - suspects.len();
            warn!(
                member = message.member,
                malformed, "ignoring malformed fingerprints of a member"
            );
        }
        let mut table = self.table.lock();
        let news = table.merge(now, &suspects);
        for suspect in &news {
            let fingerprint = &suspect.fingerprint;
            if let Treatment::Refuse(left) = table.treatment(now, fingerprint) {
                let (member, seconds) = (message.member, left.as_secs());
                warn!(%fingerprint, member, seconds, "request crashes upstreams, refusing it");
            }
        }
        let dropped = table.take_dropped();
        drop(table);
        self.log_dropped(now, dropped);
        (suspects, news)
    }

    /// Passes on news of other members, unless these tell all members themselves.
    fn pass_on(self: &Arc<Self>, now: Time, news: &[Suspect]) {
        if self.shared.view().state.members().count() <= FANOUT {
            return;
        }
        let Some(due) = self.relay.lock().add(now, news) else { return };
        let quarantine = Arc::clone(self);
        self.transport.runtime().spawn(async move {
            sleep(due.since(now)).await;
            let (requests, fanout) = {
                let mut relay = quarantine.relay.lock();
                (relay.take(), relay.fanout())
            };
            let suspects = quarantine.table.lock().suspects(clock::now(), &requests);
            if !suspects.is_empty() {
                quarantine.tell(suspects, fanout);
            }
        });
    }

    fn log_dropped(&self, now: Time, dropped: u64) {
        let mut logged = self.drop_logged.lock();
        if dropped > 0 && (*logged == Time::ZERO || now >= *logged + DROP_LOG_INTERVAL) {
            *logged = now;
            warn!(dropped, "quarantine is full, forgetting the oldest requests");
        }
    }

    /// Tells members in the background, each until it has acknowledged it.
    fn tell(&self, suspects: Vec<Suspect>, fanout: usize) {
        let start = clock::now();
        let suspects = Arc::new(suspects);
        for (member, to) in self.peers(fanout) {
            let (transport, shared) = (self.transport.clone(), Arc::clone(&self.shared));
            let suspects = Arc::clone(&suspects);
            self.transport.runtime().spawn(async move {
                for pause in RETRY_PAUSES {
                    let me = shared.view().me;
                    let message = message(me, &suspects, clock::now().since(start));
                    if transport.call(to, message, wire::CALL_TIMEOUT).await.is_ok() {
                        return;
                    }
                    sleep(pause).await;
                    let present = shared.view().state.member(member).is_some_and(Member::alive);
                    if !present {
                        return;
                    }
                }
            });
        }
    }

    /// Returns up to `count` random other members.
    fn peers(&self, count: usize) -> Vec<(MemberId, SocketAddr)> {
        let view = self.shared.view();
        let others = view.state.members().filter(|m| m.alive() && Some(m.id) != view.me);
        let addresses = others.filter_map(|member| Some((member.id, view.peer(member.id)?)));
        addresses.choose_multiple(&mut rand::rng(), count)
    }

    /// Starts the periodic exchanges, which end with the runtime of the transport.
    pub(crate) fn start(self: &Arc<Self>) {
        let quarantine = Arc::clone(self);
        self.transport.runtime().spawn(async move { quarantine.run().await });
    }

    async fn run(&self) {
        let (mut me, mut exchanges) = (None, 0);
        loop {
            sleep(EXCHANGE_INTERVAL).await;
            let now = clock::now();
            let current = self.shared.view().me;
            if current != me {
                (me, exchanges) = (current, JOIN_EXCHANGES);
            }
            let serious = self.table.lock().serious(now);
            if current.is_none() || (serious.is_empty() && exchanges == 0) {
                continue;
            }
            let message = message(current, &serious, Duration::ZERO);
            for (_, to) in self.peers(EXCHANGE_FANOUT) {
                let answer = self.transport.call(to, message.clone(), wire::CALL_TIMEOUT).await;
                if let Ok(reply::Body::Suspects(theirs)) = answer {
                    exchanges = u32::saturating_sub(exchanges, 1);
                    self.merge(clock::now(), &theirs);
                }
            }
        }
    }
}

fn message(me: Option<MemberId>, suspects: &[Suspect], since: Duration) -> call::Body {
    call::Body::Suspects(Suspects { member: MemberId::to_wire(me), ..to_wire(suspects, since) })
}

/// Converts suspects whose ages were taken `since` ago.
fn to_wire(suspects: &[Suspect], since: Duration) -> Suspects {
    let strike = |strike: &Strike| peer::Strike {
        crash: strike.crash,
        age: wire::millis(strike.age + since),
        withdrawn: strike.withdrawn,
    };
    let convert = |Suspect { fingerprint, strikes }: &Suspect| peer::Suspect {
        fingerprint: [&fingerprint.target.to_be_bytes()[..], &fingerprint.digest].concat(),
        strikes: strikes.iter().map(strike).collect(),
    };
    Suspects { member: 0, suspects: suspects.iter().map(convert).collect() }
}

/// Converts a suspect of a message; `None` if its fingerprint is malformed.
fn from_wire(suspect: &peer::Suspect) -> Option<Suspect> {
    let bytes = <[u8; FINGERPRINT_BYTES]>::try_from(suspect.fingerprint.as_slice()).ok()?;
    let (target, digest) = bytes.split_first_chunk::<8>()?;
    let target = u64::from_be_bytes(*target);
    let fingerprint = Fingerprint { target, digest: digest.try_into().ok()? };
    let strike = |strike: &peer::Strike| Strike {
        crash: strike.crash,
        age: Duration::from_millis(u64::from(strike.age)),
        withdrawn: strike.withdrawn,
    };
    Some(Suspect { fingerprint, strikes: suspect.strikes.iter().map(strike).collect() })
}
