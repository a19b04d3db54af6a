//! Messages on a stream, each behind its length in four bytes.

use std::future::ready;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::{DecodeError, Message};
use quinn::{ConnectionError, ReadError, RecvStream, VarInt};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Bytes of the length in front of a message.
const PREFIX_BYTES: usize = size_of::<u32>();

/// Error codes of streams and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Code {
    /// Nothing is wrong.
    None = 0,
    /// A message does not decode.
    Malformed = 1,
    /// A message exceeds the limit.
    TooLarge = 2,
    /// Too many calls are waiting.
    Busy = 3,
    /// The sender has given the message up.
    Abandoned = 4,
    /// The process is stopping; what became of its peers' messages is unknown.
    Stopping = 5,
    /// The process is stopping; what it has answered has got there, and it has taken nothing else.
    Settled = 6,
}

impl From<Code> for VarInt {
    fn from(code: Code) -> Self {
        Self::from_u32(code as u32)
    }
}

/// Why no message was read from a stream.
#[derive(Debug, Snafu)]
pub(super) enum FrameError {
    #[snafu(display("message of {size} bytes exceeds the limit of {limit}"))]
    TooLarge { size: usize, limit: usize },
    #[snafu(display("message does not decode"))]
    Malformed { source: DecodeError },
    #[snafu(display("message has no content that is known"))]
    Unknown,
    #[snafu(display("stream ended within a message"))]
    Ended,
    #[snafu(display("stream broke off"))]
    Broken { source: ReadError },
}

impl FrameError {
    /// Returns the code with which a receiver answers a message that it cannot read.
    pub fn code(&self) -> Code {
        match self {
            Self::TooLarge { .. } => Code::TooLarge,
            Self::Malformed { .. } | Self::Unknown | Self::Ended => Code::Malformed,
            Self::Broken { .. } => Code::None,
        }
    }

    /// Returns the code when the peer refused the message, so that it surely had no effect.
    ///
    /// A peer that stops refuses with the end of the connection what it has not answered: an answer
    /// that has come is read before the end is seen.
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

/// Encodes a message behind its length; `None` when it exceeds `limit`.
pub(super) fn encode(message: &impl Message, limit: usize) -> Result<Bytes, usize> {
    let size = message.encoded_len();
    let length = u32::try_from(size).ok().filter(|_| size <= limit).ok_or(size)?;
    let mut frame = BytesMut::with_capacity(PREFIX_BYTES + size);
    frame.put_u32(length);
    message.encode_raw(&mut frame);
    Ok(frame.freeze())
}

/// Reads messages from a stream; a read that is dropped half way loses nothing.
pub(super) struct FrameReader {
    recv: RecvStream,
    buffer: BytesMut,
    limit: usize,
}

impl FrameReader {
    /// Returns a reader of messages of at most `limit` bytes.
    pub fn new(recv: RecvStream, limit: usize) -> Self {
        Self { recv, buffer: BytesMut::new(), limit }
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

    /// Takes notice of the end of the stream, if it came with the last message.
    ///
    /// A stream that is dropped before its end was read asks the peer to stop sending, which costs
    /// both ends a packet.
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

    /// Tells the peer to stop sending.
    pub fn stop(&mut self, code: Code) {
        // Fails only when the stream is already over.
        let _ = self.recv.stop(code.into());
    }

    /// Takes a whole message off the buffer.
    fn split(&mut self) -> Result<Option<BytesMut>, FrameError> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let size = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
        ensure!(size <= self.limit, TooLargeSnafu { size, limit: self.limit });
        if self.buffer.len() < PREFIX_BYTES + size {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        Ok(Some(self.buffer.split_to(size)))
    }
}
