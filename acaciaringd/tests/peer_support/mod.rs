//! Certificates, a request handler and a UDP forwarder for tests of the peer transport.

#![allow(dead_code)] // Each test file uses a part.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use std::{env, fs, process, thread};

use acaciaring_schema::peer::{Answer, Datagram, Done, Request, Verdict, call, reply};
use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender, unbounded};
use parking_lot::Mutex;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

// The including file provides `peer`: the module of the crate, or its import in integration tests.
use super::peer::{BoxFuture, CancelFlag, Handler, PeerSettings, Transport};

/// Upper bound of each wait; only a failing test reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest packet that is forwarded.
const MAX_PACKET_BYTES: usize = 2048;

/// Certificate authority with a temporary directory for its files.
pub struct Authority {
    dir: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    pub fn new() -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("acaciaring-peer-{}-{count}", process::id()));
        fs::create_dir_all(&dir).unwrap();
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        fs::write(dir.join("authority.pem"), params.self_signed(&key).unwrap().pem()).unwrap();
        Self { dir, issuer: Issuer::new(params, key) }
    }

    /// Issues a certificate and returns the settings of a member that uses it.
    pub fn settings(&self) -> PeerSettings {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec!["acaciaring".into()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        fs::write(self.dir.join("member.pem"), certificate.pem()).unwrap();
        fs::write(self.dir.join("key.pem"), key.serialize_pem()).unwrap();
        PeerSettings {
            certificate: self.dir.join("member.pem"),
            key: self.dir.join("key.pem"),
            authority: self.dir.join("authority.pem"),
            ..PeerSettings::default()
        }
    }
}

impl Drop for Authority {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

type RequestFn = Arc<dyn Fn(Request, &CancelFlag) -> Answer + Send + Sync>;

/// Handler that counts requests and runs a function of the test for each.
pub struct TestHandler {
    run: RequestFn,
    /// Count of requests that were started.
    pub runs: AtomicUsize,
    datagrams: Sender<(SocketAddr, Datagram)>,
}

impl Handler for TestHandler {
    fn datagram(&self, from: SocketAddr, datagram: Datagram) {
        self.datagrams.send((from, datagram)).unwrap();
    }

    fn call(&self, _: call::Body) -> BoxFuture<'_, reply::Body> {
        Box::pin(async { reply::Body::Done(Done { accepted: true }) })
    }

    fn request<'a>(&'a self, request: Request, cancelled: &'a CancelFlag) -> BoxFuture<'a, Answer> {
        self.runs.fetch_add(1, Ordering::SeqCst);
        let (run, cancelled) = (Arc::clone(&self.run), cancelled.clone());
        // The functions of tests block.
        let job = tokio::task::spawn_blocking(move || run(request, &cancelled));
        Box::pin(async { job.await.unwrap() })
    }
}

/// Transport with its handler and the datagrams it received.
pub struct Node {
    pub transport: Transport,
    pub handler: Arc<TestHandler>,
    pub datagrams: Receiver<(SocketAddr, Datagram)>,
}

impl Node {
    pub fn start(
        settings: PeerSettings,
        run: impl Fn(Request, &CancelFlag) -> Answer + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(run, |handler| Transport::start(settings, handler).unwrap())
    }

    /// Starts a node whose transport is started by a function of the test.
    pub fn start_with(
        run: impl Fn(Request, &CancelFlag) -> Answer + Send + Sync + 'static,
        start: impl FnOnce(Arc<dyn Handler>) -> Transport,
    ) -> Self {
        let (sender, datagrams) = unbounded();
        let run: RequestFn = Arc::new(run);
        let handler = Arc::new(TestHandler { run, runs: AtomicUsize::new(0), datagrams: sender });
        let transport = start(handler.clone());
        Self { transport, handler, datagrams }
    }

    /// Starts a node that answers each request with the request's body.
    pub fn echo(settings: PeerSettings) -> Self {
        Self::start(settings, |request, _| echo(request))
    }

    pub fn runs(&self) -> usize {
        self.handler.runs.load(Ordering::SeqCst)
    }
}

pub fn echo(request: Request) -> Answer {
    let length = request.body.len() as u64;
    Answer {
        verdict: Verdict::Answered.into(),
        body: request.body.into(),
        length,
        ..Answer::default()
    }
}

/// Returns a request with a random attempt number and this body.
pub fn request(body: impl Into<Vec<u8>>) -> Request {
    Request { attempt: rand::random(), body: Bytes::from(body.into()), ..Request::default() }
}

/// Waits until `condition` holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_for(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "condition does not hold in time");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Treatment of the packets of a flow in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketPolicy {
    Forward,
    Discard,
    /// Queued until the test releases them.
    Hold,
}

struct Flow {
    socket: UdpSocket,
    outbound: PacketPolicy,
    inbound: PacketPolicy,
    held: Vec<Vec<u8>>,
}

impl Flow {
    /// Sends the held packets and sets the policy of later ones.
    fn release(&mut self, outbound: PacketPolicy) {
        self.outbound = outbound;
        for packet in std::mem::take(&mut self.held) {
            self.socket.send(&packet).unwrap();
        }
    }
}

