//! Asynchronous HTTP/1.1: a listener that cancels requests of closed connections, and a client that
//! reports whether a request may have been sent.

mod answer_id;
mod body;
mod client;
mod connections;
mod error;
mod held;
mod incomplete;
mod io;
mod read_limit;
mod server;
mod write_limit;

pub use self::answer_id::AnswerId;
pub use self::client::{Client, ClientSettings, Exchange};
pub use self::error::ExchangeError;
pub use self::held::HeldBytes;
pub(crate) use self::incomplete::IncompleteAnswers;
pub use self::server::{Fault, HttpHandler, Response, Server, ServerLimits, WebError, text};
pub use crate::body_memory::BodyMemory;
