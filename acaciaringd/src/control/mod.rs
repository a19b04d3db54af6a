//! Control thread: the only writer of membership, lease and ownership state.
//!
//! It folds the replicated log into that state, and handles events of other threads one by one.

mod balance;
mod catch_up;
mod departure;
mod evacuation;
mod event;
mod eviction;
mod feed;
mod fold;
mod generation;
mod grant_mode;
mod handover;
mod identity;
mod lease;
mod orders;
mod placement;
mod proposal;
mod publish;
mod replication;
mod retire;
mod roles;
mod snapshot;
mod stop;
mod upstream_state;
mod volume_history;
mod vote_recipients;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use acaciaring_core::balance::BalanceSettings;
use acaciaring_core::evacuation::Evacuations;
use acaciaring_core::fanout::{Fanout, Freshness, ReadMode};
use acaciaring_core::lease::LeaseSettings;
use acaciaring_core::route::Routes;
use acaciaring_core::state::{Phase, Replica, State};
use acaciaring_core::vacancy::Vacancy;
use acaciaring_core::{MemberId, Name, Time};
use acaciaring_schema::log::{Join, record};
use acaciaring_schema::settings::Upstream;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use rand::Rng;
use tracing::info;

use self::balance::Balance;
use self::departure::Departures;
pub(crate) use self::event::{Event, PublishReply};
use self::eviction::EvictionReasons;
use self::fold::Progress;
use self::generation::GenerationProgress;
use self::handover::Handover;
use self::identity::Identity;
use self::lease::Voting;
use self::proposal::{Proposals, Purpose};
use self::publish::PublishReplies;
use self::replication::Replication;
use self::roles::Roles;
use self::snapshot::Snapshots;
use self::stop::Stopping;
use self::upstream_state::UpstreamState;
use self::volume_history::VolumeHistory;
use crate::announce::Announcement;
use crate::appender::Appender;
use crate::clock;
use crate::critical_thread;
use crate::declared::{Declarations, Declared};
use crate::gate::Gate;
use crate::metrics::{Gauge, Metrics};
use crate::outbox::Outbox;
use crate::peer::Transport;
use crate::platform::LogService;
use crate::read_scheduler::ReadScheduler;
use crate::recent_records::RecentRecords;
use crate::upstream::UpstreamClient;
use crate::view::{Shared, UpstreamEndpoint, View};

/// Longest time between two rounds of the control loop.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Queued events handled before each round, beyond the first.
///
/// Guards against a backlog: a round iterates over all units, so one round per event would delay
/// orders until their grants have expired.
const EVENTS_PER_ROUND: usize = 64;

/// Interval of periodic maintenance: proposals, lessors, placement, balancing, snapshots.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);

/// Failure domains and addresses of this process, published in its `Join` record.
#[derive(Debug, Clone, Default)]
pub(crate) struct Location {
    pub(crate) vm: String,
    pub(crate) data_centre: String,
    pub(crate) region: String,
    pub(crate) rack: String,
    pub(crate) peer: String,
    pub(crate) http: String,
}

/// Settings, shared state and channels of the control thread.
pub(crate) struct ControlContext {
    pub(crate) location: Location,
    pub(crate) lease: LeaseSettings,
    /// Upper bound on the duration of a graceful shutdown.
    pub(crate) drain_timeout: Duration,
    /// Notified when a stopping process has nothing left to hand over.
    pub(crate) drained: Sender<()>,
    /// Time between two balancing decisions.
    pub(crate) balance_interval: Duration,
    pub(crate) balance: BalanceSettings,
    /// Records after which a snapshot is due.
    pub(crate) snapshot_records: u64,
    pub(crate) shared: Arc<Shared>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) transport: Transport,
    pub(crate) outbox: Outbox,
    pub(crate) appender: Appender,
    pub(crate) recent: Arc<RecentRecords>,
    pub(crate) read_scheduler: Arc<ReadScheduler>,
    pub(crate) events: Sender<Event>,
    pub(crate) metrics: Metrics,
    /// Log service, to trim the records that a snapshot covers.
    pub(crate) log: Arc<dyn LogService>,
    pub(crate) declarations: Arc<Declarations>,
    /// Client that sends orders to the upstream.
    pub(crate) upstream_client: Arc<dyn UpstreamClient>,
    /// Settings of the upstream: heartbeats and grants.
    pub(crate) upstream: Upstream,
}

/// `Join` that is not yet in the log.
#[derive(Debug, Clone, Copy)]
struct Joining {
    nonce: u64,
    /// When the record was first submitted.
    start: Time,
}

/// Last announcement of the upstream, and when it was received.
#[derive(Debug, Clone)]
struct Announced {
    announcement: Announcement,
    at: Time,
}

