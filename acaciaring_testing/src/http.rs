//! HTTP server of a stand-in: `tiny_http` behind a link that limits and drops connections.

use std::collections::HashMap;
use std::io::{Cursor, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tiny_http::{Header, Request, Response, Server};

use crate::error::{Error, JsonSnafu, Result};
use crate::link::{Balancer, LOOPBACK, Link, LinkOptions};

/// Response with its body in memory.
pub(crate) type Reply = Response<Cursor<Vec<u8>>>;

/// Maximum number of connections per `tiny_http` server.
///
/// Guards against requests that stay unread for seconds: `tiny_http` may assign a new connection to
/// a thread that has just been given another one, and the connection then waits for a free thread.
/// Each server keeps four threads, so with fewer connections none waits.
const SERVER_LIMIT: usize = 3;

/// Interval at which a thread that waits for a request checks whether the server has stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) struct Http {
    servers: Arc<Servers>,
    link: Link,
    requests: Receiver<Request>,
    stopped: AtomicBool,
}

/// Pool of `tiny_http` servers that grows with the number of connections.
struct Servers {
    list: Mutex<Vec<Arc<Server>>>,
    requests: Sender<Request>,
}

impl Servers {
    /// Returns the address of a server with spare capacity, starting one if necessary.
    fn choose(&self, counts: &HashMap<SocketAddr, usize>) -> Option<SocketAddr> {
        let mut list = self.list.lock();
        let addresses = list.iter().filter_map(|server| server.server_addr().to_ip());
        let free =
            |address: &SocketAddr| counts.get(address).is_none_or(|count| *count < SERVER_LIMIT);
        if let Some(address) = addresses.into_iter().find(free) {
            return Some(address);
        }
        let server = Arc::new(Server::http(LOOPBACK).ok()?);
        let address = server.server_addr().to_ip();
        let (reader, requests) = (Arc::clone(&server), self.requests.clone());
        thread::spawn(move || {
            while let Ok(request) = reader.recv() {
                if requests.send(request).is_err() {
                    return;
                }
            }
        });
        list.push(server);
        address
    }
}

impl Http {
    /// Listens on `address` with at most `limit` connections, accepting one per `accept_delay`.
    pub(crate) fn start(
        address: SocketAddr,
        limit: usize,
        accept_delay: Duration,
    ) -> Result<Arc<Self>> {
        let (sender, requests) = crossbeam_channel::unbounded();
        let servers = Arc::new(Servers { list: Mutex::default(), requests: sender });
        let chooser = Arc::clone(&servers);
        let balancer: Balancer = Box::new(move |counts| chooser.choose(counts));
        let options =
            LinkOptions { target: None, balancer: Some(balancer), limit, accept_delay, seed: 0 };
        let link = Link::start(address, options)?;
        Ok(Arc::new(Self { servers, link, requests, stopped: AtomicBool::new(false) }))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Waits for the next request; returns `None` once the server has stopped.
    pub(crate) fn receive(&self) -> Option<Request> {
        while !self.stopped.load(Ordering::SeqCst) {
            if let Ok(request) = self.requests.recv_timeout(POLL_INTERVAL) {
                return Some(request);
            }
        }
        None
    }

    /// Closes the connection of a request without a response.
    pub(crate) fn close(&self, request: Request) {
        if let Some(peer) = request.remote_addr() {
            self.link.close(*peer);
        }
        drop(request.into_writer());
    }

    /// Sends `body[..length]` with the content length of all of `body` and closes the connection.
    pub(crate) fn truncate(&self, request: Request, body: &[u8], length: usize) {
        let peer = request.remote_addr().copied();
        let mut writer = request.into_writer();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        _ = writer.write_all(head.as_bytes());
        _ = writer.write_all(&body[..length]);
        _ = writer.flush();
        if let Some(peer) = peer {
            self.link.close(peer);
        }
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.link.stop();
        for server in self.servers.list.lock().iter() {
            server.unblock();
        }
    }
}

/// Sends a response. A client that has disconnected is not an error.
pub(crate) fn answer(request: Request, reply: Reply) {
    // Above the default threshold, `tiny_http` would use chunked encoding without a content length.
    if let Err(error) = request.respond(reply.with_chunked_threshold(usize::MAX)) {
        tracing::debug!(%error, "response not sent");
    }
}

pub(crate) fn status(code: u16) -> Reply {
    Response::from_data(Vec::new()).with_status_code(code)
}

pub(crate) fn bytes(body: Vec<u8>) -> Reply {
    Response::from_data(body)
}

/// Response to a command that cannot be parsed.
pub(crate) fn bad_request(error: &Error) -> Reply {
    bytes(error.to_string().into_bytes()).with_status_code(400)
}

pub(crate) fn json(value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => with_header(bytes(body), "content-type", "application/json"),
        Err(_) => status(500),
    }
}

pub(crate) fn with_header(reply: Reply, name: &str, value: &str) -> Reply {
    match Header::from_bytes(name, value) {
        Ok(header) => reply.with_header(header),
        Err(()) => reply,
    }
}

pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let found =
        request.headers().iter().find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str())
}

/// Reads the body; returns `None` if it is shorter than its stated length or longer than `limit`.
pub(crate) fn body(request: &mut Request, limit: usize) -> Option<Vec<u8>> {
    let stated = request.body_length();
    let mut body = Vec::new();
    let bound = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    request.as_reader().take(bound).read_to_end(&mut body).ok()?;
    let whole = stated.is_none_or(|length| length == body.len());
    (whole && body.len() <= limit).then_some(body)
}

/// Parses the JSON command in the body of a request.
pub(crate) fn command<T: DeserializeOwned>(request: &mut Request) -> Result<T> {
    let body = body(request, usize::MAX / 2).unwrap_or_default();
    serde_json::from_slice(&body).context(JsonSnafu)
}

/// Numeric value of the query parameter `name` of `url`.
pub(crate) fn query(url: &str, name: &str) -> Option<u64> {
    let (_, query) = url.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
