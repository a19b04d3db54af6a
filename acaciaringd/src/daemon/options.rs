//! Settings of the daemon's parts, from the settings file.

use std::net::SocketAddr;
use std::time::Duration;

use acaciaring_core::admission::AdmissionSettings;
use acaciaring_core::balance::BalanceSettings;
use acaciaring_core::lease::LeaseSettings;
use acaciaring_core::rates::RateSettings;
use acaciaring_core::retry::RetrySettings;
use acaciaring_core::state::HOT_MAX;
use acaciaring_schema::settings::{Lease, Settings, UpstreamGrants};

use crate::control::Location;
use crate::entry::EntrySettings;
use crate::gate::GateSettings;
use crate::peer::PeerSettings;
use crate::platform::{LogClient, LogTimeouts};
use crate::router::{ClusterBudget, RetryBudgets};

/// Room for headers and the like in a message between members, in bytes.
const ENVELOPE: u64 = 256 << 10;

/// Longest term of a lease where upstreams are told by calls what to hold.
///
/// Calls renew a hold several times within it; a report every second or so may not.
const CALLED_TERM: Duration = Duration::from_secs(2);

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
    }
}

/// Returns the largest message between members: a body with its headers.
fn message_limit(settings: &Settings) -> usize {
    usize::try_from(settings.limits.body + ENVELOPE).unwrap_or(usize::MAX)
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
    GateSettings { admission: admission_settings(settings), rate_settings: heat_settings(settings) }
}

/// Returns the settings of admission beside the upstream.
fn admission_settings(settings: &Settings) -> AdmissionSettings {
    AdmissionSettings {
        slots: settings.limits.slots,
        queue: settings.limits.queue as usize,
        ..AdmissionSettings::default()
    }
}

/// Returns the budgets of retries: of each class, and of all members together.
pub(super) fn budgets(settings: &Settings) -> RetryBudgets {
    let limits = &settings.limits;
    let retries = RetrySettings { ratio: limits.retry_ratio, ..RetrySettings::default() };
    let common = ClusterBudget { burst: limits.retry_burst.into(), window: limits.retry_window };
    RetryBudgets::new(retries, common)
}

/// Returns how heat is measured.
fn heat_settings(settings: &Settings) -> RateSettings {
    RateSettings { half_life: settings.balance.heat, ..RateSettings::default() }
}

/// Returns the settings of balance.
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

/// Returns the times that govern leases.
///
/// A term has to outlast a late report where reports renew what an upstream holds. Where calls do, a
/// shorter one costs nothing, and the keys of a lost member are served sooner.
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
            interval: settings.interval.min(CALLED_TERM / 4),
            term: settings.term.min(CALLED_TERM),
            abandon: settings.abandon.min(CALLED_TERM * 2),
            ..settings
        },
    }
}

/// Returns where this process runs, as other members are told.
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
