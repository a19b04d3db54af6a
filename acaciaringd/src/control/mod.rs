//! Control thread: the only writer of membership, lease and ownership state.

mod balance;
mod catch_up;
mod concern;
mod event;
mod eviction;
mod fold;
mod handover;
mod holding;
mod identity;
mod lease;
mod ordering;
mod placement;
mod proposal;
mod publish;
mod replication;
mod retire;
mod roles;
mod snapshot;
mod stop;
mod way;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use acaciaring_core::balance::BalanceSettings;
use acaciaring_core::lease::LeaseSettings;
use acaciaring_core::route::Routes;
use acaciaring_core::state::{Phase, Replica, State};
use acaciaring_core::{MemberId, Name, Time};
use acaciaring_schema::log::{Join, record};
use acaciaring_schema::settings::Upstream;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use rand::Rng;
use tracing::info;

use self::balance::Balance;
pub(crate) use self::event::{Event, PublishReply};
use self::eviction::Grounds;
use self::fold::Progress;
use self::handover::Handover;
use self::holding::Holding;
use self::identity::Identity;
use self::lease::Voting;
use self::proposal::{Proposals, Purpose};
use self::publish::Answers;
use self::replication::Replication;
use self::roles::Roles;
use self::snapshot::Snapshots;
use self::stop::Stopping;
use crate::announce::Announcement;
use crate::appender::Appender;
use crate::clock;
use crate::declared::{Declarations, Declared};
use crate::gate::Gate;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::peer::Transport;
use crate::platform::LogService;
use crate::recent::Recent;
use crate::upstream::Outlet;
use crate::view::{Link, Shared, View};
use crate::vital;
use crate::wanted::Wanted;

/// Longest time between two rounds of the control thread.
const ROUND: Duration = Duration::from_millis(50);

/// Further events that are handled before a round.
///
/// Guards against a member that falls behind: a round looks at all units, and answers to orders and
/// releases come by the dozen. With a round for each, orders waited until their grants had lapsed.
const EVENTS: usize = 64;

/// Time between two rounds of slow duties: proposals, lessors, placement.
const DUTIES: Duration = Duration::from_millis(200);

/// Place of this process, from its settings.
#[derive(Debug, Clone, Default)]
pub(crate) struct Place {
    pub(crate) vm: String,
    pub(crate) data_centre: String,
    pub(crate) region: String,
    pub(crate) rack: String,
    pub(crate) peer: String,
    pub(crate) http: String,
}

/// What the control thread works with.
pub(crate) struct Parts {
    pub(crate) place: Place,
    pub(crate) lease: LeaseSettings,
    /// Bound on a stop.
    pub(crate) drain: Duration,
    /// Where a stop is told that nothing is left to hand over.
    pub(crate) releasing: Sender<()>,
    /// Time between two decisions of balance.
    pub(crate) interval: Duration,
    pub(crate) balance: BalanceSettings,
    /// Records after which a snapshot is due.
    pub(crate) records: u64,
    pub(crate) shared: Arc<Shared>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) transport: Transport,
    pub(crate) outbox: Outbox,
    pub(crate) appender: Appender,
    pub(crate) recent: Arc<Recent>,
    pub(crate) wanted: Arc<Wanted>,
    pub(crate) events: Sender<Event>,
    pub(crate) metrics: Metrics,
    /// Log service, for the records that a snapshot covers.
    pub(crate) log: Arc<dyn LogService>,
    pub(crate) declarations: Arc<Declarations>,
    /// Client of the upstream, for orders to it.
    pub(crate) outlet: Arc<dyn Outlet>,
    /// How the upstream announces itself, and how it is told what to hold.
    pub(crate) upstream: Upstream,
}

/// Join of an identity that is not yet in the log.
#[derive(Debug, Clone, Copy)]
struct Joining {
    nonce: u64,
    /// When the record was first handed to the appender.
    start: Time,
}

/// Announcement of the upstream and when it came.
#[derive(Debug, Clone)]
struct Announced {
    announcement: Announcement,
    at: Time,
}

