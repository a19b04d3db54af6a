//! Members with their upstreams over one log; a test decides who reads, reports and releases when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acaciaring_core::holds::{Held, Holds, Incarnation, Room, Wanted};
use acaciaring_core::lease::{Holder, LeaseSettings};
use acaciaring_core::rights::{Right, Rights};
use acaciaring_core::state::{Assignment, Outcome, Phase, State};
use acaciaring_core::{MemberId, Name, Offset, Time, Token, UnitId};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{Assign, Attach, Evict, Join, Leave, Record, Vote};
use prost::Message;

/// Name of the service.
pub const WORKSPACE: &str = "books";

/// Unit that the stories follow.
pub const UNIT: UnitId = UnitId::slot(0);

/// Number of slots of the service.
const SLOTS: u32 = 12;

/// Maximum duration of a grant.
const HOLD: Duration = Duration::from_secs(3);

/// Time between two reports of an upstream.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Rounds of reports after which nothing changes while nobody reads.
const SETTLING_ROUNDS: usize = 6;

/// Maximum number of ranges in a reply.
const ROOM: Room = Room { bytes: 100, length: |_| 1 };

/// Upstream that holds units by grants.
#[derive(Default)]
struct Upstream {
    held: BTreeMap<UnitId, Token>,
    /// True while it works on requests for all units that it holds.
    busy: bool,
    sequence: u64,
}

struct Member {
    id: MemberId,
    /// Number of records that it has read.
    read: usize,
    state: State,
    holder: Holder,
    rights: Rights,
    holds: Holds,
    upstream: Upstream,
    /// Roles renounced for its leave.
    renounced: Vec<(UnitId, Offset)>,
    /// True once it releases to its standbys without a record.
    closed: bool,
    /// True once its process and its upstream have ended.
    ended: bool,
}

/// Members with their upstreams over one log.
pub struct Cluster {
    log: Vec<Vec<u8>>,
    state: State,
    members: Vec<Member>,
    now: Time,
}

impl Cluster {
    /// Starts members that are attached, own the units evenly and whose upstreams hold them.
    pub fn start(count: usize) -> Self {
        let now = Time::from_millis(10_000);
        let (log, state) = (Vec::new(), State::default());
        let mut cluster = Self { log, state, members: Vec::new(), now };
        for number in 0..count {
            let name = format!("vm-{number}");
            let peer = format!("{name}:7000");
            let (data_centre, region) = (name.clone(), "free-state".to_owned());
            let join = Join { vm: name, peer, data_centre, region, ..Join::default() };
            cluster.append(Body::Join(join));
            let id = MemberId(cluster.state.next() - 1);
            cluster.members.push(Member::new(id, now));
        }
        for id in cluster.ids() {
            let (upstream, instance) = (format!("{id}:9000"), format!("i-{id}"));
            let workspace = WORKSPACE.to_owned();
            let member = id.0;
            let attach = Attach { member, workspace, upstream, fenced: true, instance, born: 0 };
            assert!(cluster.append(Body::Attach(attach)));
        }
        let assign = Assign { workspace: WORKSPACE.to_owned(), slots: SLOTS };
        assert!(cluster.append(Body::Assign(assign)));
        cluster.read_all();
        cluster.settle();
        assert!(cluster.holds(cluster.assignment().owner.expect("an owner")));
        cluster
    }

    pub fn ids(&self) -> Vec<MemberId> {
        self.members.iter().map(|member| member.id).collect()
    }

    /// Returns the assignment of the unit by the whole log.
    pub fn assignment(&self) -> Assignment {
        let service = self.state.service(WORKSPACE).expect("it is assigned");
        *service.assignment(UNIT).expect("a unit")
    }

    /// Appends a record; returns true if it is applied.
    pub fn append(&mut self, body: Body) -> bool {
        let id = u128::try_from(self.log.len()).expect("few").to_le_bytes().to_vec();
        self.log.push(Record { id, body: Some(body), generation: 0 }.encode_to_vec());
        let offset = self.state.next().max(1);
        self.state.fold(offset, self.log.last().expect("just pushed")) == Outcome::Applied
    }

    /// Lets a member read the log to its end.
    pub fn read(&mut self, id: MemberId) {
        let log = &self.log;
        let member = self.members.iter_mut().find(|member| member.id == id).expect("known");
        for record in &log[member.read..] {
            member.state.fold(member.state.next().max(1), record);
        }
        member.read = log.len();
        member.rights.prune(id, &member.state);
    }