/// State of the control thread.
pub(crate) struct Control {
    context: ControlContext,
    replica: Replica,
    proposals: Proposals,
    /// Replies to recent publishes through this member.
    publish_replies: PublishReplies,
    identity: Option<Identity>,
    joining: Option<Joining>,
    announced: Option<Announced>,
    endpoint: Option<UpstreamEndpoint>,
    upstream: UpstreamState,
    /// Departures of upstreams that the log has not recorded yet.
    departures: Departures,
    /// Declared configuration in force.
    declared: Option<Arc<Declared>>,
    /// Known evacuations of data centres.
    evacuations: Evacuations,
    /// When another member was last asked for the declarations.
    config_queried: Time,
    roles: Roles,
    replication: Replication,
    handover: Handover,
    /// Reasons to evict other members.
    eviction_reasons: EvictionReasons,
    /// Workspaces with slots that have no owner.
    vacant: HashMap<Name, Vacancy>,
    balance: Balance,
    state: Arc<State>,
    progress: Progress,
    /// Progress in the newest generation of the log.
    generation: GenerationProgress,
    /// Part of this member in passing records on.
    fanout: Fanout,
    freshness: Freshness,
    read_mode: ReadMode,
    snapshots: Snapshots,
    voting: Voting,
    /// Bytes of messages between members in the last seconds.
    volumes: VolumeHistory,
    /// When the periodic maintenance last ran.
    last_maintenance: Time,
    stopping: Option<Stopping>,
    /// True when the published view is out of date.
    dirty: bool,
    /// True while the gate accepts no new requests.
    closed: bool,
}

impl Control {
    /// Starts the control thread; it ends when the process may exit.
    pub(crate) fn start(
        context: ControlContext,
        events: Receiver<Event>,
    ) -> thread::JoinHandle<()> {
        critical_thread::spawn("control", move || Self::new(context).run(&events))
    }