/// Control state.
pub(crate) struct Control {
    parts: Parts,
    replica: Replica,
    proposals: Proposals,
    /// Answers to recent publishes through this member.
    answers: Answers,
    identity: Option<Identity>,
    joining: Option<Joining>,
    announced: Option<Announced>,
    link: Option<Link>,
    holding: Holding,
    /// Declared configuration in force.
    declared: Option<Arc<Declared>>,
    /// When another member was last asked for the declared configuration.
    followed: Time,
    roles: Roles,
    replication: Replication,
    handover: Handover,
    /// Grounds for evictions of other members.
    grounds: Grounds,
    /// When a workspace was first seen with slots that have no owner.
    vacant: HashMap<Name, Time>,
    balance: Balance,
    state: Arc<State>,
    progress: Progress,
    snapshots: Snapshots,
    voting: Voting,
    /// When the slow duties were last done.
    duties: Time,
    stopping: Option<Stopping>,
    /// True when rights must be computed anew.
    dirty: bool,
    /// True while the gate takes no new requests.
    closed: bool,
}

impl Control {
    /// Starts the control thread; it ends when the process may exit.
    pub(crate) fn start(parts: Parts, events: Receiver<Event>) -> thread::JoinHandle<()> {
        vital::spawn("control", move || Self::new(parts).run(&events))
    }

    fn new(parts: Parts) -> Self {
        let proposals = Proposals::new(parts.appender.clone());
        let holding = Holding::new(clock::now(), parts.upstream.grants, parts.upstream.hold);
        Self {
            proposals,
            answers: Answers::default(),
            parts,
            replica: Replica::default(),
            identity: None,
            joining: None,
            announced: None,
            link: None,
            holding,
            declared: None,
            followed: Time::ZERO,
            roles: Roles::default(),
            replication: Replication::default(),
            handover: Handover::default(),
            grounds: Grounds::default(),
            vacant: HashMap::new(),
            balance: Balance::default(),
            state: Arc::default(),
            progress: Progress::default(),
            snapshots: Snapshots::new(clock::now()),
            voting: Voting::default(),
            duties: Time::ZERO,
            stopping: None,
            dirty: true,
            closed: false,
        }
    }

