//! Holder side of the lease protocol: renews this member's own lease with its lessors.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{MemberId, Offset};
use crate::lease::{LeaseSettings, Renewal};
use crate::state::majority;
use crate::time::Time;

/// Maximum doublings of the resend delay.
const MAX_DOUBLINGS: u32 = 8;

/// Unanswered renewals after which a lessor that never granted counts as unresponsive.
///
/// The resend delays between them leave time to establish a connection.
const MAX_UNANSWERED: u32 = 3;

/// Lessor set of which the holder needs grants by a majority.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LessorSet {
    /// Version of the set, `None` while it is proposed.
    version: Option<Offset>,
    lessors: Vec<MemberId>,
    /// Lessors that the log recorded as dead when a later set was installed.
    dead: BTreeSet<MemberId>,
}

impl LessorSet {
    fn new(version: Option<Offset>, lessors: &[MemberId]) -> Self {
        Self { version, lessors: lessors.to_vec(), dead: BTreeSet::new() }
    }

    fn majority(&self) -> usize {
        majority(self.lessors.len())
    }
}

/// State that the holder keeps for one lessor.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct LessorState {
    /// When the last renewal was sent.
    sent: Option<Time>,
    /// Renewals sent since the last grant.
    unanswered: u32,
    /// Send times of renewals that may still be answered, by sequence number.
    pending: BTreeMap<u64, Time>,
    /// Decaying maximum of the response time: a shorter one lowers it to half at most.
    latency: Duration,
    /// Send time of the latest renewal that was granted.
    last_granted: Option<Time>,
    /// Highest lessor set version stated in a grant.
    version: Offset,
    refused: bool,
}

impl LessorState {
    fn due(&self, settings: &LeaseSettings) -> Option<Time> {
        let sent = self.sent?;
        Some(sent + self.renewal_delay(settings))
    }

    /// Returns the delay between the last renewal and the next one.
    ///
    /// Without an answer, renewals are resent with exponential backoff up to the usual interval.
    fn renewal_delay(&self, settings: &LeaseSettings) -> Duration {
        let doublings = match self.unanswered {
            0 => return settings.interval,
            unanswered => (unanswered - 1).min(MAX_DOUBLINGS),
        };
        settings
            .interval
            .min(self.loss_timeout(settings).max(settings.resend * 2_u32.pow(doublings)))
    }

    /// Returns the time after which a renewal counts as lost.
    ///
    /// Adapts to the response time: with a fixed timeout, each late answer of an overloaded lessor
    /// would drop a working connection and cost a handshake, which slows it further. At most a
    /// third of the term, which leaves time for a new connection.
    fn loss_timeout(&self, settings: &LeaseSettings) -> Duration {
        settings.resend.max((self.latency * 2).min(settings.term / 3))
    }

    /// Returns true when the oldest unanswered renewal counts as lost.
    fn is_timed_out(&self, now: Time, settings: &LeaseSettings) -> bool {
        let oldest = self.pending.values().next();
        oldest.is_some_and(|sent| now.since(*sent) >= self.loss_timeout(settings))
    }
}

/// Lease of one member identity, as seen by that member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    me: MemberId,
    settings: LeaseSettings,
    /// Lessor sets, each of which must grant by majority; proposed ones last.
    sets: Vec<LessorSet>,
    /// Lessors that already receive renewals before they are proposed.
    prepared: Vec<MemberId>,
    lessors: BTreeMap<MemberId, LessorState>,
    seq: u64,
    /// Latest lease expiry so far, or the start of this identity.
    last_expiry: Time,
}

impl Holder {
    /// Creates the holder of a member identity without lessors.
    ///
    /// `start` must precede the append of the `Join` record. With a later time, a member that is
    /// evicted before it reads its own `Join` would grant for longer than others wait.
    #[must_use]
    pub fn new(me: MemberId, start: Time, settings: LeaseSettings) -> Self {
        let (sets, prepared) = (Vec::new(), Vec::new());
        Self { me, settings, sets, prepared, lessors: BTreeMap::new(), seq: 0, last_expiry: start }
    }

