//! Delivery of large answers, which wait for a permit of the link.

use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use quinn::{SendStream, WriteError};

use acaciaring_schema::peer::{Answer, Request};

use crate::clock;
use crate::egress;
use crate::peer::cancel::CancelFlag;
use crate::peer::frame::Code;
use crate::peer::inflight::{InflightGuard, Stage};
use crate::peer::serve::reset;
use crate::peer::table::Delivery;
use crate::peer::transport::Shared;

/// Returns how the answer of a request that has just arrived is delivered; `None` for a request of a
/// class without large answers.
pub(super) fn expected(request: &Request) -> Option<Delivery> {
    if !request.large {
        return None;
    }
    let now = clock::now();
    let after = |millis: u32| now + Duration::from_millis(millis.into());
    let aim = (request.aim > 0).then(|| after(request.aim));
    let [left, fetched] = [CancelFlag::default(), CancelFlag::default()];
    Some(Delivery { aim, expiry: after(request.left), left, fetched })
}

/// Returns the delivery of an answer that needs a permit.
pub(super) fn needed(delivery: Option<Delivery>, answer: &Answer) -> Option<Delivery> {
    delivery.filter(|_| egress::is_large(&answer.body))
}

/// End of a delivery on one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivered {
    /// The peer has acknowledged the whole answer.
    Acknowledged,
    /// The sender waits no longer on this stream; it may fetch the answer on another one.
    Left,
    /// The connection ended first.
    Lost,
}

/// Writes an answer once it has a permit, and waits until the peer has acknowledged it.
///
/// An answer whose sender has left is not written. The permit ends with the delivery: the sender of
/// an answer that is written to a silent connection may have fetched it on another one.
pub(super) async fn write(
    shared: &Shared,
    send: &mut SendStream,
    frame: Bytes,
    delivery: &Delivery,
    guard: &InflightGuard,
) -> Delivered {
    let size = u64::try_from(frame.len()).unwrap_or(u64::MAX);
    guard.set_stage(Instant::now(), Stage::Queued);
    let stopped = send.stopped();
    let permit = tokio::select! {
        biased;
        stopped = stopped => return if stopped.is_ok() { Delivered::Left } else { Delivered::Lost },
        () = delivery.ended() => {
            reset(send, Code::Abandoned);
            return Delivered::Left;
        }
        permit = shared.egress.cross(size, delivery.aim, delivery.expiry) => permit,
    };
    guard.set_stage(Instant::now(), Stage::Answering);
    let mut written = pin!(write_acknowledged(send, frame));
    tokio::select! {
        biased;
        written = &mut written => return written,
        () = delivery.ended() => drop(permit),
    }
    written.await
}

/// Writes the only message of a stream and waits until the peer has acknowledged it.
async fn write_acknowledged(send: &mut SendStream, frame: Bytes) -> Delivered {
    match send.write_chunk(frame).await {
        Ok(()) => {
            let _ = send.finish();
            match send.stopped().await {
                Ok(None) => Delivered::Acknowledged,
                Ok(Some(_)) => Delivered::Left,
                Err(_) => Delivered::Lost,
            }
        }
        Err(WriteError::ConnectionLost(_)) => Delivered::Lost,
        Err(_) => Delivered::Left,
    }
}
