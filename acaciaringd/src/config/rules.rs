//! Validation rules that span several settings.

use acaciaring_core::Name;
use acaciaring_core::route::{DocumentField, Fault};
use acaciaring_schema::settings::{Lease, Listen, Settings};

use super::line_of;

/// Violated rule, reported at the key that an operator would change.
pub(super) struct Violation {
    section: &'static str,
    key: &'static str,
    message: &'static str,
}

impl Violation {
    /// Returns the violation as a fault, with the line of its key.
    pub(super) fn fault(&self, file: &Name, fields: &[DocumentField]) -> Fault {
        Fault {
            document: Name::clone(file),
            line: line_of(fields, self.section, self.key),
            section: self.section.into(),
            key: self.key.into(),
            message: self.message.to_owned(),
        }
    }
}

/// Returns the rules that the settings violate.
pub(super) fn violations(settings: &Settings) -> Vec<Violation> {
    let lease = lease(&settings.lease).into_iter();
    lease.chain(listen(&settings.listen)).collect()
}

fn lease(lease: &Lease) -> Vec<Violation> {
    let rule = |holds: bool, key, message| {
        (!holds).then_some(Violation { section: "lease", key, message })
    };
    let needed = lease.interval + lease.resend + lease.margin;
    let rules = [
        rule(lease.resend <= lease.interval, "resend", "must be at most lease.interval"),
        // A shorter term lets one lost renewal end the lease, and callers get `no-lease` although
        // no process has failed.
        rule(needed < lease.term, "term", "must be above interval + resend + margin"),
        // A member would otherwise abandon its identity after a pause from which renewals recover.
        rule(lease.abandon >= lease.term * 2, "abandon", "must be at least twice lease.term"),
    ];
    rules.into_iter().flatten().collect()
}

fn listen(listen: &Listen) -> Vec<Violation> {
    let rule = |holds: bool, key, message| {
        (!holds).then_some(Violation { section: "listen", key, message })
    };
    let same = listen.http == listen.admin && listen.http.port() != 0;
    let specific = "must be a specific address, other members are told it";
    let peer_specific = listen.advertised.is_some() || !listen.peer.ip().is_unspecified();
    let advertised = listen.advertised.is_none_or(|address| !address.ip().is_unspecified());
    let rules = [
        rule(!same, "admin", "must differ from listen.http"),
        rule(!listen.http.ip().is_unspecified(), "http", specific),
        rule(peer_specific, "peer", "must be a specific address unless listen.advertised is set"),
        rule(advertised, "advertised", specific),
    ];
    rules.into_iter().flatten().collect()
}
