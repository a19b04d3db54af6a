//! Holder's side of a lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{MemberId, Offset};
use crate::lease::{LeaseSettings, Renewal};
use crate::state::majority;
use crate::time::Time;

/// Most doublings of the time after which a renewal is sent again.
const MAX_DOUBLINGS: u32 = 8;

/// Renewals that a lessor may leave without answer before it counts as silent.
///
/// With the pauses between them that is about a second, enough for a connection to be made.
const MAX_UNANSWERED: u32 = 3;

/// Lessor set whose majority the holder needs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LessorSet {
    /// Version of the set, none while it is only proposed.
    version: Option<Offset>,
    lessors: Vec<MemberId>,
    /// Lessors that were dead in the log when a later set was installed.
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

/// What the holder knows of one lessor.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct LessorState {
    /// Last renewal sent.
    sent: Option<Time>,
    /// Renewals sent since the last grant.
    unanswered: u32,
    /// Renewals that may still be answered, with the times of sending.
    pending: BTreeMap<u64, Time>,
    /// Time that the lessor takes for an answer; long ones are forgotten by half with each shorter one.
    latency: Duration,
    /// Sending time of the latest renewal that was granted.
    last_granted: Option<Time>,
    /// Highest version that the lessor has stated with a grant.
    version: Offset,
    refused: bool,
}

impl LessorState {
    fn due(&self, settings: &LeaseSettings) -> Option<Time> {
        let sent = self.sent?;
        Some(sent + self.renewal_delay(settings))
    }

    /// Returns the time between the last renewal and the next one.
    ///
    /// A lessor that stays silent is asked soon at first, then at the usual interval. One that is slow
    /// to answer is waited for.
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
    /// Guards against new connections to a lessor that lacks processor: with a fixed time each late
    /// answer costs both ends a handshake and the connection that works, and the next one is later.
    /// A third of the term at most, so that there is time for the new connection.
    fn loss_timeout(&self, settings: &LeaseSettings) -> Duration {
        settings.resend.max((self.latency * 2).min(settings.term / 3))
    }

    /// Returns true when the oldest renewal without answer counts as lost.
    fn is_timed_out(&self, now: Time, settings: &LeaseSettings) -> bool {
        let oldest = self.pending.values().next();
        oldest.is_some_and(|sent| now.since(*sent) >= self.loss_timeout(settings))
    }
}

/// Lease of one member identity, as the member itself sees it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    me: MemberId,
    settings: LeaseSettings,
    /// Sets whose majorities are all needed; proposed ones last.
    sets: Vec<LessorSet>,
    /// Lessors that are asked before they are proposed.
    prepared: Vec<MemberId>,
    lessors: BTreeMap<MemberId, LessorState>,
    seq: u64,
    /// Latest lease end so far, or the start of this identity.
    last_expiry: Time,
}

impl Holder {
    /// Makes the holder of a member identity that has no lessors yet.
    ///
    /// `start` is a time before the append of the `Join` record was sent. A
    /// later one would let a member that is evicted before it reads its own
    /// `Join` grant for longer than others wait.
    #[must_use]
    pub fn new(me: MemberId, start: Time, settings: LeaseSettings) -> Self {
        let (sets, prepared) = (Vec::new(), Vec::new());
        Self { me, settings, sets, prepared, lessors: BTreeMap::new(), seq: 0, last_expiry: start }
    }

