//! HTTP/1.1 on the threads for traffic: listeners whose callers may leave at any moment, and a
//! client that says whether a request has left this process.

mod client;
mod io;
mod server;

pub use self::client::{Client, ClientSettings, Exchange, ExchangeError, KeptOutcome};
pub use self::server::{Fault, HttpHandler, Response, Server, WebError, text};
