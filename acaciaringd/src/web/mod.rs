//! Asynchronous HTTP/1.1: a listener that cancels requests of closed connections, and a client that
//! reports whether a request may have been sent.

mod answer_id;
mod client;
mod held;
mod io;
mod server;
mod write_limit;

pub use self::answer_id::AnswerId;
pub use self::client::{Client, ClientSettings, Exchange, ExchangeError};
pub use self::held::HeldBytes;
pub use self::server::{Fault, HttpHandler, Response, Server, WebError, text};
