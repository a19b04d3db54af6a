//! The platform's store: a log of topics with one partition each.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Request, read_request};

#[derive(Default)]
struct Inner {
    topics: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("address");
        let inner = Arc::<Inner>::default();
        let shared = Arc::clone(&inner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(&shared, stream));
            }
        });
        Self { address, inner }
    }

    /// Writes a record as the operator.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.inner.topics.lock().unwrap().entry(topic.into()).or_default().push(record);
        self.inner.changed.notify_all();
    }
}

fn serve(shared: &Inner, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut rest) {
        let (status, body) = answer(shared, &request);
        let head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn answer(shared: &Inner, request: &Request) -> (u16, Vec<u8>) {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    let topic = query.get("Topic").copied().unwrap_or_default().to_owned();
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    match (request.method.as_str(), path) {
        ("POST", "/log-append") => {
            thread::sleep(Duration::from_millis(4));
            let mut topics = shared.topics.lock().unwrap();
            let records = topics.entry(topic).or_default();
            let offset = records.len();
            let mut body = request.body.as_slice();
            while body.len() >= 4 {
                let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
                records.push(body[4..4 + length].to_vec());
                body = &body[4 + length..];
            }
            let end = records.len();
            drop(topics);
            shared.changed.notify_all();
            (200, format!("{{\"Offset\":{offset},\"End\":{end}}}").into_bytes())
        }
        ("GET", "/log-read") => {
            let from = number("From") as usize;
            let end = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
            let mut topics = shared.topics.lock().unwrap();
            loop {
                let records = topics.entry(topic.clone()).or_default();
                if from > records.len() {
                    return (410, b"{\"First\":0}".to_vec());
                }
                let left = end.saturating_duration_since(Instant::now());
                if records.len() > from || left.is_zero() {
                    let mut out = (records.len() as u64).to_be_bytes().to_vec();
                    out.extend_from_slice(&0_u64.to_be_bytes());
                    for record in &records[from..] {
                        out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        out.extend_from_slice(record);
                    }
                    return (200, out);
                }
                topics = shared.changed.wait_timeout(topics, left).unwrap().0;
            }
        }
        ("GET", "/log-newest") => {
            let topics = shared.topics.lock().unwrap();
            let empty = Vec::new();
            let records = topics.get(&topic).unwrap_or(&empty);
            let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
            for (offset, record) in records.iter().enumerate() {
                let length = usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                newest.insert(key, (offset, &record[1 + length..]));
            }
            let after = query.get("after").copied().unwrap_or_default();
            let rows: Vec<String> = newest
                .iter()
                .filter(|(key, (_, value))| !value.is_empty() && key.as_str() > after)
                .map(|(key, (offset, value))| {
                    format!("{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value))
                })
                .collect();
            let more = rows.len() > 500;
            let rows = &rows[..rows.len().min(500)];
            let text = format!("{{\"items\":[{}],\"More\":{more},\"End\":{}}}", rows.join(","), records.len());
            (200, text.into_bytes())
        }
        _ => (404, Vec::new()),
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for place in 0..4 {
            let letter = LETTERS[(number >> (18 - 6 * place)) as usize & 63];
            out.push(if place <= three.len() { letter as char } else { '=' });
        }
    }
    out
}
