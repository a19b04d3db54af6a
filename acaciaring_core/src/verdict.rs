//! Verdict: whether a request may have run.

use std::time::Duration;

use serde::Serialize;

/// Whether an upstream may have run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request was never given to an upstream, and never will be.
    NotRun,
    /// The upstream ran the request and its whole answer is here.
    Answered,
    /// The request may have run; there is no whole answer.
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
    /// The member's lease has run out.
    NoLease,
    /// The queue beside the upstream is full, or the upstream sheds load.
    Busy,
    /// The upstream itself refused the request, although it had a place for it by its own word.
    Shed,
    /// The deadline passed, or cannot be met.
    Expired,
    /// The standby cannot be told of a request that may run once only.
    StandbyLost,
    /// The upstream is leaving.
    Draining,
    /// The upstream does not accept connections.
    UpstreamDown,
    /// A probe or a later try has replaced this attempt.
    Superseded,
    /// No published route matches.
    NoRoute,
    /// The caller has gone away.
    Cancelled,
    /// The member does not know which requests ran before it took over.
    DedupLost,
    /// The upstream's answer was lost or was not whole.
    LostAnswer,
    /// The request is malformed or lacks its key.
    BadRequest,
    /// No member that may serve the key can be reached.
    Unreachable,
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
    /// When the caller may come back.
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

    /// Returns this refusal with the time after which to come back.
    #[must_use]
    pub const fn after(self, retry: Duration) -> Self {
        Self { retry: Some(retry), ..self }
    }
}
