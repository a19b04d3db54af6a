//! Space-Saving sketch of the heaviest keys (Metwally et al., 2005).

use std::collections::HashMap;

use crate::id::{KeyHash, UnitId};

#[derive(Debug, Clone, Copy)]
struct Counter {
    unit: UnitId,
    key: KeyHash,
    count: f64,
    /// Part of the count that may be other keys'.
    error: f64,
    /// Position in the heap.
    place: usize,
}

/// Bounded set of counters; each key with more than 1 / bound of all weight has one.
#[derive(Debug)]
pub(super) struct Sketch {
    bound: usize,
    counters: Vec<Counter>,
    /// Indexes of counters, a heap with the smallest count on top.
    heap: Vec<usize>,
    keys: HashMap<KeyHash, usize>,
}

impl Sketch {
    pub(super) fn new(bound: usize) -> Self {
        let bound = bound.max(1);
        Self { bound, counters: Vec::new(), heap: Vec::new(), keys: HashMap::with_capacity(bound) }
    }

    pub(super) fn add(&mut self, unit: UnitId, key: KeyHash, weight: f64) {
        if let Some(index) = self.keys.get(&key).copied() {
            let counter = &mut self.counters[index];
            counter.count += weight;
            counter.unit = unit;
            let place = counter.place;
            self.sink(place);
        } else if self.counters.len() < self.bound {
            self.grow(Counter { unit, key, count: weight, error: 0.0, place: self.heap.len() });
        } else {
            self.replace(unit, key, weight);
        }
    }

    /// Returns unit, key and the count that is surely the key's.
    pub(super) fn counts(&self) -> impl Iterator<Item = (UnitId, KeyHash, f64)> {
        self.counters.iter().map(|c| (c.unit, c.key, c.count - c.error))
    }

    pub(super) fn scale(&mut self, factor: f64) {
        for counter in &mut self.counters {
            counter.count *= factor;
            counter.error *= factor;
        }
    }

    /// Forgets the keys of a unit.
    pub(super) fn forget(&mut self, unit: UnitId) {
        let kept: Vec<_> = self.counters.iter().filter(|c| c.unit != unit).copied().collect();
        self.counters.clear();
        self.heap.clear();
        self.keys.clear();
        for counter in kept {
            self.grow(Counter { place: self.heap.len(), ..counter });
        }
    }

    fn grow(&mut self, counter: Counter) {
        let index = self.counters.len();
        self.keys.insert(counter.key, index);
        self.heap.push(index);
        self.counters.push(counter);
        self.rise(index);
    }

    /// Gives the smallest counter to a new key, which may have had as much.
    fn replace(&mut self, unit: UnitId, key: KeyHash, weight: f64) {
        let index = self.heap[0];
        let counter = &mut self.counters[index];
        self.keys.remove(&counter.key);
        self.keys.insert(key, index);
        *counter =
            Counter { unit, key, count: counter.count + weight, error: counter.count, place: 0 };
        self.sink(0);
    }

    fn rise(&mut self, index: usize) {
        let mut place = self.counters[index].place;
        while place > 0 && self.count(place) < self.count((place - 1) / 2) {
            self.swap(place, (place - 1) / 2);
            place = (place - 1) / 2;
        }
    }

    fn sink(&mut self, mut place: usize) {
        loop {
            let children =
                [2 * place + 1, 2 * place + 2].into_iter().filter(|c| *c < self.heap.len());
            let least = children.min_by(|a, b| self.count(*a).total_cmp(&self.count(*b)));
            match least {
                Some(child) if self.count(child) < self.count(place) => {
                    self.swap(place, child);
                    place = child;
                }
                _ => return,
            }
        }
    }

    fn count(&self, place: usize) -> f64 {
        self.counters[self.heap[place]].count
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.counters[self.heap[a]].place = a;
        self.counters[self.heap[b]].place = b;
    }
}
