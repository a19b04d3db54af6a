//! Framing of messages on a stream: each is preceded by its length as a big-endian `u32`.

use std::future::ready;
use std::mem;

use acaciaring_schema::peer::Request;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::encoding::{WireType, encode_key, encode_varint, encoded_len_varint, key_len};
use prost::{DecodeError, Message};
use quinn::{ConnectionError, ReadError, RecvStream, VarInt};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::body_memory::{BodyMemory, Charge};
use crate::clock;

/// Length of the prefix that holds the length of a message.
const PREFIX_BYTES: usize = size_of::<u32>();

/// Number of the field of `Call` that holds a request, and of the body in a request.
const REQUEST_FIELD: u32 = 1;
const BODY_FIELD: u32 = 9;

/// Size from which a message counts as memory of request bodies, in bytes.
const MIN_CHARGED: usize = 16 << 10;

/// Error codes of streams and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Code {
    /// No error.
    None = 0,
    /// A message could not be decoded.
    Malformed = 1,
    /// A message exceeds the limit.
    TooLarge = 2,
    /// The process takes no more messages.
    Busy = 3,
    /// The sender has abandoned the message.
    Abandoned = 4,
    /// The process is stopping; unanswered messages may have had an effect.
    Stopping = 5,
    /// The process is stopping; all its answers were delivered and unanswered messages did not run.
    Settled = 6,
    /// The peer uses the connection for no message, sent or being answered.
    Unused = 7,
}

impl From<Code> for VarInt {
    fn from(code: Code) -> Self {
        Self::from_u32(code as u32)
    }
}

/// Failure to read a message from a stream.
#[derive(Debug, Snafu)]
pub(super) enum FrameError {
    #[snafu(display("message of {size} bytes exceeds the limit of {limit}"))]
    TooLarge { size: usize, limit: usize },
    #[snafu(display("message could not be decoded"))]
    Malformed { source: DecodeError },
    #[snafu(display("message has an unknown body"))]
    Unknown,
    #[snafu(display("stream ended within a message"))]
    Ended,
    #[snafu(display("no memory for a message of {size} bytes"))]
    NoRoom { size: usize },
    #[snafu(display("stream was reset or its connection lost"))]
    Broken { source: ReadError },
}

impl FrameError {
    /// Returns the code with which a receiver answers a message that it cannot read.
    pub fn code(&self) -> Code {
        match self {
            Self::TooLarge { .. } => Code::TooLarge,
            Self::Malformed { .. } | Self::Unknown | Self::Ended => Code::Malformed,
            Self::NoRoom { .. } => Code::Busy,
            Self::Broken { .. } => Code::None,
        }
    }

    /// Returns the error code if the peer refused the message, which then had no effect.
    ///
    /// A peer that stops with [`Code::Settled`] thereby refuses all messages without an answer; an
    /// answer that has arrived is read before the close is seen.
    pub fn refusal(&self) -> Option<u64> {
        let Self::Broken { source } = self else {
            return None;
        };
        let (code, refusals): (_, &[Code]) = match source {
            ReadError::Reset(code) => (*code, &[Code::Malformed, Code::TooLarge, Code::Busy]),
            ReadError::ConnectionLost(ConnectionError::ApplicationClosed(close)) => {
                (close.error_code, &[Code::Settled])
            }
            _ => return None,
        };
        refusals.iter().any(|&refusal| code == refusal.into()).then(|| code.into_inner())
    }
}

/// Encodes a message with its length prefix; the error is the size of one that exceeds `limit`.
pub(super) fn encode(message: &impl Message, limit: usize) -> Result<Bytes, usize> {
    let size = message.encoded_len();
    let length = u32::try_from(size).ok().filter(|_| size <= limit).ok_or(size)?;
    let mut frame = BytesMut::with_capacity(PREFIX_BYTES + size);
    frame.put_u32(length);
    message.encode_raw(&mut frame);
    Ok(frame.freeze())
}