    fn new(context: ControlContext) -> Self {
        let proposals = Proposals::new(context.appender.clone());
        let upstream = UpstreamState::new(clock::now(), &context.upstream);
        Self {
            proposals,
            publish_replies: PublishReplies::default(),
            context,
            replica: Replica::default(),
            identity: None,
            joining: None,
            announced: None,
            endpoint: None,
            upstream,
            departures: Departures::default(),
            declared: None,
            evacuations: Evacuations::default(),
            config_queried: Time::ZERO,
            roles: Roles::default(),
            replication: Replication::default(),
            handover: Handover::default(),
            eviction_reasons: EvictionReasons::default(),
            vacant: HashMap::new(),
            balance: Balance::default(),
            state: Arc::default(),
            progress: Progress::default(),
            generation: GenerationProgress::default(),
            fanout: Fanout::default(),
            freshness: Freshness::default(),
            read_mode: ReadMode::default(),
            snapshots: Snapshots::new(clock::now()),
            voting: Voting::default(),
            volumes: VolumeHistory::default(),
            last_maintenance: Time::ZERO,
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
            for event in events.try_iter().take(EVENTS_PER_ROUND) {
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
        let next = [renewal, self.upstream.next_change(now)].into_iter().flatten().min();
        next.map_or(MAX_ROUND_INTERVAL, |next| next.since(now).min(MAX_ROUND_INTERVAL))
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Batch(batch, origin, done) => {
                let present = self.replica.generation().0 == batch.generation;
                if present && self.replica.is_overtaken(&batch) {
                    self.report_regression(origin, &batch);
                } else {
                    self.progress.regressed = false;
                    self.on_batch(now, &batch);
                }
                self.observe_read(origin, &batch);
                // The reader thread may have ended.
                let _ = done.send(());
            }
            // Other ways have already delivered these records.
            Event::Relayed(batch) if batch.next < self.replica.position() => {}
            Event::Relayed(batch) => self.on_batch(now, &batch),
            Event::Feed(feed) => self.on_feed(now, feed),
            Event::Datagram(from, datagram) => self.on_datagram(now, from, datagram),
            Event::Vote(vote) => self.on_vote(now, vote),
            Event::Released(release) => self.on_release(&release),
            Event::ReleaseDone { workspace, units } => self.on_release_done(&workspace, &units),
            Event::SyncDone { workspace, units, standby } => {
                self.on_sync_done(&workspace, &units, MemberId(standby));
            }
            Event::Announced(announcement) => self.on_announcement(now, announcement),
            Event::Publish(id, publish, reply) => self.publish(now, id, publish, &reply),
            Event::Heartbeat(heartbeat, reply) => self.on_heartbeat(now, heartbeat, reply),
            Event::UnitDenied(workspace, unit) => {
                self.on_unit_denied(&workspace, unit);
            }
            Event::UpstreamLeaves(instance, sent, reply) => {
                self.on_upstream_leaves(now, &instance, sent, reply);
                self.refresh(now);
            }
            Event::Departed(departure) => self.keep_departure(now, departure),
            Event::DepartureKept(departure) => self.departures.kept(&departure),
            Event::OrderAnswered(number, answer) => self.on_order_answered(now, number, &answer),
            Event::DeclaredVersion(from, known) => self.fetch_declaration(now, from, known),
            Event::Evacuations(evacuations) => self.on_evacuations(now, evacuations),
            Event::Declared(declared) => {
                self.declared = Some(declared);
                self.dirty = true;
                self.limit_cold(now);
                self.pass_on(now, Vec::new());
            }
            Event::Stop(since) => self.stop(now, since),
            Event::CallersGone => self.callers_gone(),
        }
    }

    /// Updates what depends on the folded state after records were folded.
    fn on_folded(&mut self, now: Time) {
        self.dirty = true;
        // Maintenance that the records require, such as a sync to a new standby, runs at once.
        self.last_maintenance = Time::ZERO;
        self.find_departures(now);
        self.find_identity();
        self.trust_members();
        self.update_members(now);
        self.update_withheld(now);
        self.find_draining();
        self.update_fanout(now);
    }

    fn round(&mut self, now: Time) {
        self.observe_generation(now, self.context.log.generation());
        self.update_withheld(now);
        self.dirty |= self.upstream.is_stale(now);
        self.dirty |= self.upstream.takes_answers(now);
        self.dirty |= self.closed_for_restart(now) && !self.context.shared.view().closed;
        self.renew(now);
        self.cast_votes(now);
        self.refresh(now);
        self.send_orders(now);
        self.release_units(now);
        self.answer_heartbeat(now);
        self.record_departures(now);
        if now.since(self.last_maintenance) >= MAINTENANCE_INTERVAL {
            self.last_maintenance = now;
            self.context.metrics.gauge(Gauge::LogGeneration, self.replica.generation().0);
            self.volumes.record(now, self.context.transport.volumes());
            self.update_read_mode(now);
            self.proposals.expire(now);
            self.open_generation(now);
            self.settle(now);
            self.join(now);
            self.evict(now);
            self.propose_placement(now);
            self.replicate(now);
            self.retire(now);
            self.balance(now);
            self.snapshot(now);
        }
    }

    /// Proposes a `Join` once the log is folded to its end.
    fn join(&mut self, now: Time) {
        if self.identity.is_some() || !self.progress.caught_up || self.stopping.is_some() {
            return;
        }
        let joining = *self
            .joining
            .get_or_insert_with(|| Joining { nonce: rand::rng().random(), start: now });
        let location = &self.context.location;
        let join = Join {
            vm: location.vm.clone(),
            nonce: joining.nonce,
            data_centre: location.data_centre.clone(),
            region: location.region.clone(),
            rack: location.rack.clone(),
            peer: location.peer.clone(),
            http: location.http.clone(),
            fingerprint: self.context.transport.fingerprint().to_vec(),
        };
        self.proposals.propose(now, Purpose::Join, record::Body::Join(join));
    }

    /// Adopts the member id that the log has assigned to this process.
    fn find_identity(&mut self) {
        let Some(joining) = self.joining else { return };
        let vm = &self.context.location.vm;
        let mine =
            self.state.members().find(|member| member.nonce == joining.nonce && *member.vm == **vm);
        let Some(member) = mine else { return };
        info!(member = %member.id, "joined the cluster");
        self.joining = None;
        self.identity = Some(Identity::new(member.id, joining.start, self.context.lease));
        self.context.shared.joined.store(true, Ordering::Release);
    }

    /// Recomputes the rights of this member and publishes a new view.
    fn refresh(&mut self, now: Time) {
        if !self.dirty {
            return;
        }
        self.dirty = false;
        let mut permits = self.permits(now);
        self.update_orders(&permits);
        self.withhold_permits(now, &mut permits);
        let permits = Arc::new(permits);
        self.update_roles(now, &permits);
        self.prune_synced();
        let view = View {
            me: self.identity.as_ref().map(|identity| identity.me),
            state: Arc::clone(&self.state),
            routes: self.routes(),
            permits,
            synced: Arc::new(self.replication.synced.clone()),
            expired: Arc::new(self.expired(now)),
            endpoint: self.endpoint.clone(),
            evacuations: self.evacuations.clone(),
            closed: self.closed
                || self.leaving()
                || self.upstream.closed(now)
                || self.closed_for_restart(now),
        };
        self.context.shared.publish(view);
        if self.declared.is_some() {
            self.context.shared.configured.store(true, Ordering::Release);
        }
    }

    /// Returns the routes in force: the declared ones if there are any, else those of the log.
    fn routes(&self) -> Arc<Routes> {
        if let Some(declared) = &self.declared {
            return Arc::new(declared.routes.clone());
        }
        Arc::new(self.state.routes().values().cloned().collect())
    }

    /// Restricts the transport to certificates of members that are not dead.
    fn trust_members(&self) {
        let live = self.state.members().filter(|member| member.phase != Phase::Dead);
        self.context.transport.trust(live.map(|member| member.fingerprint.as_slice()));
    }
}
