//! Random numbers from a fixed seed (SplitMix64).

use std::sync::atomic::{AtomicU64, Ordering};

pub struct Rng(AtomicU64);

impl Rng {
    pub const fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        let mut z = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ z >> 31
    }

    /// Returns true with a probability.
    pub fn chance(&self, share: f64) -> bool {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64 <= share
    }

    pub fn below(&self, end: u64) -> u64 {
        self.next() % end
    }
}