/// Encodes a request as a call, like [`encode`], in parts of which the last one is its body.
///
/// The body is not copied, however often it is sent.
pub(super) fn encode_request(mut request: Request, limit: usize) -> Result<Vec<Bytes>, usize> {
    let body = mem::take(&mut request.body);
    let body_prefix = key_len(BODY_FIELD) + encoded_len_varint(body.len() as u64);
    let request_size = request.encoded_len() + body_prefix + body.len();
    let size = key_len(REQUEST_FIELD) + encoded_len_varint(request_size as u64) + request_size;
    let length = u32::try_from(size).ok().filter(|_| size <= limit).ok_or(size)?;
    let mut head = BytesMut::with_capacity(PREFIX_BYTES + size - body.len());
    head.put_u32(length);
    encode_key(REQUEST_FIELD, WireType::LengthDelimited, &mut head);
    encode_varint(request_size as u64, &mut head);
    request.encode_raw(&mut head);
    encode_key(BODY_FIELD, WireType::LengthDelimited, &mut head);
    encode_varint(body.len() as u64, &mut head);
    let parts = [head.freeze(), body];
    Ok(parts.into_iter().filter(|part| !part.is_empty()).collect())
}

/// Reads messages from a stream; reads are cancel safe.
pub(super) struct FrameReader {
    recv: RecvStream,
    buffer: BytesMut,
    /// Limit on the memory of requests, for the reader of calls.
    bodies: Option<BodyMemory>,
    /// Memory of the request that is being read.
    charge: Option<Charge>,
    limit: usize,
    /// Length of the last message, in bytes.
    length: usize,
}

impl FrameReader {
    /// Creates a reader of messages of at most `limit` bytes.
    pub fn new(recv: RecvStream, limit: usize) -> Self {
        let buffer = BytesMut::new();
        Self { recv, buffer, bodies: None, charge: None, limit, length: 0 }
    }

    /// Counts the memory of requests, and refuses those for which there is no room.
    pub fn limited(self, bodies: BodyMemory) -> Self {
        Self { bodies: Some(bodies), ..self }
    }

    /// Reads the next message.
    pub async fn next<M: Message + Default>(&mut self) -> Result<M, FrameError> {
        loop {
            if let Some(frame) = self.split()? {
                self.consume_end().await;
                return M::decode(frame).context(MalformedSnafu);
            }
            let chunk = self.recv.read_chunk(PREFIX_BYTES + self.limit, true).await;
            let chunk = chunk.context(BrokenSnafu)?.context(EndedSnafu)?;
            self.buffer.extend_from_slice(&chunk.bytes);
        }
    }

    /// Reads the end of the stream, if it arrived with the last message.
    ///
    /// A stream that is dropped before its end was read sends `STOP_SENDING`, which costs both ends
    /// a packet.
    async fn consume_end(&mut self) {
        if !self.buffer.is_empty() {
            return;
        }
        let read = self.recv.read_chunk(PREFIX_BYTES + self.limit, true);
        tokio::select! {
            biased;
            Ok(Some(chunk)) = read => self.buffer.extend_from_slice(&chunk.bytes),
            () = ready(()) => {}
        }
    }

    /// Returns the length of the last message, in bytes.
    pub const fn length(&self) -> usize {
        self.length
    }

    /// Asks the peer to stop sending.
    pub fn stop(&mut self, code: Code) {
        // Fails only if the stream has already ended.
        let _ = self.recv.stop(code.into());
    }

    /// Removes the next complete message from the buffer.
    fn split(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let size = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
        ensure!(size <= self.limit, TooLargeSnafu { size, limit: self.limit });
        if self.buffer.len() < PREFIX_BYTES + size {
            ensure!(self.reserve(size), NoRoomSnafu { size });
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        self.length = size;
        let frame = self.buffer.split_to(size).freeze();
        Ok(Some(match self.charge.take() {
            Some(charge) => charge.hold(frame),
            None => frame,
        }))
    }

    /// Takes memory for a message of which a part has arrived; returns false if there is no room.
    ///
    /// Messages other than requests, on which other members depend, are not limited.
    fn reserve(&mut self, size: usize) -> bool {
        let Some(bodies) = self.bodies.as_ref().filter(|_| size >= MIN_CHARGED) else {
            return true;
        };
        let Some(&kind) = self.buffer.get(PREFIX_BYTES) else { return true };
        if self.charge.is_some() || u32::from(kind >> 3) != REQUEST_FIELD {
            return true;
        }
        self.charge = bodies.take(clock::now(), size);
        if self.charge.is_some() {
            self.buffer.reserve(PREFIX_BYTES + size - self.buffer.len());
        }
        self.charge.is_some()
    }
}
