//! Message handler that is set after the transport has started.

use std::net::SocketAddr;
use std::sync::OnceLock;

use acaciaring_schema::peer::{Answer, Datagram, Request, call, reply};

use crate::handler::PeerHandler;
use crate::peer::{BoxFuture, CancelFlag, Handler};

/// Handler that is set after the transport has started: each needs the other to be constructed.
#[derive(Default)]
pub(super) struct DeferredHandler(OnceLock<PeerHandler>);

impl DeferredHandler {
    /// Sets the handler.
    ///
    /// # Panics
    ///
    /// Panics if the handler is already set.
    pub(super) fn set(&self, handler: PeerHandler) {
        assert!(self.0.set(handler).is_ok(), "the handler is set once");
    }

    /// Blocks until the handler is set: a message may arrive before.
    fn get(&self) -> &PeerHandler {
        self.0.wait()
    }
}

impl Handler for DeferredHandler {
    fn datagram(&self, from: SocketAddr, datagram: Datagram) {
        if let Some(handler) = self.0.get() {
            handler.datagram(from, datagram);
        }
    }

    fn call(&self, call: call::Body) -> BoxFuture<'_, reply::Body> {
        self.get().call(call)
    }

    fn request<'a>(&'a self, request: Request, cancelled: &'a CancelFlag) -> BoxFuture<'a, Answer> {
        self.get().request(request, cancelled)
    }
}
