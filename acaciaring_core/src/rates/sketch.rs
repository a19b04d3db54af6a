//! Space-Saving sketch of the most frequent keys (Metwally et al., 2005).

use std::collections::HashMap;

use crate::id::{KeyHash, UnitId};

#[derive(Debug, Clone, Copy)]
struct Counter {
    unit: UnitId,
    key: KeyHash,
    count: f64,
    /// Part of the count that may belong to other keys.
    error: f64,
    /// Position in the heap.
    position: usize,
}

/// Bounded set of counters; each key with more than 1 / capacity of the total weight has one.
#[derive(Debug)]
pub(super) struct Sketch {
    capacity: usize,
    counters: Vec<Counter>,
    /// Indexes of counters, as a min-heap by count.
    heap: Vec<usize>,
    keys: HashMap<KeyHash, usize>,
}

impl Sketch {
    pub(super) fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self {
            capacity,
            counters: Vec::new(),
            heap: Vec::new(),
            keys: HashMap::with_capacity(capacity),
        }
    }

    pub(super) fn add(&mut self, unit: UnitId, key: KeyHash, weight: f64) {
        if let Some(index) = self.keys.get(&key).copied() {
            let counter = &mut self.counters[index];
            counter.count += weight;
            counter.unit = unit;
            let position = counter.position;
            self.sift_down(position);
        } else if self.counters.len() < self.capacity {
            self.insert(Counter {
                unit,
                key,
                count: weight,
                error: 0.0,
                position: self.heap.len(),
            });
        } else {
            self.replace(unit, key, weight);
        }
    }

    /// Returns unit, key and lower bound of the count of each counter.
    pub(super) fn counts(&self) -> impl Iterator<Item = (UnitId, KeyHash, f64)> {
        self.counters.iter().map(|c| (c.unit, c.key, c.count - c.error))
    }

    pub(super) fn scale(&mut self, factor: f64) {
        for counter in &mut self.counters {
            counter.count *= factor;
            counter.error *= factor;
        }
    }

    /// Drops the keys of a unit.
    pub(super) fn forget(&mut self, unit: UnitId) {
        let kept: Vec<_> = self.counters.iter().filter(|c| c.unit != unit).copied().collect();
        self.counters.clear();
        self.heap.clear();
        self.keys.clear();
        for counter in kept {
            self.insert(Counter { position: self.heap.len(), ..counter });
        }
    }

    fn insert(&mut self, counter: Counter) {
        let index = self.counters.len();
        self.keys.insert(counter.key, index);
        self.heap.push(index);
        self.counters.push(counter);
        self.sift_up(index);
    }

    /// Reassigns the smallest counter to a new key; the old count becomes its error.
    fn replace(&mut self, unit: UnitId, key: KeyHash, weight: f64) {
        let index = self.heap[0];
        let counter = &mut self.counters[index];
        self.keys.remove(&counter.key);
        self.keys.insert(key, index);
        *counter =
            Counter { unit, key, count: counter.count + weight, error: counter.count, position: 0 };
        self.sift_down(0);
    }

    fn sift_up(&mut self, index: usize) {
        let mut position = self.counters[index].position;
        while position > 0 && self.count(position) < self.count((position - 1) / 2) {
            self.swap(position, (position - 1) / 2);
            position = (position - 1) / 2;
        }
    }

    fn sift_down(&mut self, mut position: usize) {
        loop {
            let children =
                [2 * position + 1, 2 * position + 2].into_iter().filter(|c| *c < self.heap.len());
            let smallest = children.min_by(|a, b| self.count(*a).total_cmp(&self.count(*b)));
            match smallest {
                Some(child) if self.count(child) < self.count(position) => {
                    self.swap(position, child);
                    position = child;
                }
                _ => return,
            }
        }
    }

    fn count(&self, position: usize) -> f64 {
        self.counters[self.heap[position]].count
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.counters[self.heap[a]].position = a;
        self.counters[self.heap[b]].position = b;
    }
}
