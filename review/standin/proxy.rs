//! A path that can be cut: what is sent into the cut arrives late, as retransmitted packets do.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;

#[derive(Default)]
struct Held {
    cut: bool,
    /// Requests that were sent into the cut, oldest first.
    requests: Vec<Vec<u8>>,
}

#[derive(Clone)]
pub struct Path {
    held: Arc<Mutex<Held>>,
    to: SocketAddr,
    record: Arc<Record>,
}

impl Path {
    pub fn start(at: SocketAddr, to: SocketAddr, record: Arc<Record>) -> Self {
        let listener = TcpListener::bind(at).expect("the path listens");
        let path = Self { held: Arc::default(), to, record };
        let forwarding = path.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let path = forwarding.clone();
                thread::spawn(move || path.forward(stream));
            }
        });
        path
    }

    pub fn cut(&self, cut: bool) {
        self.held.lock().unwrap().cut = cut;
        self.record.add(if cut { "the path of the beats is cut" } else { "the path of the beats has healed" });
    }

    /// Delivers what one server sent into the cut, in the order in which it was sent.
    pub fn deliver(&self, server: &str, gap: Duration) {
        let requests = std::mem::take(&mut self.held.lock().unwrap().requests);
        let start = format!("PUT /instances/{server} ");
        for request in requests.into_iter().filter(|request| request.starts_with(start.as_bytes())) {
            let text = String::from_utf8_lossy(&request).into_owned();
            let first = text.lines().next().unwrap_or("");
            let body = text.lines().last().unwrap_or("");
            self.record.add(&format!("a held-up beat arrives: {first} {body}"));
            let to = self.to;
            // Its sender has gone, so nobody reads the reply.
            let record = Arc::clone(&self.record);
            thread::spawn(move || {
                let reply = http::call(to, &request, Duration::from_secs(2));
                let text = reply.map(|reply| {
                    format!("{} {}", reply.status(), String::from_utf8_lossy(&reply.body))
                });
                record.add(&format!("the reply to a held-up beat: {text:?}"));
            });
            thread::sleep(gap);
        }
    }

    fn forward(&self, stream: TcpStream) {
        let mut out = stream.try_clone().expect("a copy");
        let mut reader = BufReader::new(stream);
        let Some(request) = http::read(&mut reader) else { return };
        let bytes = rebuild(&request);
        {
            let mut held = self.held.lock().unwrap();
            if held.cut {
                held.requests.push(bytes);
                drop(held);
                // The sender hears nothing.
                thread::sleep(Duration::from_secs(20));
                return;
            }
        }
        if let Some(reply) = http::call(self.to, &bytes, Duration::from_secs(2)) {
            let _ = out.write_all(&rebuild(&reply));
        }
    }
}

fn rebuild(message: &Message) -> Vec<u8> {
    let headers: Vec<(&str, &str)> = message
        .headers
        .iter()
        .filter(|(name, _)| !matches!(name.as_str(), "content-length" | "transfer-encoding"))
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect();
    http::build(&message.first, &headers, &message.body)
}