    /// Returns the identity of this holder.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.me
    }

    /// Returns the version of the newest lessor set read from the log, zero when there is none.
    #[must_use]
    pub fn version(&self) -> Offset {
        self.sets.iter().filter_map(|set| set.version).max().unwrap_or(0)
    }

    /// Installs a lessor set read from the log; older sets stay required until superseded.
    ///
    /// `alive` returns false for members that are dead in the folded state that includes `version`.
    /// Grants of dead lessors do not supersede older sets: members that have not folded the new set
    /// count such a death as a vote, so a standby could take the lease for expired by the old set
    /// while the holder goes on under the new one.
    pub fn install(
        &mut self,
        version: Offset,
        lessors: &[MemberId],
        alive: impl Fn(MemberId) -> bool,
    ) {
        if version <= self.version() {
            return;
        }
        // Pending proposals build on an older version, so the log rejects them.
        self.sets.retain(|set| set.version.is_some());
        for set in &mut self.sets {
            set.dead.extend(set.lessors.iter().filter(|id| !alive(**id)));
        }
        self.sets.push(LessorSet::new(Some(version), lessors));
        self.recompute();
    }

    /// Installs a lessor set read from the log and drops all older ones.
    ///
    /// May replace [`Self::install`] only when the folded state that includes `version` names this
    /// member as owner, standby or prior of no unit. A member that lags behind `version` can then
    /// count votes by an older set only for units that are no longer assigned to this member; units
    /// assigned later follow `version` in the log. Without it, a process whose first lessors are
    /// dead would get no lease until it abandons its identity, as dead lessors supersede nothing.
    pub fn reset(&mut self, version: Offset, lessors: &[MemberId]) {
        if version <= self.version() {
            return;
        }
        self.sets = vec![LessorSet::new(Some(version), lessors)];
        self.recompute();
    }

    /// Starts renewals with lessors that are to be proposed later; nothing else changes.
    ///
    /// A set is required from its proposal on. Without grants in advance, each change of lessors
    /// would interrupt the lease until connections to the new lessors are established.
    pub fn prepare(&mut self, lessors: &[MemberId]) {
        if self.prepared != lessors {
            self.prepared = lessors.to_vec();
            self.recompute();
        }
    }

    /// Returns true when proposing a set now would not shorten the lease.
    ///
    /// Guards against two servers of one unit. The upstream may already hold a unit until the
    /// current lease expires, and that cannot be revoked. If the new set granted for a shorter
    /// time, its votes could prove the lease expired while the upstream still holds the unit.
    #[must_use]
    pub fn ready(&self, now: Time, lessors: &[MemberId]) -> bool {
        let latest = self.majority_time(&LessorSet::new(None, lessors));
        let Some(end) = latest.map(|latest| latest + self.settings.usable()) else { return false };
        let shorter = self.until().is_some_and(|until| end < until);
        !shorter && now + self.settings.interval < end
    }

    /// Returns true while renewals are sent to lessors that are not proposed yet.
    #[must_use]
    pub fn preparing(&self) -> bool {
        !self.prepared.is_empty()
    }

    /// Returns the lessors that refuse or have never granted despite repeated renewals.
    #[must_use]
    pub fn unresponsive(&self) -> Vec<MemberId> {
        let unresponsive = |state: &LessorState| {
            state.refused || (state.last_granted.is_none() && state.unanswered > MAX_UNANSWERED)
        };
        self.lessors.iter().filter(|(_, state)| unresponsive(state)).map(|(id, _)| *id).collect()
    }

    /// Requires a majority of a further set too; must be called before its record is appended.
    pub fn propose(&mut self, lessors: &[MemberId]) {
        self.prepared.clear();
        let set = LessorSet::new(None, lessors);
        self.sets.retain(|other| *other != set);
        self.sets.push(set);
        self.recompute();
    }

    /// Drops the latest proposed set; may be called only when its record is known to be rejected.
    ///
    /// Earlier proposed sets stay required: their records may have been given up and still be
    /// appended, and others would then count votes by them.
    pub fn withdraw(&mut self) {
        self.sets.pop_if(|set| set.version.is_none());
        self.recompute();
    }

    /// Returns true while a proposed set has been neither installed nor withdrawn.
    #[must_use]
    pub fn proposing(&self) -> bool {
        self.sets.iter().any(|set| set.version.is_none())
    }

    /// Returns the renewals to send at `now` and records them as sent.
    pub fn due(&mut self, now: Time) -> Vec<Renewal> {
        let version = self.version();
        let settings = self.settings;
        let mut renewals = Vec::new();
        for (lessor, state) in &mut self.lessors {
            if state.due(&settings).is_some_and(|due| now < due) {
                continue;
            }
            let reconnect = state.unanswered > 0 && state.is_timed_out(now, &settings);
            self.seq += 1;
            state.pending.retain(|_, sent| now < *sent + settings.term);
            state.pending.insert(self.seq, now);
            state.unanswered = state.unanswered.saturating_add(1);
            state.sent = Some(now);
            renewals.push(Renewal { lessor: *lessor, seq: self.seq, version, reconnect });
        }
        renewals
    }

    /// Returns the time of the next renewal, not before `now`.
    #[must_use]
    pub fn next_due(&self, now: Time) -> Time {
        let due = self.lessors.values().map(|state| state.due(&self.settings).unwrap_or(now));
        due.min().unwrap_or(now + self.settings.interval).max(now)
    }

    /// Handles the answer to a renewal.
    ///
    /// The lease counts from when the renewal was sent. Counted from receipt of the answer, a
    /// delayed grant would outlast the lessor's own count, and the lessor could vote while the
    /// lease is in use.
    pub fn handle_grant(
        &mut self,
        now: Time,
        from: MemberId,
        seq: u64,
        granted: bool,
        version: Offset,
    ) {
        let Some(state) = self.lessors.get_mut(&from) else { return };
        let Some(sent) = state.pending.remove(&seq) else { return };
        if !granted {
            state.refused = true;
            return;
        }
        let latency = now.since(sent);
        state.latency = latency.max(state.latency / 2);
        if latency < self.settings.term {
            state.unanswered = 0;
        }
        state.pending = state.pending.split_off(&seq);
        state.last_granted = state.last_granted.max(Some(sent));
        state.version = state.version.max(version);
        self.recompute();
    }

    /// Returns the expiry of the lease, `None` when some set has never granted by majority.
    #[must_use]
    pub fn until(&self) -> Option<Time> {
        let latest = self.sets.iter().map(|set| self.majority_time(set)).min().flatten()?;
        Some(latest + self.settings.usable())
    }

    /// Returns true while the lease is valid.
    #[must_use]
    pub fn holds(&self, now: Time) -> bool {
        self.until().is_some_and(|until| now < until)
    }

    /// Returns the time since which there has been no lease, `None` while it is valid.
    #[must_use]
    pub fn lost_since(&self, now: Time) -> Option<Time> {
        (!self.holds(now)).then(|| self.last_expiry.min(now))
    }

    /// Returns true when the lease has expired and too many lessors refuse for it to be renewed.
    ///
    /// Lessors that stop refuse renewals while their last grants still run, and the upstream may
    /// hold units until those expire.
    #[must_use]
    pub fn refused(&self, now: Time) -> bool {
        let lacks = |set: &LessorSet| {
            let refused = set.lessors.iter().filter(|id| self.lessors[*id].refused).count();
            set.lessors.len() - refused < set.majority() && refused > 0
        };
        let mut recorded = self.sets.iter().filter(|set| set.version.is_some());
        !self.holds(now) && recorded.any(lacks)
    }

    /// Returns true when the lease has expired and too many lessors are dead for it to be renewed.
    ///
    /// Such a member can neither renew its lease nor replace its lessors, as dead lessors supersede
    /// nothing. Abandoning the identity at once leaves its units unserved for a shorter time than
    /// waiting until [`Self::abandoned`].
    #[must_use]
    pub fn quorum_lost(&self, now: Time, alive: impl Fn(MemberId) -> bool) -> bool {
        let lacks = |set: &LessorSet| {
            let living = set.lessors.iter().filter(|id| alive(**id)).count();
            !set.lessors.is_empty() && living < set.majority()
        };
        let recorded = self.sets.iter().filter(|set| set.version.is_some());
        !self.holds(now) && recorded.into_iter().any(lacks)
    }

    /// Returns true when this identity must be abandoned and must stop granting.
    ///
    /// A member that never had lessors cannot be evicted and so keeps its identity.
    #[must_use]
    pub fn abandoned(&self, now: Time) -> bool {
        let asked = !self.lessors.is_empty();
        asked && self.lost_since(now).is_some_and(|since| now >= since + self.settings.abandon)
    }

    /// Returns the latest time since which a majority of a set has granted renewals.
    fn majority_time(&self, set: &LessorSet) -> Option<Time> {
        let mut times: Vec<Time> =
            set.lessors.iter().filter_map(|id| self.lessors.get(id)?.last_granted).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(set.majority() - 1).copied()
    }

    /// Drops superseded sets, updates the lessors to match the remaining sets and the lease expiry.
    fn recompute(&mut self) {
        let newest = self.version();
        let lessors = &self.lessors;
        self.sets.retain(|set| match set.version {
            Some(version) if version < newest => !superseded(set, version, lessors),
            _ => true,
        });
        let needed = self.sets.iter().flat_map(|set| &set.lessors);
        let wanted: BTreeSet<MemberId> = needed.chain(&self.prepared).copied().collect();
        self.lessors.retain(|id, _| wanted.contains(id));
        for id in wanted {
            self.lessors.entry(id).or_default();
        }
        self.last_expiry =
            self.until().map_or(self.last_expiry, |until| until.max(self.last_expiry));
    }
}

/// Returns true when votes with the version of `set` can no longer form a majority.
///
/// A lessor that granted with a higher version only votes with that version or a higher one, and a
/// lessor that has voted does not grant. An empty set neither grants a lease nor proves its expiry.
fn superseded(set: &LessorSet, version: Offset, lessors: &BTreeMap<MemberId, LessorState>) -> bool {
    let counts = |id: &&MemberId| {
        !set.dead.contains(*id) && lessors.get(*id).is_some_and(|state| state.version > version)
    };
    set.lessors.is_empty() || set.lessors.iter().filter(counts).count() >= set.majority()
}