    pub fn read_all(&mut self) {
        for id in self.ids() {
            self.read(id);
        }
    }

    fn member(&mut self, id: MemberId) -> &mut Member {
        self.members.iter_mut().find(|member| member.id == id).expect("known")
    }

    /// Returns the record by which a member leaves, `None` while it does not serve all that it owns
    /// or its upstream may hold a unit for which it is the standby.
    pub fn propose_leave(&mut self, id: MemberId) -> Option<Body> {
        let now = self.now;
        let member = self.member(id);
        if member.ended || member.state.member(id).is_none_or(|m| m.phase != Phase::Alive) {
            return None;
        }
        let units = member.units();
        let workspace = Name::from(WORKSPACE);
        let serving = |unit| member.rights.serving(&workspace, unit);
        if units.iter().any(|(unit, a)| a.owner == Some(id) && !serving(*unit)) {
            return None;
        }
        let standby = units.iter().filter(|(_, a)| a.standby == Some(id));
        let renounced: Vec<_> = standby.map(|(unit, a)| (*unit, a.version)).collect();
        if renounced.iter().any(|(unit, _)| member.may_hold(now, *unit)) {
            return None;
        }
        for (unit, version) in &renounced {
            member.rights.renounce(&workspace, *unit, *version);
        }
        member.renounced = renounced;
        member.rights.leave();
        Some(Body::Leave(Leave { member: id.0, applied: member.state.next() }))
    }

    /// Tells a member that its record was rejected.
    pub fn cancel_leave(&mut self, id: MemberId) {
        let member = self.member(id);
        for (unit, version) in std::mem::take(&mut member.renounced) {
            member.rights.cancel_renounce(&Name::from(WORKSPACE), unit, version);
        }
        member.rights.cancel_leave();
    }

    /// Lets a member serve nothing more and release its units to their standbys without a record.
    pub fn close(&mut self, id: MemberId) {
        self.member(id).closed = true;
    }

    /// Sets whether an upstream works on requests for all units that it holds.
    pub fn set_busy(&mut self, id: MemberId, busy: bool) {
        self.member(id).upstream.busy = busy;
    }

    /// Ends a process and its upstream.
    pub fn end(&mut self, id: MemberId) {
        let member = self.member(id);
        member.ended = true;
        member.upstream.held.clear();
    }

    /// Returns the eviction of a member that has ended.
    pub fn evict(&self, id: MemberId) -> Body {
        let member = self.state.member(id).expect("known");
        let version = member.version;
        let vote = |lessor: &MemberId| Vote { lessor: lessor.0, member: id.0, version, newest: 0 };
        let votes = member.lessors.iter().map(vote).collect();
        Body::Evict(Evict { member: id.0, version, votes, ..Evict::default() })
    }

    /// Returns true if a member's upstream holds the unit.
    pub fn holds(&self, id: MemberId) -> bool {
        let member = self.members.iter().find(|member| member.id == id).expect("known");
        member.upstream.held.contains_key(&UNIT)
    }

    /// Returns true if a member's upstream holds all units.
    pub fn holds_all(&self, id: MemberId) -> bool {
        let member = self.members.iter().find(|member| member.id == id).expect("known");
        member.upstream.held.len() == SLOTS as usize
    }

    /// Lets all upstreams report and all members release, until nothing changes while nobody reads.
    pub fn settle(&mut self) {
        for _ in 0..SETTLING_ROUNDS {
            self.round();
        }
    }

    /// Lets each member release what it can and its upstream report, one after the other.
    ///
    /// # Panics
    ///
    /// Panics if an upstream is granted a unit that another one holds.
    pub fn round(&mut self) {
        self.now = self.now + REPORT_INTERVAL;
        for id in self.ids() {
            self.release(id);
            self.report(id);
        }
    }

    /// Lets an upstream report, and apply the grants in the reply.
    fn report(&mut self, id: MemberId) {
        let now = self.now;
        let member = self.member(id);
        if member.ended {
            return;
        }
        let next = member.reply(now);
        for (unit, token) in &next {
            let others = self.members.iter().filter(|other| other.id != id);
            let mut holders = others.filter(|other| other.upstream.held.contains_key(unit));
            if let Some(holder) = holders.next() {
                panic!("{id} is granted {unit} under {token:?} while {} holds it", holder.id);
            }
        }
        self.member(id).upstream.apply(next);
    }

