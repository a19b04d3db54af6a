//! Transport and resolver for `ureq` that track whether a request may have reached the upstream, and
//! that limit what arrives in place of an answer.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;

use ureq::Error;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

thread_local! {
    /// True once the call on this thread has written to its socket.
    ///
    /// `ureq` runs a whole call on the calling thread.
    static SENT: Cell<bool> = const { Cell::new(false) };

    /// Bytes that the call on this thread may still receive.
    static LEFT: Cell<u64> = const { Cell::new(0) };
}

/// Bytes of an answer that may arrive beyond the largest body: heads, trailers and framing.
const MAX_OVERHEAD_BYTES: u64 = 2 << 20;

/// Resets the tracking at the start of a call on this thread, with the largest body of its answer in
/// bytes.
pub(crate) fn begin(body: u64) {
    SENT.set(false);
    LEFT.set(body.saturating_add(MAX_OVERHEAD_BYTES));
}

/// Returns true if the call on this thread may have reached the upstream.
///
/// Errors of `ureq` do not show this: a timeout or reset may occur before or after the upstream has
/// read the request. The flag is set before the first write, so while it is unset nothing was sent.
pub(crate) fn has_sent() -> bool {
    SENT.get()
}

/// Connector that wraps each connection in a [`TrackedConnection`].
#[derive(Debug)]
pub(crate) struct TrackingConnector;

impl<In: Transport> Connector<In> for TrackingConnector {
    type Out = TrackedConnection<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(TrackedConnection))
    }
}

/// Connection that records on its thread that the call has sent data.
#[derive(Debug)]
pub(crate) struct TrackedConnection<T>(T);

impl<T: Transport> Transport for TrackedConnection<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        SENT.set(true);
        self.0.transmit_output(amount, timeout)
    }

    /// Guards against an answer without end: `ureq` reads informational responses and trailers until
    /// the timeout of the call.
    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let before = self.0.buffers().input().len();
        let progress = self.0.await_input(timeout)?;
        let received = self.0.buffers().input().len().saturating_sub(before) as u64;
        let Some(left) = LEFT.get().checked_sub(received) else {
            let cause = "the answer exceeds its largest size";
            return Err(io::Error::new(io::ErrorKind::InvalidData, cause).into());
        };
        LEFT.set(left);
        Ok(progress)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}

/// Resolver of numeric addresses.
///
/// The default resolver of `ureq` starts a thread for each call with a timeout.
#[derive(Debug)]
pub(crate) struct NumericResolver;

impl Resolver for NumericResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().map(ureq::http::uri::Authority::as_str);
        let address: Option<SocketAddr> = authority.and_then(|text| text.parse().ok());
        let invalid = || io::Error::new(io::ErrorKind::InvalidInput, "not a numeric address");
        let mut addresses = self.empty();
        addresses.push(address.ok_or_else(invalid)?);
        Ok(addresses)
    }
}