    /// Returns the identity that holds the lease.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.me
    }

    /// Returns the version of the newest lessor set read back from the log, zero when there is none.
    #[must_use]
    pub fn version(&self) -> Offset {
        self.sets.iter().filter_map(|set| set.version).max().unwrap_or(0)
    }

    /// Takes over a lessor set read back from the log; older sets stay needed until superseded.
    ///
    /// `alive` tells whether a member is not dead in the folded state that
    /// includes `version`. Failure: the recorded death of a lessor of the old
    /// set counts as its vote with those who have not folded the new set. If
    /// its grant also superseded the old set, the holder would go on under the
    /// new set while a standby counts the old one as expired. So dead lessors
    /// supersede nothing.
    pub fn install(
        &mut self,
        version: Offset,
        lessors: &[MemberId],
        alive: impl Fn(MemberId) -> bool,
    ) {
        if version <= self.version() {
            return;
        }
        // Proposals were based on an older version, so this one was in first and rejects the rest.
        self.sets.retain(|set| set.version.is_some());
        for set in &mut self.sets {
            set.dead.extend(set.lessors.iter().filter(|id| !alive(**id)));
        }
        self.sets.push(LessorSet::new(Some(version), lessors));
        self.recompute();
    }

    /// Takes over a lessor set read back from the log and forgets all older ones.
    ///
    /// To be called in place of [`Self::install`] only when the folded state that
    /// includes `version` names this member as owner, standby or prior of nothing.
    /// A member that lags behind `version` can then count votes by an older set,
    /// but for units that this member has given up by its own word; whatever it
    /// gets later stands behind `version` in the log. Without this a process that
    /// starts while its first lessors are gone could get no lease, for the dead
    /// supersede nothing, until it abandons its identity.
    pub fn reset(&mut self, version: Offset, lessors: &[MemberId]) {
        if version <= self.version() {
            return;
        }
        self.sets = vec![LessorSet::new(Some(version), lessors)];
        self.recompute();
    }

    /// Asks lessors that are to be proposed once they grant; nothing else changes.
    ///
    /// Guards against a lease that is lost for each exchange of lessors: a set counts from its
    /// proposal on, and until a majority of it has granted for the first time there would be no
    /// lease. Callers saw their requests refused for as long as a connection to a new lessor takes.
    pub fn prepare(&mut self, lessors: &[MemberId]) {
        if self.prepared != lessors {
            self.prepared = lessors.to_vec();
            self.recompute();
        }
    }

    /// Returns true when a set that is proposed now leaves the lease as long as it is.
    ///
    /// Guards against two servers of a unit: the upstream was told to hold it until the end of the
    /// lease, and that cannot be taken back. If the lease ended earlier by the new set, whose
    /// lessors were asked before the old ones, their votes could prove it over while the
    /// upstream still holds the unit by the older word.
    #[must_use]
    pub fn ready(&self, now: Time, lessors: &[MemberId]) -> bool {
        let latest = self.majority_time(&LessorSet::new(None, lessors));
        let Some(end) = latest.map(|latest| latest + self.settings.usable()) else { return false };
        let shorter = self.until().is_some_and(|until| end < until);
        !shorter && now + self.settings.interval < end
    }

    /// Returns true while lessors are asked that are to be proposed.
    #[must_use]
    pub fn preparing(&self) -> bool {
        !self.prepared.is_empty()
    }

    /// Returns the lessors that have answered none of several renewals, or refuse.
    #[must_use]
    pub fn unresponsive(&self) -> Vec<MemberId> {
        let unresponsive = |state: &LessorState| {
            state.refused || (state.last_granted.is_none() && state.unanswered > MAX_UNANSWERED)
        };
        self.lessors.iter().filter(|(_, state)| unresponsive(state)).map(|(id, _)| *id).collect()
    }

    /// Needs the majority of a further set from now on; to be called before its record is appended.
    pub fn propose(&mut self, lessors: &[MemberId]) {
        self.prepared.clear();
        let set = LessorSet::new(None, lessors);
        if !self.sets.contains(&set) {
            self.sets.push(set);
        }
        self.recompute();
    }

    /// Forgets proposed sets; to be called only when their records are rejected for sure.
    pub fn withdraw(&mut self) {
        self.sets.retain(|set| set.version.is_some());
        self.recompute();
    }

    /// Returns true while a proposed set has been neither read back nor withdrawn.
    #[must_use]
    pub fn proposing(&self) -> bool {
        self.sets.iter().any(|set| set.version.is_none())
    }

    /// Returns the renewals that are to be sent at `now`.
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

    /// Takes in an answer to a renewal.
    ///
    /// The lease is counted from the sending of the renewal, whenever the
    /// answer arrives. Counted from receipt, a grant that was delayed would
    /// outlast the lessor's own count and overlap with a vote.
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

    /// Returns the end of the lease, none when some set has never granted by majority.
    #[must_use]
    pub fn until(&self) -> Option<Time> {
        let latest = self.sets.iter().map(|set| self.majority_time(set)).min().flatten()?;
        Some(latest + self.settings.usable())
    }

    /// Returns true while the lease holds.
    #[must_use]
    pub fn holds(&self, now: Time) -> bool {
        self.until().is_some_and(|until| now < until)
    }

    /// Returns since when there has been no lease, none while it holds.
    #[must_use]
    pub fn lost_since(&self, now: Time) -> Option<Time> {
        (!self.holds(now)).then(|| self.last_expiry.min(now))
    }

    /// Returns true when so many lessors refuse for good that this identity never gets a lease again.
    #[must_use]
    pub fn refused(&self) -> bool {
        self.sets.iter().filter(|set| set.version.is_some()).any(|set| {
            let refused = set.lessors.iter().filter(|id| self.lessors[*id].refused).count();
            set.lessors.len() - refused < set.majority() && refused > 0
        })
    }

    /// Returns true when so many lessors are dead in the log that this identity never gets a lease again.
    ///
    /// Guards against units without a server for many times the term: a member that has lost two of
    /// three lessors at once can neither renew nor exchange them, for the dead supersede nothing.
    /// It need not wait until it is abandoned; while its lease runs it serves on.
    #[must_use]
    pub fn quorum_lost(&self, now: Time, alive: impl Fn(MemberId) -> bool) -> bool {
        let lacks = |set: &LessorSet| {
            let living = set.lessors.iter().filter(|id| alive(**id)).count();
            !set.lessors.is_empty() && living < set.majority()
        };
        let recorded = self.sets.iter().filter(|set| set.version.is_some());
        !self.holds(now) && recorded.into_iter().any(lacks)
    }

    /// Returns true when this identity must be given up and must grant nothing more.
    ///
    /// A member that never had lessors cannot be evicted, so it may stay.
    #[must_use]
    pub fn abandoned(&self, now: Time) -> bool {
        let asked = !self.lessors.is_empty();
        asked && self.lost_since(now).is_some_and(|since| now >= since + self.settings.abandon)
    }

    /// Returns the sending time that a majority of a set has reached.
    fn majority_time(&self, set: &LessorSet) -> Option<Time> {
        let mut times: Vec<Time> =
            set.lessors.iter().filter_map(|id| self.lessors.get(id)?.last_granted).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(set.majority() - 1).copied()
    }

    /// Drops superseded sets, matches lessors with the lessors left and notes the lease end.
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

/// Returns true when no votes that carry the version of `set` can make a majority any more.
///
/// A lessor that granted with a higher version on record votes with that or a
/// higher one from then on; one that has voted does not grant. An empty set
/// never gives a lease and never proves one over.
fn superseded(set: &LessorSet, version: Offset, lessors: &BTreeMap<MemberId, LessorState>) -> bool {
    let counts = |id: &&MemberId| {
        !set.dead.contains(*id) && lessors.get(*id).is_some_and(|state| state.version > version)
    };
    set.lessors.is_empty() || set.lessors.iter().filter(counts).count() >= set.majority()
}