    /// Lets a member release the units that it has to; the messages arrive at once.
    fn release(&mut self, id: MemberId) {
        let now = self.now;
        let member = self.member(id);
        if member.ended {
            return;
        }
        let workspace = Name::from(WORKSPACE);
        let mut releases = Vec::new();
        for (unit, a) in member.units() {
            let me = Some(id);
            let former = a.owner != me && [a.prior, a.prior_standby].contains(&me);
            let closing = member.closed && a.owner == me && a.standby.is_some();
            if !(former || closing) || member.may_hold(now, unit) {
                continue;
            }
            if member.rights.release(&workspace, unit, &a) {
                let recipients = [a.owner, a.standby].into_iter().flatten();
                releases.extend(recipients.map(|to| (to, unit, a.version)));
            }
        }
        for (to, unit, version) in releases.into_iter().filter(|(to, ..)| *to != id) {
            self.member(to).rights.record_release(id, &workspace, unit, version);
        }
    }
}

impl Member {
    fn new(id: MemberId, now: Time) -> Self {
        Self {
            id,
            read: 0,
            state: State::default(),
            holder: holder(id, now),
            rights: Rights::new(),
            holds: Holds::new(now, HOLD),
            upstream: Upstream::default(),
            renounced: Vec::new(),
            closed: false,
            ended: false,
        }
    }

    /// Returns the units with their assignments in the folded state.
    fn units(&self) -> Vec<(UnitId, Assignment)> {
        let service = self.state.service(WORKSPACE);
        service.into_iter().flat_map(|service| service.units().map(|(u, a)| (u, *a))).collect()
    }

    fn keys(&self, unit: UnitId) -> Vec<std::ops::RangeInclusive<u32>> {
        self.state.service(WORKSPACE).map(|service| service.key_ranges(unit)).unwrap_or_default()
    }

    fn may_hold(&self, now: Time, unit: UnitId) -> bool {
        self.holds.may_hold(now, unit, &self.keys(unit))
    }

    /// Handles a report of the upstream; returns the units granted in the reply.
    fn reply(&mut self, now: Time) -> BTreeMap<UnitId, Token> {
        let state = &self.state;
        let dead: BTreeSet<MemberId> =
            state.members().filter(|m| m.phase == Phase::Dead).map(|m| m.id).collect();
        let workspace = Name::from(WORKSPACE);
        let incarnation = Incarnation { instance: format!("i-{}", self.id).into(), generation: 0 };
        self.upstream.sequence += 1;
        let held = self.upstream.held.iter().flat_map(|(unit, token)| {
            let range = |keys: std::ops::RangeInclusive<u32>| Held {
                first: *keys.start(),
                last: *keys.end(),
                token: *token,
            };
            self.keys(*unit).into_iter().map(range)
        });
        let held = held.collect();
        self.holds.report(now, &incarnation, self.upstream.sequence, held, Vec::new());
        let mut wanted = Vec::new();
        for (unit, assignment) in self.units() {
            if ![assignment.owner, assignment.standby].contains(&Some(self.id)) {
                continue;
            }
            let expired = |id| dead.contains(&id);
            let right =
                self.rights.decide(now, &self.holder, &workspace, unit, &assignment, expired);
            let Right::Serve { token, .. } = right else { continue };
            if self.closed {
                continue;
            }
            wanted.push(Wanted { unit, token, keys: self.keys(unit), handover: "".into() });
        }
        let lease = self.holder.until().expect("a lease");
        let granted = self.holds.grant(now, lease, &wanted, ROOM);
        granted.expect("a lease that lasts");
        wanted.into_iter().map(|wanted| (wanted.unit, wanted.token)).collect()
    }
}

impl Upstream {
    /// Holds what is granted; what is left out is released unless requests for it are running.
    fn apply(&mut self, granted: BTreeMap<UnitId, Token>) {
        let busy = self.busy;
        let left_out = |unit: &UnitId| !granted.contains_key(unit);
        let kept: BTreeMap<_, _> = self
            .held
            .iter()
            .filter(|(unit, _)| busy && left_out(unit))
            .map(|(unit, token)| (*unit, *token))
            .collect();
        self.held = granted;
        self.held.extend(kept);
    }
}

/// Returns a holder with a lease that outlasts the story.
fn holder(me: MemberId, now: Time) -> Holder {
    let settings = LeaseSettings { term: Duration::from_hours(1), ..LeaseSettings::default() };
    let mut holder = Holder::new(me, now, settings);
    holder.install(me.0, &[MemberId(u64::MAX)], |_| true);
    for renewal in holder.due(now) {
        holder.handle_grant(now, renewal.lessor, renewal.seq, true, renewal.version);
    }
    holder
}
