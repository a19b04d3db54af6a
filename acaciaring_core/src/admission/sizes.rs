//! Smoothed sizes of large answers.

use std::collections::HashMap;

use super::service::Smoothed;
use crate::id::Name;

/// Expected size of a class's answer before the first one, in bytes.
const FIRST_SIZE: u64 = 64 << 10;

/// Maximum number of classes with an estimate.
const MAX_CLASSES: usize = 64;

/// Estimates of the answer sizes of classes, by workspace and class.
#[derive(Debug, Default)]
pub struct AnswerSizes {
    classes: HashMap<(Name, Name), ClassSize>,
    /// Number of answers recorded so far.
    samples: u64,
}

#[derive(Debug)]
struct ClassSize {
    size: Smoothed,
    /// Value of `samples` at the last answer of the class.
    latest: u64,
}

impl AnswerSizes {
    /// Returns the expected size of an answer in bytes, the smoothed mean.
    ///
    /// The sizes of several answers are added up, so their deviations mostly cancel out.
    #[must_use]
    pub fn expected(&self, workspace: &Name, class: &Name) -> u64 {
        let key = (Name::clone(workspace), Name::clone(class));
        self.classes.get(&key).map_or(FIRST_SIZE, |class| bytes(class.size.mean))
    }

    /// Records the size of an answer in bytes.
    ///
    /// With too many classes, the one whose last answer is the oldest is forgotten.
    pub fn record(&mut self, workspace: &Name, class: &Name, size: u64) {
        self.samples += 1;
        let latest = self.samples;
        let key = (Name::clone(workspace), Name::clone(class));
        let value = f64::from(u32::try_from(size).unwrap_or(u32::MAX));
        if !self.classes.contains_key(&key) && self.classes.len() >= MAX_CLASSES {
            let oldest = self.classes.iter().min_by_key(|(_, class)| class.latest);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.classes.remove(&oldest);
            }
        }
        let first = || ClassSize { size: Smoothed::first(value), latest };
        let class = self.classes.entry(key).or_insert_with(first);
        class.size.sample(value);
        class.latest = latest;
    }
}

/// Converts an estimate to bytes, at least one: zero stands for an answer that is not large.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "it saturates, and is not negative"
)]
fn bytes(estimate: f64) -> u64 {
    estimate.max(1.0) as u64
}