struct ForwarderState {
    target: SocketAddr,
    /// Time for which the outbound packets of a new flow are held.
    hold: Duration,
    flows: HashMap<SocketAddr, Flow>,
    /// Drops all packets in both directions, also of new flows.
    cut: bool,
    /// One-way delay of each packet.
    delay: Duration,
}

/// UDP forwarder; a flow is identified by its source address.
pub struct Forwarder {
    pub address: SocketAddr,
    state: Arc<Mutex<ForwarderState>>,
    stopped: Arc<AtomicBool>,
}

impl Forwarder {
    pub fn start(target: SocketAddr) -> Self {
        Self::with_hold(target, Duration::ZERO)
    }

    /// Starts a forwarder that holds the outbound packets of each new flow for `hold`.
    pub fn with_hold(target: SocketAddr, hold: Duration) -> Self {
        let socket = bind();
        let address = socket.local_addr().unwrap();
        let flows = HashMap::new();
        let state = ForwarderState { target, hold, flows, cut: false, delay: Duration::ZERO };
        let state = Arc::new(Mutex::new(state));
        let stopped = Arc::new(AtomicBool::new(false));
        let (flows, stop) = (state.clone(), stopped.clone());
        thread::spawn(move || forward_outbound(&socket, &flows, &stop));
        Self { address, state, stopped }
    }

    /// Sets the policies of all existing flows; new flows are forwarded.
    pub fn set_policies(&self, outbound: PacketPolicy, inbound: PacketPolicy) {
        for flow in self.state.lock().flows.values_mut() {
            (flow.outbound, flow.inbound) = (outbound, inbound);
        }
    }

    /// Drops all packets, or applies the policies of the flows again.
    pub fn set_cut(&self, cut: bool) {
        self.state.lock().cut = cut;
    }

    /// Sets the one-way delay of each packet.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    /// Sets for how long the outbound packets of later flows are held.
    pub fn set_hold(&self, hold: Duration) {
        self.state.lock().hold = hold;
    }

    /// Sends the held packets of all flows.
    pub fn release(&self) {
        for flow in self.state.lock().flows.values_mut() {
            flow.release(flow.outbound);
        }
    }

    /// Sets the target of later flows.
    pub fn retarget(&self, target: SocketAddr) {
        self.state.lock().target = target;
    }

    pub fn flows(&self) -> usize {
        self.state.lock().flows.len()
    }

    /// Returns the count of held packets.
    pub fn held(&self) -> usize {
        self.state.lock().flows.values().map(|flow| flow.held.len()).sum()
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

fn bind() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    socket
}

fn forward_outbound(
    socket: &UdpSocket,
    state: &Arc<Mutex<ForwarderState>>,
    stop: &Arc<AtomicBool>,
) {
    let mut packet = [0; MAX_PACKET_BYTES];
    while !stop.load(Ordering::SeqCst) {
        let Ok((size, from)) = socket.recv_from(&mut packet) else {
            continue;
        };
        let mut locked = state.lock();
        if locked.cut {
            continue;
        }
        let (target, hold) = (locked.target, locked.hold);
        let flow = locked.flows.entry(from).or_insert_with(|| {
            let flow = bind();
            flow.connect(target).unwrap();
            let copies = (socket.try_clone().unwrap(), flow.try_clone().unwrap());
            let (state, stop) = (state.clone(), stop.clone());
            let later = state.clone();
            thread::spawn(move || forward_inbound(&copies.0, &copies.1, from, &state, &stop));
            let outbound = if hold.is_zero() { PacketPolicy::Forward } else { PacketPolicy::Hold };
            if outbound == PacketPolicy::Hold {
                thread::spawn(move || {
                    thread::sleep(hold);
                    let mut state = later.lock();
                    state.flows.get_mut(&from).unwrap().release(PacketPolicy::Forward);
                });
            }
            Flow { socket: flow, outbound, inbound: PacketPolicy::Forward, held: Vec::new() }
        });
        match flow.outbound {
            PacketPolicy::Forward => {
                let target = flow.socket.try_clone().unwrap();
                send_delayed(locked.delay, packet[..size].to_vec(), move |packet| {
                    drop(target.send(packet));
                });
            }
            PacketPolicy::Hold => flow.held.push(packet[..size].to_vec()),
            PacketPolicy::Discard => {}
        }
    }
}

fn forward_inbound(
    socket: &UdpSocket,
    flow: &UdpSocket,
    to: SocketAddr,
    state: &Mutex<ForwarderState>,
    stop: &AtomicBool,
) {
    let mut packet = [0; MAX_PACKET_BYTES];
    while !stop.load(Ordering::SeqCst) {
        let Ok(size) = flow.recv(&mut packet) else {
            continue;
        };
        let locked = state.lock();
        if !locked.cut && locked.flows[&to].inbound == PacketPolicy::Forward {
            let socket = socket.try_clone().unwrap();
            send_delayed(locked.delay, packet[..size].to_vec(), move |packet| {
                drop(socket.send_to(packet, to));
            });
        }
    }
}

/// Sends a packet, after the delay on a thread of its own unless the delay is zero.
fn send_delayed(delay: Duration, packet: Vec<u8>, send: impl FnOnce(&[u8]) + Send + 'static) {
    if delay.is_zero() {
        return send(&packet);
    }
    thread::spawn(move || {
        thread::sleep(delay);
        send(&packet);
    });
}
