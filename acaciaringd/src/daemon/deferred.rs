//! Handler of the transport, set after it has started.

use std::net::SocketAddr;
use std::sync::OnceLock;

use acaciaring_schema::peer::{Answer, Datagram, Request, call, reply};

use crate::handler::PeerHandler;
use crate::peer::{BoxFuture, CancelFlag, Handler};

/// Handler that is set after the transport has started, for they need each other.
#[derive(Default)]
pub(super) struct DeferredHandler(OnceLock<PeerHandler>);

impl DeferredHandler {
    /// Sets the handler, once.
    pub(super) fn set(&self, handler: PeerHandler) {
        assert!(self.0.set(handler).is_ok(), "the handler is set once");
    }

    /// Waits for the handler: a message may come in the moment between the two starts.
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