    fn run(mut self, events: &Receiver<Event>) {
        loop {
            let now = clock::now();
            match events.recv_timeout(self.pause(now)) {
                Ok(event) => self.handle(clock::now(), event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for event in events.try_iter().take(EVENTS) {
                self.handle(clock::now(), event);
            }
            let now = clock::now();
            self.round(now);
            if self.finished(now) {
                return;
            }
        }
    }

    fn pause(&self, now: Time) -> Duration {
        let renewal = self.identity.as_ref().map(|identity| identity.holder.next_due(now));
        let next = [renewal, self.holding.next(now)].into_iter().flatten().min();
        next.map_or(ROUND, |next| next.since(now).min(ROUND))
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Batch(batch, done) => {
                self.batch(now, &batch);
                // The reader may have ended with the process.
                let _ = done.send(());
            }
            // What the log service itself has brought in the meantime is not wanted.
            Event::Relayed(batch) if batch.next < self.replica.position() => {}
            Event::Relayed(batch) => self.batch(now, &batch),
            Event::Datagram(from, datagram) => self.datagram(now, from, datagram),
            Event::Vote(vote) => self.vote(vote),
            Event::Released(release) => self.on_release(&release),
            Event::ReleaseDone { workspace, units } => self.on_release_done(&workspace, &units),
            Event::SyncDone { workspace, units, standby } => {
                self.on_sync_done(&workspace, &units, MemberId(standby));
            }
            Event::Announced(announcement) => self.announce(now, announcement),
            Event::Publish(id, publish, reply) => self.publish(now, id, publish, &reply),
            Event::Heartbeat(heartbeat, reply) => self.heartbeat(now, heartbeat, reply),
            Event::Misplaced(workspace, unit) => {
                self.misplaced(&workspace, unit);
            }
            Event::UpstreamLeaves(instance, reply) => {
                self.on_upstream_leaves(now, &instance);
                self.refresh(now);
                // The sender may have gone away.
                let _ = reply.send(());
            }
            Event::Ordered(number, answer) => self.on_ordered(now, number, &answer),
            Event::Version(from, version) => self.follow(now, from, version),
            Event::Declared(declared) => {
                self.declared = Some(declared);
                self.dirty = true;
            }
            Event::Stop(since) => self.stop(now, since),
            Event::CallersGone => self.callers_gone(),
        }
    }

    /// Takes over what the folded state says.
    fn folded(&mut self, now: Time) {
        self.dirty = true;
        // What the records call for, for example a new standby to be told, is done at once.
        self.duties = Time::ZERO;
        self.find_identity();
        self.trust_members();
        self.learn_members(now);
        self.find_draining();
    }

    fn round(&mut self, now: Time) {
        self.dirty |= self.holding.is_stale(now);
        self.dirty |= self.paused(now) && !self.parts.shared.view().closed;
        self.renew(now);
        self.cast_votes(now);
        self.refresh(now);
        self.give_orders(now);
        self.hand_over(now);
        self.answer_report(now);
        if now.since(self.duties) >= DUTIES {
            self.duties = now;
            self.proposals.expire(now);
            self.join(now);
            self.evict(now);
            self.place(now);
            self.replicate(now);
            self.retire(now);
            self.balance(now);
            self.snapshot(now);
        }
    }

    /// Appends a `Join` once the log is folded to its end.
    fn join(&mut self, now: Time) {
        if self.identity.is_some() || !self.progress.caught || self.stopping.is_some() {
            return;
        }
        let joining = *self
            .joining
            .get_or_insert_with(|| Joining { nonce: rand::rng().random(), start: now });
        let place = &self.parts.place;
        let join = Join {
            vm: place.vm.clone(),
            nonce: joining.nonce,
            data_centre: place.data_centre.clone(),
            region: place.region.clone(),
            rack: place.rack.clone(),
            peer: place.peer.clone(),
            http: place.http.clone(),
            fingerprint: self.parts.transport.fingerprint().to_vec(),
        };
        self.proposals.propose(now, Purpose::Join, record::Body::Join(join));
    }

    /// Takes the identity that the log gave to this process.
    fn find_identity(&mut self) {
        let Some(joining) = self.joining else { return };
        let vm = &self.parts.place.vm;
        let mine =
            self.state.members().find(|member| member.nonce == joining.nonce && *member.vm == **vm);
        let Some(member) = mine else { return };
        info!(member = %member.id, "joined");
        self.joining = None;
        self.identity = Some(Identity::new(member.id, joining.start, self.parts.lease));
        self.parts.shared.joined.store(true, Ordering::Release);
    }

    /// Computes the rights anew and publishes them.
    fn refresh(&mut self, now: Time) {
        if !self.dirty {
            return;
        }
        self.dirty = false;
        let mut permits = self.permits(now);
        self.want(&permits);
        self.hold_back(now, &mut permits);
        let permits = Arc::new(permits);
        self.take_up_roles(now, &permits);
        self.prune_synced();
        let view = View {
            me: self.identity.as_ref().map(|identity| identity.me),
            state: Arc::clone(&self.state),
            routes: self.routes(),
            permits,
            synced: Arc::new(self.replication.synced.clone()),
            expired: Arc::new(self.expired(now)),
            link: self.link.clone(),
            closed: self.closed || self.leaving() || self.holding.closed(now) || self.paused(now),
        };
        self.parts.shared.publish(view);
        if self.declared.is_some() {
            self.parts.shared.configured.store(true, Ordering::Release);
        }
    }

    /// Returns the routes in force: those that are declared, or those of the log.
    fn routes(&self) -> Arc<Routes> {
        if let Some(declared) = &self.declared {
            return Arc::new(declared.routes.clone());
        }
        Arc::new(self.state.routes().values().cloned().collect())
    }

    /// Tells the transport which certificates belong to members that are not dead.
    fn trust_members(&self) {
        let live = self.state.members().filter(|member| member.phase != Phase::Dead);
        self.parts.transport.trust(live.map(|member| member.fingerprint.as_slice()));
    }
}
