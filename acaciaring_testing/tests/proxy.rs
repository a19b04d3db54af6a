//! Tests of the proxy over TCP and UDP.

#[allow(dead_code)]
mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{ProxyControl, ProxyOptions, ProxyServer, Transport};

use common::{BOUND, post};

/// Time without a response after which traffic counts as blocked.
const BLOCKED_AFTER: Duration = Duration::from_millis(300);

/// Starts an echo server.
fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    address
}

fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut datagram = [0; 64];
        while let Ok((length, source)) = socket.recv_from(&mut datagram) {
            socket.send_to(&datagram[..length], source).unwrap();
        }
    });
    address
}

fn proxy(transport: Transport, target: SocketAddr) -> ProxyServer {
    let options = ProxyOptions { transport, target: Some(target), ..ProxyOptions::default() };
    ProxyServer::start(options).unwrap()
}

fn tcp_caller(proxy: &ProxyServer) -> TcpStream {
    TcpStream::connect(proxy.address()).unwrap()
}

fn udp_caller(proxy: &ProxyServer) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.connect(proxy.address()).unwrap();
    socket
}

/// Sends one byte and returns whether it is echoed within `bound`.
fn tcp_echoes(mut stream: &TcpStream, byte: u8, bound: Duration) -> bool {
    stream.set_read_timeout(Some(bound)).unwrap();
    stream.write_all(&[byte]).unwrap();
    let mut answer = [0];
    stream.read_exact(&mut answer).is_ok() && answer[0] == byte
}

fn udp_echoes(socket: &UdpSocket, byte: u8, bound: Duration) -> bool {
    socket.set_read_timeout(Some(bound)).unwrap();
    socket.send(&[byte]).unwrap();
    let mut answer = [0];
    socket.recv(&mut answer).is_ok() && answer[0] == byte
}

// Models a middlebox that has lost its connection state: established connections pass no more data
// but are not closed, and new connections work.
#[test]
fn silence_affects_existing_tcp_connections_only() {
    let proxy = proxy(Transport::Tcp, tcp_echo());
    let old = tcp_caller(&proxy);
    assert!(tcp_echoes(&old, 1, BOUND));
    assert_eq!(proxy.handle().silence(), 1);
    old.set_read_timeout(Some(BLOCKED_AFTER)).unwrap();
    (&old).write_all(&[2]).unwrap();
    let error = (&old).read(&mut [0]).expect_err("neither an answer nor the end of the stream");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
    assert!(tcp_echoes(&tcp_caller(&proxy), 3, BOUND));
    proxy.handle().heal();
    assert!(!tcp_echoes(&old, 4, BLOCKED_AFTER));
}

// Likewise for datagrams: those of a known source are dropped, those of a new source pass.
#[test]
fn silence_affects_known_udp_sources_only() {
    let proxy = proxy(Transport::Udp, udp_echo());
    let old = udp_caller(&proxy);
    assert!(udp_echoes(&old, 1, BOUND));
    assert_eq!(proxy.handle().silence(), 1);
    assert!(!udp_echoes(&old, 2, BLOCKED_AFTER));
    assert!(udp_echoes(&udp_caller(&proxy), 3, BOUND));
    proxy.handle().heal();
    assert!(!udp_echoes(&old, 4, BLOCKED_AFTER));
}

#[test]
fn tcp_cut_holds_traffic_until_it_heals() {
    let proxy = proxy(Transport::Tcp, tcp_echo());
    let caller = tcp_caller(&proxy);
    assert!(tcp_echoes(&caller, 1, BOUND));
    proxy.handle().cut(true);
    assert!(!tcp_echoes(&caller, 2, BLOCKED_AFTER));
    proxy.handle().heal();
    caller.set_read_timeout(Some(BOUND)).unwrap();
    let mut answer = [0];
    (&caller).read_exact(&mut answer).unwrap();
    assert_eq!(answer, [2]);
}

// Only the direction to the client is blocked: the target gets the request, the client no reply.
#[test]
fn one_way_cut_lets_the_other_way_pass() {
    let target = UdpSocket::bind("127.0.0.1:0").unwrap();
    target.set_read_timeout(Some(BOUND)).unwrap();
    let proxy = proxy(Transport::Udp, target.local_addr().unwrap());
    post(proxy.control(), "/control", br#"{"cut_down": true}"#).unwrap();
    let caller = udp_caller(&proxy);
    caller.send(&[7]).unwrap();
    let mut datagram = [0];
    let (_, source) = target.recv_from(&mut datagram).unwrap();
    assert_eq!(datagram, [7]);
    target.send_to(&[8], source).unwrap();
    caller.set_read_timeout(Some(BLOCKED_AFTER)).unwrap();
    assert!(caller.recv(&mut datagram).is_err());
    post(proxy.control(), "/control", br#"{"heal": true}"#).unwrap();
    target.send_to(&[9], source).unwrap();
    caller.set_read_timeout(Some(BOUND)).unwrap();
    caller.recv(&mut datagram).unwrap();
    assert_eq!(datagram, [9]);
}

#[test]
fn loss_drops_some_datagrams() {
    const SENT: u8 = 200;
    let proxy = proxy(Transport::Udp, udp_echo());
    let caller = udp_caller(&proxy);
    assert!(udp_echoes(&caller, 0, BOUND));
    proxy.handle().set(&ProxyControl { loss: Some(0.5), ..ProxyControl::default() });
    let answers = (0..SENT).filter(|n| udp_echoes(&caller, *n, Duration::from_millis(20))).count();
    assert!((1..usize::from(SENT)).contains(&answers));
}

#[test]
fn replies_reach_their_sources() {
    let proxy = proxy(Transport::Udp, udp_echo());
    let callers: Vec<UdpSocket> = (0..8).map(|_| udp_caller(&proxy)).collect();
    for (byte, caller) in (0u8..).zip(&callers) {
        caller.send(&[byte]).unwrap();
    }
    for (byte, caller) in (0u8..).zip(&callers) {
        caller.set_read_timeout(Some(BOUND)).unwrap();
        let mut answer = [255];
        caller.recv(&mut answer).unwrap();
        assert_eq!(answer, [byte]);
    }
}

#[test]
fn delay_is_at_least_what_was_asked() {
    let delayed = ProxyControl { delay: Some(50), ..ProxyControl::default() };
    let tcp = proxy(Transport::Tcp, tcp_echo());
    let udp = proxy(Transport::Udp, udp_echo());
    tcp.handle().set(&delayed);
    udp.handle().set(&delayed);
    let start = std::time::Instant::now();
    assert!(tcp_echoes(&tcp_caller(&tcp), 1, BOUND));
    assert!(start.elapsed() >= Duration::from_millis(100));
    let start = std::time::Instant::now();
    assert!(udp_echoes(&udp_caller(&udp), 1, BOUND));
    assert!(start.elapsed() >= Duration::from_millis(100));
}

// The address of the target may become known only after that of the proxy.
#[test]
fn target_may_be_set_later() {
    for (transport, target) in [(Transport::Tcp, tcp_echo()), (Transport::Udp, udp_echo())] {
        let options = ProxyOptions { transport, ..ProxyOptions::default() };
        let proxy = ProxyServer::start(options).unwrap();
        proxy.handle().set(&ProxyControl { target: Some(target), ..ProxyControl::default() });
        wait_until("echo", BOUND, || match transport {
            Transport::Tcp => tcp_echoes(&tcp_caller(&proxy), 5, BLOCKED_AFTER),
            Transport::Udp => udp_echoes(&udp_caller(&proxy), 5, BLOCKED_AFTER),
        })
        .unwrap();
    }
}
