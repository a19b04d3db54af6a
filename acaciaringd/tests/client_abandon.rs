//! Connections of requests that are abandoned or answered.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use acaciaringd::web::{Client, ClientSettings};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::runtime::Runtime;
use tokio::time::timeout;

/// Upper bound of each wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which the caller leaves.
const PATIENCE: Duration = Duration::from_millis(200);

fn request() -> Request<Full<Bytes>> {
    Request::post("/report").body(Full::new(Bytes::from_static(b"sample"))).expect("a request")
}

/// Reads until the connection ends, and returns how it ended.
fn end(stream: &mut TcpStream) -> Result<(), ErrorKind> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let mut buffer = [0; 1024];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) => return Err(error.kind()),
        }
    }
}

/// Guards against a server that starts a request whose caller has left: a closed connection still
/// delivers what was written to it.
#[test]
fn the_connection_of_an_abandoned_request_is_reset() {
    let runtime = Runtime::new().expect("a runtime");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        end(&mut stream)
    });
    let client = Client::new(ClientSettings::default());
    let answered =
        runtime.block_on(async { timeout(PATIENCE, client.exchange(address, request())).await });
    assert!(answered.is_err(), "{answered:?}");
    assert_eq!(server.join().expect("no panic"), Err(ErrorKind::ConnectionReset));
}

/// Guards against a reset of a connection whose request was answered: the server could lose bytes
/// that it has not read, and would log a failure.
#[test]
fn the_connection_of_an_answered_request_is_closed() {
    let runtime = Runtime::new().expect("a runtime");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 1024];
        assert!(stream.read(&mut buffer).expect("a request") > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").expect("written");
        end(&mut stream)
    });
    let client = Client::new(ClientSettings::default());
    runtime.block_on(async {
        let mut exchange = client.exchange(address, request()).await.expect("an answer");
        client.release(&mut exchange).await;
        drop(client);
        tokio::time::sleep(PATIENCE).await;
    });
    assert_eq!(server.join().expect("no panic"), Ok(()));
}
