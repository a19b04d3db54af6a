//! Incarnations of upstreams that have left.
//!
//! Guards against a delayed heartbeat to a restarted process, which knows nothing of what the
//! process before it has acknowledged: the upstream would be attached again and get requests.

use std::collections::VecDeque;

use acaciaring_schema::log;

use super::{Rejection, State};
use crate::holds::Incarnation;
use crate::id::Name;

/// Maximum number of departures kept; a heartbeat is delayed by seconds at most.
pub const DEPARTURES_MAX: usize = 512;

/// Incarnation of the upstream on a VM that has announced that it leaves, which is final.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Departure {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation that leaves.
    pub incarnation: Incarnation,
}

impl Departure {
    /// Converts a `Depart` record.
    #[must_use]
    pub fn from_record(depart: &log::Depart) -> Self {
        let instance = depart.instance.as_str().into();
        let incarnation = Incarnation { instance, generation: depart.born };
        Self { vm: depart.vm.as_str().into(), incarnation }
    }

    /// Returns the departure as a `Depart` record.
    #[must_use]
    pub fn to_record(&self) -> log::Depart {
        let Self { vm, incarnation } = self;
        let (vm, instance) = (vm.to_string(), incarnation.instance.to_string());
        log::Depart { vm, instance, born: incarnation.generation }
    }
}

/// Last departures, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Departures(VecDeque<Departure>);

impl Departures {
    /// Adds a departure; removes the oldest one beyond the maximum.
    pub(super) fn insert(&mut self, departure: Departure) {
        self.0.push_back(departure);
        if self.0.len() > DEPARTURES_MAX {
            self.0.pop_front();
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Departure> {
        self.0.iter()
    }

    fn of_vm(&self, vm: &str) -> impl Iterator<Item = &Incarnation> {
        let departures = self.iter().filter(move |departure| *departure.vm == *vm);
        departures.map(|departure| &departure.incarnation)
    }

    /// Returns true for an incarnation that has left, or that a departed one has replaced.
    pub(super) fn include(&self, vm: &str, incarnation: &Incarnation) -> bool {
        self.of_vm(vm).any(|departed| departed.ends(incarnation))
    }
}

impl State {
    /// Returns the incarnations of upstreams on a VM that have left, oldest first.
    pub fn departures(&self, vm: &str) -> impl Iterator<Item = &Incarnation> {
        self.departures.of_vm(vm)
    }

    /// Returns true for an incarnation of the upstream on a VM that has left, or that a departed one
    /// under its name has replaced.
    #[must_use]
    pub fn has_departed(&self, vm: &str, incarnation: &Incarnation) -> bool {
        self.departures.include(vm, incarnation)
    }

    pub(super) fn depart(&mut self, depart: &log::Depart) -> Result<(), Rejection> {
        let departure = Departure::from_record(depart);
        let Departure { vm, incarnation } = &departure;
        if vm.is_empty() || incarnation.instance.is_empty() || self.has_departed(vm, incarnation) {
            return Err(Rejection::Departed { instance: Name::clone(&incarnation.instance) });
        }
        self.departures.insert(departure);
        Ok(())
    }
}
