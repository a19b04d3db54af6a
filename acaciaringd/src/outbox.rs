//! Calls to other members in the background, so that the control thread never blocks on them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_schema::peer::{call, reply};
use tokio::sync::Semaphore;

use crate::peer::Transport;

/// Maximum number of concurrent calls; further ones fail, and the control thread retries them.
const MAX_CALLS: usize = 4096;

/// Callback for the reply to a call, `None` after a failure.
pub(crate) type OnReply = Box<dyn FnOnce(Option<reply::Body>) + Send>;

/// Sender of background calls.
#[derive(Clone)]
pub(crate) struct Outbox {
    transport: Transport,
    permits: Arc<Semaphore>,
}

impl Outbox {
    /// Creates a sender over a transport.
    pub(crate) fn new(transport: &Transport) -> Self {
        Self { transport: transport.clone(), permits: Arc::new(Semaphore::new(MAX_CALLS)) }
    }

    /// Makes a call in the background; `on_reply` gets the reply, or `None` after a failure.
    pub(crate) fn call(
        &self,
        to: SocketAddr,
        call: call::Body,
        timeout: Duration,
        on_reply: OnReply,
    ) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            return on_reply(None);
        };
        let transport = self.transport.clone();
        self.transport.runtime().spawn(async move {
            let reply = transport.call(to, call, timeout).await.ok();
            drop(permit);
            on_reply(reply);
        });
    }
}
