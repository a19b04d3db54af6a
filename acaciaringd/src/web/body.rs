//! Reads request bodies, within limits on each and on the memory of all.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::server::Fault;
use crate::body_memory::{BodyMemory, Charge};
use crate::clock;
use crate::declared::CallerLimits;

/// Timeout for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory that a body takes however short it is: the read buffer that its first part refers to.
const MIN_COST: usize = 16 << 10;

/// Bytes of a body that count as progress; a body of a byte now and then makes none.
const PROGRESS_BYTES: usize = 16 << 10;

/// Reads a complete body.
pub(super) async fn read(
    body: Incoming,
    limits: CallerLimits,
    memory: &BodyMemory,
) -> Result<Bytes, Fault> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let size = body.size_hint();
    if size.lower() > limits.body as u64 || size.lower() > memory.largest() {
        return Err(Fault::TooLarge);
    }
    let stated = size.exact().and_then(|size| usize::try_from(size).ok());
    let (charge, removed) = memory.begin(clock::now(), limits.arrival);
    let mut collector = Collector::new(charge, limits.body, stated.unwrap_or(limits.body))?;
    tokio::select! {
        biased;
        collected = timeout(BODY_TIMEOUT, collector.collect(body)) => {
            collected.unwrap_or(Err(Fault::Slow))?;
        }
        _ = removed => return Err(Fault::NoRoom),
    }
    collector.finish().ok_or(Fault::NoRoom)
}

/// Collects the parts of a body; a body in a single part is not copied.
struct Collector {
    charge: Charge,
    /// Maximum size.
    limit: usize,
    /// Size for which memory is taken at most.
    expected: usize,
    first: Bytes,
    buffer: Vec<u8>,
    /// Bytes of which memory was taken.
    charged: usize,
    /// Bytes received at the last progress.
    progress: usize,
}

impl Collector {
    fn new(charge: Charge, limit: usize, expected: usize) -> Result<Self, Fault> {
        let (first, buffer) = (Bytes::new(), Vec::new());
        let mut collector =
            Self { charge, limit, expected, first, buffer, charged: 0, progress: 0 };
        collector.take(MIN_COST)?;
        Ok(collector)
    }

    async fn collect(&mut self, mut body: Incoming) -> Result<(), Fault> {
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_| Fault::Malformed)?.into_data() {
                self.add(data)?;
            }
        }
        Ok(())
    }

    fn add(&mut self, data: Bytes) -> Result<(), Fault> {
        let received = self.first.len() + self.buffer.len() + data.len();
        if received > self.limit {
            return Err(Fault::TooLarge);
        }
        if received - self.progress >= PROGRESS_BYTES {
            self.progress = received;
            self.charge.progressed(clock::now());
        }
        if received == data.len() {
            self.first = data;
            return Ok(());
        }
        self.reserve(received)?;
        self.buffer.extend_from_slice(&std::mem::take(&mut self.first));
        self.buffer.extend_from_slice(&data);
        Ok(())
    }

    /// Makes room for a body of `size` bytes; the buffer at least doubles, up to the expected size.
    fn reserve(&mut self, size: usize) -> Result<(), Fault> {
        if size <= self.buffer.capacity() {
            return Ok(());
        }
        let capacity = (self.buffer.capacity() * 2).min(self.expected).max(size).max(MIN_COST);
        self.take(MIN_COST + capacity)?;
        self.buffer.reserve_exact(capacity - self.buffer.len());
        Ok(())
    }

    /// Takes memory up to a total.
    fn take(&mut self, total: usize) -> Result<(), Fault> {
        let more = total.saturating_sub(self.charged);
        self.charged += more;
        if self.charge.grow(clock::now(), more) { Ok(()) } else { Err(Fault::NoRoom) }
    }

    fn finish(self) -> Option<Bytes> {
        let body = if self.buffer.is_empty() { self.first } else { Bytes::from(self.buffer) };
        self.charge.complete(body)
    }
}
