//! Bytes without end in place of an answer, as a server in trouble sends them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes written at a time.
const WRITE_BYTES: usize = 16 << 10;

/// Pause between the single bytes of [`Endless::Drip`].
const DRIP_PAUSE: Duration = Duration::from_millis(10);

/// Upper bound of a wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What is sent without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// Bytes that are no HTTP.
    Garbage,
    /// Empty lines before a status line.
    EmptyLines,
    /// One header line.
    HeaderLine,
    /// Header lines.
    HeaderLines,
    /// Header lines, one byte at a time with pauses.
    Drip,
    /// Informational responses.
    Informational,
    /// Body without a length.
    Body,
    /// Body of a length that is never reached.
    HugeBody,
    /// Large chunks of a body.
    Chunks,
    /// Chunks of one byte.
    SmallChunks,
    /// Extension of a chunk.
    Extension,
    /// Trailer lines.
    Trailers,
}

impl Endless {
    /// All kinds.
    pub const ALL: [Self; 12] = [
        Self::Garbage,
        Self::EmptyLines,
        Self::HeaderLine,
        Self::HeaderLines,
        Self::Drip,
        Self::Informational,
        Self::Body,
        Self::HugeBody,
        Self::Chunks,
        Self::SmallChunks,
        Self::Extension,
        Self::Trailers,
    ];

    /// Returns the name of the kind, in lower case.
    #[must_use]
    pub fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }

    /// Returns the kind that a path names after `endless-`, up to the next `-`.
    #[must_use]
    pub fn in_path(path: &str) -> Option<Self> {
        let (_, rest) = path.split_once("endless-")?;
        let name = rest.split('-').next()?;
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns what precedes the bytes without end; `lines` are header lines of the answer.
    fn start(self, lines: &str) -> String {
        let head = |framing: &str| format!("HTTP/1.1 200 OK\r\n{lines}{framing}\r\n");
        let chunked = "transfer-encoding: chunked\r\n";
        match self {
            Self::Garbage | Self::EmptyLines | Self::Informational => String::new(),
            Self::HeaderLine => format!("HTTP/1.1 200 OK\r\n{lines}x-long: "),
            Self::HeaderLines | Self::Drip => format!("HTTP/1.1 200 OK\r\n{lines}"),
            Self::Body => head(""),
            Self::HugeBody => head("content-length: 1000000000000\r\n"),
            Self::Chunks | Self::SmallChunks => head(chunked),
            Self::Extension => head(chunked) + "1;",
            Self::Trailers => head(chunked) + "0\r\n",
        }
    }

    /// Returns what is repeated.
    const fn unit(self) -> &'static str {
        match self {
            Self::Garbage => "no answer ",
            Self::EmptyLines => "\r\n",
            Self::HeaderLine | Self::Body | Self::HugeBody | Self::Extension => "a",
            Self::HeaderLines | Self::Drip | Self::Trailers => "x-line: a\r\n",
            Self::Informational => "HTTP/1.1 100 Continue\r\n\r\n",
            Self::Chunks => concat!("20\r\n", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "\r\n"),
            Self::SmallChunks => "1\r\na\r\n",
        }
    }

    /// Sends the bytes until the peer closes the connection; returns how many were written.
    pub fn pour(self, stream: &mut dyn Write, lines: &str) -> u64 {
        let written = AtomicU64::new(0);
        // Ends with the connection.
        let _ = self.write(stream, lines, &written);
        written.into_inner()
    }

    fn write(self, stream: &mut dyn Write, lines: &str, written: &AtomicU64) -> io::Result<()> {
        stream.write_all(self.start(lines).as_bytes())?;
        stream.flush()?;
        let unit = self.unit().as_bytes();
        if self == Self::Drip {
            for byte in unit.iter().cycle() {
                stream.write_all(&[*byte])?;
                stream.flush()?;
                written.fetch_add(1, Ordering::SeqCst);
                thread::sleep(DRIP_PAUSE);
            }
        }
        let block = unit.repeat(WRITE_BYTES.div_ceil(unit.len()));
        loop {
            stream.write_all(&block)?;
            written.fetch_add(block.len() as u64, Ordering::SeqCst);
        }
    }
}

/// Server that sends bytes without end on its first connections and answers on later ones.
#[derive(Debug, Clone)]
pub struct EndlessServer {
    address: SocketAddr,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    accepted: AtomicUsize,
    ended: AtomicUsize,
    written: AtomicU64,
}

impl EndlessServer {
    /// Starts a server whose first `endless` connections never end; on others it answers each
    /// request with `answer`.
    ///
    /// # Panics
    ///
    /// Panics if it cannot listen.
    #[must_use]
    pub fn start(kind: Endless, endless: usize, answer: &'static [u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback address");
        let address = listener.local_addr().expect("an address");
        let counts = Arc::new(Counts::default());
        let server = Self { address, counts };
        let accepting = server.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let number = accepting.counts.accepted.fetch_add(1, Ordering::SeqCst);
                let counts = Arc::clone(&accepting.counts);
                thread::spawn(move || {
                    if number >= endless {
                        while read_request(&mut stream) && stream.write_all(answer).is_ok() {}
                        return;
                    }
                    if read_request(&mut stream) {
                        let _ = kind.write(&mut stream, "", &counts.written);
                    }
                    counts.ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of accepted connections.
    #[must_use]
    pub fn accepted(&self) -> usize {
        self.counts.accepted.load(Ordering::SeqCst)
    }

    fn ended(&self) -> usize {
        self.counts.ended.load(Ordering::SeqCst)
    }

    /// Waits until the peer has closed `count` connections without end; returns the bytes written.
    ///
    /// # Panics
    ///
    /// Panics if they stay open.
    #[must_use]
    pub fn wait_for_end(&self, count: usize) -> u64 {
        let start = Instant::now();
        while self.ended() < count {
            assert!(start.elapsed() < WAIT_TIMEOUT, "{} of {count} are closed", self.ended());
            thread::sleep(POLL_INTERVAL);
        }
        self.counts.written.load(Ordering::SeqCst)
    }
}

/// Reads the head and a body by its content length; returns false at the end of the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return false,
        }
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).is_ok()
}
