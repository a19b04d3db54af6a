//! Trace context of a request, by the W3C recommendation "Trace Context", level 1.

use std::fmt::{self, Display, Formatter};

/// Name of the header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Length of a header value of version 00.
const LENGTH: usize = 55;

/// Version that is written.
const VERSION: u8 = 0;

/// Flag that the caller records this trace.
const SAMPLED: u8 = 1;

/// Identity of a trace and of one span in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TraceContext {
    /// Identity of the whole trace, the same on all hops.
    pub trace: [u8; 16],
    /// Identity of the span of one hop.
    pub span: [u8; 8],
    /// Flags as the caller sent them.
    pub flags: u8,
}

impl TraceContext {
    /// Returns the context of a new trace with random identities.
    #[must_use]
    pub fn new() -> Self {
        // An identity of zeros is invalid, so the lowest bit is always set.
        let trace = (rand::random::<u128>() | 1).to_be_bytes();
        Self { trace, span: random_span(), flags: SAMPLED }
    }

    /// Parses a header value, `None` if it is invalid.
    ///
    /// A later version is parsed as far as version 00 defines it, as the recommendation requires.
    #[must_use]
    pub fn parse(value: &str) -> Option<Self> {
        let bytes = value.as_bytes();
        if bytes.len() < LENGTH {
            return None;
        }
        let [version] = decode(&bytes[..2])?;
        let longer = bytes.len() > LENGTH;
        let extended = longer && version != VERSION && bytes[LENGTH] == b'-';
        if version == u8::MAX || (longer && !extended) {
            return None;
        }
        let dashes = [2, 35, 52];
        if dashes.iter().any(|&at| bytes[at] != b'-') {
            return None;
        }
        let trace = decode(&bytes[3..35])?;
        let span = decode(&bytes[36..52])?;
        let [flags] = decode(&bytes[53..55])?;
        let valid = trace != [0; 16] && span != [0; 8];
        valid.then_some(Self { trace, span, flags })
    }

    /// Continues the trace of a header value, or starts a new one if it is missing or invalid.
    #[must_use]
    pub fn receive(value: Option<&str>) -> Self {
        value.and_then(Self::parse).map_or_else(Self::new, |context| context.child())
    }

    /// Returns the context of the next hop: the same trace, a new span.
    #[must_use]
    pub fn child(&self) -> Self {
        Self { span: random_span(), ..*self }
    }

    /// Returns the trace identity for logs, 32 hex digits.
    #[must_use]
    pub const fn trace_id(&self) -> Hex<'_> {
        Hex(&self.trace)
    }

    /// Returns the span identity for logs, 16 hex digits.
    #[must_use]
    pub const fn span_id(&self) -> Hex<'_> {
        Hex(&self.span)
    }
}

impl Default for TraceContext {
    fn default() -> Self {
        Self::new()
    }
}

impl Display for TraceContext {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{VERSION:02x}-{}-{}-{:02x}", self.trace_id(), self.span_id(), self.flags)
    }
}

/// Displays bytes as lower-case hex digits.
#[derive(Debug, Clone, Copy)]
pub struct Hex<'a>(pub &'a [u8]);

impl Display for Hex<'_> {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
    }
}

fn random_span() -> [u8; 8] {
    (rand::random::<u64>() | 1).to_be_bytes()
}

/// Decodes lower-case hex digits; upper case is not valid in this header.
fn decode<const N: usize>(digits: &[u8]) -> Option<[u8; N]> {
    let mut bytes = [0; N];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = digit(pair[0])? << 4 | digit(pair[1])?;
    }
    Some(bytes)
}

const fn digit(char: u8) -> Option<u8> {
    match char {
        b'0'..=b'9' => Some(char - b'0'),
        b'a'..=b'f' => Some(char - b'a' + 10),
        _ => None,
    }
}
