//! Conversion of the settings file to the settings of each component.

use std::net::SocketAddr;
use std::time::Duration;

use acaciaring_core::admission::AdmissionSettings;
use acaciaring_core::balance::BalanceSettings;
use acaciaring_core::lease::LeaseSettings;
use acaciaring_core::rates::RateSettings;
use acaciaring_core::retry::RetrySettings;
use acaciaring_core::state::HOT_MAX;
use acaciaring_schema::settings::{Lease, Settings, UpstreamGrants};

use crate::body_memory::BodyMemory;
use crate::control::Location;
use crate::entry::EntrySettings;
use crate::gate::GateSettings;
use crate::metrics::Metrics;
use crate::peer::PeerSettings;
use crate::platform::{LogClient, LogTimeouts};
use crate::router::{ClusterBudget, RetryBudgets};
use crate::web::{HeldBytes, ServerLimits};

/// Allowance for headers and metadata in a message between members, in bytes.
const ENVELOPE_BYTES: u64 = 256 << 10;

/// Divisor of the memory of the process that gives the part for request bodies.
const BODIES_DIVISOR: u64 = 2;

/// Divisor of the memory of the process that gives the part for answers that callers have not read.
const HELD_DIVISOR: u64 = 8;

/// Divisor of the memory of the process that gives the part for connections of callers.
const CONNECTIONS_DIVISOR: u64 = 4;

/// Memory of a connection of a caller; an eighth of them may hold a part of a head besides.
const CONNECTION_BYTES: u64 = 16 << 10;

/// File descriptors for other uses than sockets.
const OTHER_DESCRIPTORS: u32 = 200;

/// Longest term of a lease when grants are sent to the upstream by calls.
///
/// Calls renew a grant several times within this term; heartbeats may be too rare for that.
const MAX_CALL_TERM: Duration = Duration::from_secs(2);

/// Returns the client of the log service.
pub(super) fn log_client(settings: &Settings) -> LogClient {
    let timeout = settings.log.timeout;
    let timeouts =
        LogTimeouts { connect: timeout, append: timeout, read: timeout, ..LogTimeouts::default() };
    LogClient::new(settings.log.address, timeouts)
}

/// Returns the settings of the transport between members.
pub(super) fn peer_settings(settings: &Settings) -> PeerSettings {
    PeerSettings {
        address: settings.listen.peer,
        certificate: settings.tls.certificate.clone().unwrap_or_default(),
        key: settings.tls.key.clone().unwrap_or_default(),
        authority: settings.tls.authority.clone().unwrap_or_default(),
        workers: settings.peer.workers as usize,
        threads: settings.traffic.threads as usize,
        message_limit: message_limit(settings),
        ack_timeout: settings.peer.arrival,
        connect: settings.peer.connect,
        link_rate: link_rate(settings.peer.link),
    }
}

/// Converts Mbit/s to bytes per second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the setting is bounded"
)]
fn link_rate(mbits: f64) -> u64 {
    (mbits * 125_000.0) as u64
}

/// Returns the largest message between members in bytes: a body and its headers.
fn message_limit(settings: &Settings) -> usize {
    usize::try_from(settings.limits.body + ENVELOPE_BYTES).unwrap_or(usize::MAX)
}

/// Returns the limits of the listener for callers.
pub(super) fn caller_limits(
    settings: &Settings,
    bodies: BodyMemory,
    held: HeldBytes,
    metrics: Metrics,
) -> ServerLimits {
    let limits = &settings.limits;
    let by_memory = limits.memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
    let sockets = limits.descriptors.saturating_sub(OTHER_DESCRIPTORS);
    let by_descriptors = (sockets - sockets / 4) as usize;
    let connections = usize::try_from(by_memory).unwrap_or(usize::MAX).min(by_descriptors);
    ServerLimits { connections, bodies, held, metrics }
}

/// Returns the memory for request bodies in bytes.
pub(super) const fn body_memory(settings: &Settings) -> u64 {
    settings.limits.memory / BODIES_DIVISOR
}

/// Returns the limit on answers that callers have not read in bytes.
pub(super) fn held_limit(settings: &Settings) -> u64 {
    settings.limits.held.min(settings.limits.memory / HELD_DIVISOR)
}

/// Returns the settings of the entry for callers.
pub(super) fn entry_settings(settings: &Settings) -> EntrySettings {
    EntrySettings {
        address: settings.listen.http,
        workers: settings.entry.workers as usize,
        body: settings.limits.body,
        ..EntrySettings::default()
    }
}

/// Returns the limits of the gate.
pub(super) fn gate_settings(settings: &Settings) -> GateSettings {
    GateSettings { admission: admission_settings(settings), rate_settings: rate_settings(settings) }
}

/// Returns the settings of admission to the upstream.
fn admission_settings(settings: &Settings) -> AdmissionSettings {
    AdmissionSettings {
        slots: settings.limits.slots,
        queue: settings.limits.queue as usize,
        link_rate: link_rate(settings.peer.link),
        ..AdmissionSettings::default()
    }
}

/// Returns the retry budgets: one for each class, and one shared by the whole cluster.
pub(super) fn retry_budgets(settings: &Settings) -> RetryBudgets {
    let limits = &settings.limits;
    let retries = RetrySettings { ratio: limits.retry_ratio, ..RetrySettings::default() };
    let cluster = ClusterBudget { burst: limits.retry_burst.into(), window: limits.retry_window };
    RetryBudgets::new(retries, cluster)
}

/// Returns the settings of the request rate estimate.
fn rate_settings(settings: &Settings) -> RateSettings {
    RateSettings { half_life: settings.balance.heat, ..RateSettings::default() }
}

/// Returns the settings of load balancing.
pub(super) fn balance_settings(settings: &Settings) -> BalanceSettings {
    let balance = &settings.balance;
    BalanceSettings {
        tolerance: balance.hysteresis,
        min_moves: balance.moves as usize,
        hot_keys: HOT_MAX,
        cooldown: balance.rest,
        merge_after: balance.rest,
        ..BalanceSettings::default()
    }
}

/// Returns the timing of leases.
///
/// With heartbeats, the term must outlast a late one, or the upstream loses its grants. With calls,
/// a shorter term is safe, and the keys of a lost member are served sooner.
pub(super) fn lease_settings(lease: &Lease, grants: UpstreamGrants) -> LeaseSettings {
    let settings = LeaseSettings {
        interval: lease.interval,
        resend: lease.resend,
        term: lease.term,
        margin: lease.margin,
        abandon: lease.abandon,
    };
    match grants {
        UpstreamGrants::Heartbeat => settings,
        UpstreamGrants::Call => LeaseSettings {
            interval: settings.interval.min(MAX_CALL_TERM / 4),
            term: settings.term.min(MAX_CALL_TERM),
            abandon: settings.abandon.min(MAX_CALL_TERM * 2),
            ..settings
        },
    }
}

/// Returns the location of this process that is published to other members.
pub(super) fn location(settings: &Settings, peer: SocketAddr, http: SocketAddr) -> Location {
    let member = &settings.member;
    Location {
        vm: member.vm.to_string(),
        data_centre: member.data_centre.to_string(),
        region: member.region.to_string(),
        rack: member.rack.as_deref().unwrap_or_default().to_string(),
        peer: peer.to_string(),
        http: http.to_string(),
    }
}
