//! HTTP clients and servers over plain sockets, which can send malformed and partial messages.
#![allow(dead_code, reason = "no test file uses all of it")]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Upper bound of each wait; only a failing test reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Connects with a connect and read timeout of [`WAIT_TIMEOUT`].
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect_timeout(&address, WAIT_TIMEOUT).expect("connect");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("timeout");
    stream
}

/// Reads one message: head, and body by its content length. Empty at the end of the stream.
pub fn read_message(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |text| text.trim().parse().expect("length"))];
    stream.read_exact(&mut body).expect("body");
    bytes.extend_from_slice(&body);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a new connection and returns the answer.
pub fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = connect(address);
    stream.write_all(request.as_bytes()).expect("write");
    read_message(&mut stream)
}

/// Returns all bytes until the peer closes or resets the connection.
pub fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    bytes
}

/// Starts a server that runs `script` on a thread per connection, with its number from 0.
pub fn spawn_server(script: impl Fn(usize, TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let script = script.clone();
            thread::spawn(move || script(number, stream));
        }
    });
    address
}

/// Starts a server that answers each request with the same bytes and then closes if `close` is set.
pub fn serve_answer(answer: &'static [u8], close: bool) -> SocketAddr {
    spawn_server(move |_, mut stream| {
        while !read_message(&mut stream).is_empty() {
            let _ = stream.write_all(answer);
            if close {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    })
}

/// Returns an address on which no socket listens.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address")
}

/// Polls until `done` returns true; returns false if it never does.
pub fn wait_until(mut done: impl FnMut() -> bool) -> bool {
    let step = Duration::from_millis(5);
    (0..4000).any(|_| {
        done() || {
            thread::sleep(step);
            false
        }
    })
}
