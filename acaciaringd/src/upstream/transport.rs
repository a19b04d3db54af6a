//! Parts of `ureq` that tell whether a request can have reached the upstream.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;

use ureq::Error;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

thread_local! {
    /// True when the call that runs on this thread has given bytes to its socket.
    ///
    /// `ureq` runs a call on the thread that makes it, from connecting to the
    /// last byte of the answer.
    static SENT: Cell<bool> = const { Cell::new(false) };
}

/// Begins a call on this thread.
pub(crate) fn begin() {
    SENT.set(false);
}

/// Returns true when the call on this thread may have reached the upstream.
///
/// An error of `ureq` does not tell: the timeout of a call may pass while it
/// connects or while the upstream runs it, and a reset may come before or after
/// the request was read. The mark is set before the first write begins, so
/// without it nothing of the request has left this process.
pub(crate) fn has_sent() -> bool {
    SENT.get()
}

/// Wraps each connection, so that it marks the call when it sends.
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

/// Connection that marks the call when it sends.
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

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.0.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}

/// Resolver of addresses that are numbers.
///
/// The resolver of `ureq` starts a thread for each call that has a timeout.
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
