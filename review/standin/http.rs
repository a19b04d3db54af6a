//! Minimal HTTP/1.1: requests and responses with a length or in chunks.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// First line, headers by lower-case name, and body of a message.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads one message; `None` at the end of the connection or on an error.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..]).ok()?;
            line.clear();
            reader.read_line(&mut line).ok()?;
            if size == 0 {
                break;
            }
        }
    } else {
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some(Message { first: first.trim_end().to_owned(), headers, body })
}

/// Builds a message with a length.
pub fn build(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first}\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Connects within a second.
pub fn connect(to: SocketAddr, reply: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(reply))?;
    Ok(stream)
}

/// Sends a request on a new connection and reads the response.
pub fn call(to: SocketAddr, request: &[u8], reply: Duration) -> Option<Message> {
    let mut stream = connect(to, reply).ok()?;
    stream.write_all(request).ok()?;
    read(&mut BufReader::new(stream))
}
