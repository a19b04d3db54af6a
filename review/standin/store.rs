//! The platform's store: keyed topics with one partition each.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Default)]
struct Shared {
    topics: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the store listens");
        let store = Self { shared: Arc::default(), address };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut topics = self.shared.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record);
        drop(topics);
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().expect("a copy");
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            let target = request.first.split(' ').nth(1).unwrap_or("").to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let topic = query.get("Topic").copied().unwrap_or("");
            let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
            let (status, body) = match path {
                "/log-append" => {
                    // Each append takes 4 ms.
                    thread::sleep(Duration::from_millis(4));
                    (200, self.append(topic, &request.body))
                }
                "/log-read" => {
                    let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                    self.read(topic, number("From").unwrap_or(0) as usize, wait)
                }
                "/log-newest" => (200, self.newest(topic)),
                _ => (404, Vec::new()),
            };
            let kind = [("Content-Type", "application/json")];
            if out.write_all(&http::build(&format!("HTTP/1.1 {status} S"), &kind, &body)).is_err() {
                return;
            }
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> Vec<u8> {
        let mut topics = self.shared.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        while body.len() >= 4 {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        let end = records.len();
        drop(topics);
        self.shared.changed.notify_all();
        format!("{{\"Offset\":{offset},\"End\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut topics = self.shared.topics.lock().unwrap();
        loop {
            let records = topics.entry(topic.to_owned()).or_default();
            if from > records.len() {
                return (410, b"{\"First\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut out = (records.len() as u64).to_be_bytes().to_vec();
                out.extend_from_slice(&0_u64.to_be_bytes());
                for record in &records[from..] {
                    out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    out.extend_from_slice(record);
                }
                return (200, out);
            }
            topics = self.shared.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let mut topics = self.shared.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let mut keys: HashMap<&[u8], (usize, &[u8])> = HashMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            keys.insert(key, (offset, value));
        }
        let items: Vec<String> = keys
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                format!("{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value))
            })
            .collect();
        let end = records.len();
        format!("{{\"items\":[{}],\"More\":false,\"End\":{end}}}", items.join(",")).into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * place) & 63) as usize] as char;
            out.push(if place <= chunk.len() { letter } else { '=' });
        }
    }
    out
}
