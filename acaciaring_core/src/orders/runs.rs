//! Runs of adjacent segments that one order can cover.

use super::segment::{Segment, Segments};
use crate::id::{Name, Token};
use crate::time::Time;

/// Adjacent segments for one order.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) first: u32,
    pub(super) last: u32,
    pub(super) token: Token,
    pub(super) handover: Name,
    isolated: bool,
    /// When the first of its segments is due.
    due: Time,
}

impl Run {
    /// Appends `next` if it is adjacent and alike; returns whether it did.
    fn extend(&mut self, next: &Self) -> bool {
        let fits = self.last + 1 == next.first
            && self.token == next.token
            && self.handover == next.handover
            && !self.isolated
            && !next.isolated;
        if fits {
            self.last = next.last;
            self.due = self.due.min(next.due);
        }
        fits
    }
}

/// Returns at most `room` grants that are due, the most urgent first.
pub(super) fn grants(now: Time, segments: &Segments, room: usize) -> Vec<Run> {
    let fits = segments.ordered().filter(|(_, segment)| segment.is_grantable(now));
    let mut runs = join(fits.map(|(first, segment)| {
        // The upstream needs the handover value only with the first grant.
        let handover =
            if segment.is_new() { Name::clone(&segment.handover) } else { Name::from("") };
        run(first, segment, handover, segment.renewal())
    }));
    runs.retain(|run| run.due <= now);
    runs.sort_by_key(|run| run.due);
    runs.truncate(room);
    runs
}

/// Returns at most `room` releases that are due.
pub(super) fn releases(
    now: Time,
    segments: &Segments,
    idle: impl Fn(u32, u32) -> bool,
    room: usize,
) -> Vec<Run> {
    if room == 0 {
        return Vec::new();
    }
    let fits = segments.ordered().filter(|(_, segment)| segment.is_releasable(now));
    let fits = fits.filter(|(first, segment)| idle(*first, segment.last));
    let mut runs = join(fits.map(|(first, segment)| run(first, segment, Name::from(""), now)));
    runs.truncate(room);
    runs
}

fn run(first: u32, segment: &Segment, handover: Name, due: Time) -> Run {
    let Segment { last, token, isolated, .. } = *segment;
    Run { first, last, token, handover, isolated, due }
}

fn join(segments: impl Iterator<Item = Run>) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    for next in segments {
        if !runs.last_mut().is_some_and(|last| last.extend(&next)) {
            runs.push(next);
        }
    }
    runs
}
