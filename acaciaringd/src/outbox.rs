//! Calls to other members on behalf of the control thread, which never waits for them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_schema::peer::{call, reply};
use tokio::sync::Semaphore;

use crate::peer::Transport;

/// Calls under way at once; more are dropped, and control repeats what it needs.
const MOST: usize = 4096;

/// What to do with the outcome of a call.
pub(crate) type Done = Box<dyn FnOnce(Option<reply::Body>) + Send>;

/// Sender of calls in the background.
#[derive(Clone)]
pub(crate) struct Outbox {
    transport: Transport,
    places: Arc<Semaphore>,
}

impl Outbox {
    /// Makes a sender over a transport.
    pub(crate) fn new(transport: &Transport) -> Self {
        Self { transport: transport.clone(), places: Arc::new(Semaphore::new(MOST)) }
    }

    /// Makes a call in the background; `done` gets the reply, or `None` after a failure.
    pub(crate) fn call(&self, to: SocketAddr, call: call::Body, timeout: Duration, done: Done) {
        let Ok(place) = Arc::clone(&self.places).try_acquire_owned() else {
            return done(None);
        };
        let transport = self.transport.clone();
        self.transport.runtime().spawn(async move {
            let reply = transport.call(to, call, timeout).await.ok();
            drop(place);
            done(reply);
        });
    }
}
