//! Verdicts on whether a request may have run, and refusals with their reasons.

use std::time::Duration;

use serde::Serialize;

/// Whether an upstream may have run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request was not sent to an upstream and never will be.
    NotRun,
    /// The upstream ran the request and its complete answer was received.
    Answered,
    /// The request may have run, but no complete answer was received.
    Unknown,
}

impl Verdict {
    /// Returns the value of the verdict header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Answered => "answered",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request has no answer from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The member does not own the key.
    NotOwner,
    /// The member has no valid lease.
    NoLease,
    /// The queue in front of the upstream is full, or the upstream sheds load.
    Busy,
    /// The upstream refused the request despite having announced free capacity.
    Shed,
    /// The deadline has passed or cannot be met.
    Expired,
    /// The request may run only once and could not be replicated to the standby.
    StandbyLost,
    /// The upstream or its member is draining and accepts no requests.
    Draining,
    /// The upstream does not accept connections.
    UpstreamDown,
    /// A probe or a later attempt has superseded this attempt.
    Superseded,
    /// No published route matches.
    NoRoute,
    /// The request was cancelled, for example because the caller disconnected.
    Cancelled,
    /// The member does not know which requests ran before it took over.
    DedupLost,
    /// The upstream's answer was lost or incomplete.
    LostAnswer,
    /// The request is malformed or lacks its key.
    BadRequest,
    /// No member that may serve the key is reachable.
    Unreachable,
    /// Several upstreams crashed while they ran the request.
    Quarantined,
    /// The answer would not cross the link of the upstream's VM in time.
    LinkFull,
}

impl Reason {
    /// Returns the value of the reason header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotOwner => "not-owner",
            Self::NoLease => "no-lease",
            Self::Busy => "busy",
            Self::Shed => "shed",
            Self::Expired => "expired",
            Self::StandbyLost => "standby-lost",
            Self::Draining => "draining",
            Self::UpstreamDown => "upstream-down",
            Self::Superseded => "superseded",
            Self::NoRoute => "no-route",
            Self::Cancelled => "cancelled",
            Self::DedupLost => "dedup-lost",
            Self::LostAnswer => "lost-answer",
            Self::BadRequest => "bad-request",
            Self::Unreachable => "unreachable",
            Self::Quarantined => "quarantined",
            Self::LinkFull => "link-full",
        }
    }
}

/// Final or intermediate refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that has not run.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self { verdict: Verdict::NotRun, reason, retry: None }
    }

    /// Returns a refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self { verdict: Verdict::Unknown, reason, retry: None }
    }

    /// Returns this refusal with a time after which the caller may retry.
    #[must_use]
    pub const fn after(self, retry: Duration) -> Self {
        Self { retry: Some(retry), ..self }
    }
}
