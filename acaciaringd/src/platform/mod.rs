//! Client of the platform's append-only log service, over HTTP/1.1.

use std::fmt::{self, Debug, Formatter};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use acaciaring_core::{Generation, Offset};
use acaciaring_schema::log::{Appended, Batch};
use prost::Message;
use snafu::Snafu;
use ureq::Agent;
use ureq::unversioned::transport::{Connector, TcpConnector};

use crate::header;
use crate::metrics::{Counter, Metrics, Timer};
use crate::upstream::transport::{self, NumericResolver, TrackingConnector};

/// Largest record that the log service accepts, in bytes.
pub const MAX_RECORD: usize = 256 << 10;

/// Largest response that is read, in bytes.
const MAX_ANSWER: u64 = 64 << 20;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const TOO_LARGE: u16 = 413;
const TOO_MANY: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// Timeouts of the client of the log service.
#[derive(Debug, Clone, Copy)]
pub struct LogTimeouts {
    /// Timeout of a connection attempt.
    pub connect: Duration,
    /// Timeout of an append.
    pub append: Duration,
    /// Timeout of a read, in addition to the time for which it waits for records.
    pub read: Duration,
    /// Age above which an idle connection is not reused.
    pub idle: Duration,
}

impl Default for LogTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            append: Duration::from_secs(2),
            read: Duration::from_secs(2),
            idle: Duration::from_secs(2),
        }
    }
}

/// Failure of an append.
#[derive(Debug, Snafu)]
pub enum AppendError {
    /// The record was not appended.
    #[snafu(display("record not appended to the log: {cause}"))]
    Refused {
        /// Status of the service or error of the connection.
        cause: String,
    },
    /// The record may have been appended; its id makes it safe to retry the append.
    #[snafu(display("append to the log not confirmed: {cause}"))]
    Unknown {
        /// Error of the connection, or the unexpected response.
        cause: String,
    },
}

/// Failure of a read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The service is unreachable, refuses the read or does not respond in time.
    #[snafu(display("cannot read from the log service: {cause}"))]
    Unavailable {
        /// Status of the service or error of the connection.
        cause: String,
    },
    /// The response violates the protocol.
    #[snafu(display("invalid response of the log service: {cause}"))]
    Invalid {
        /// Error of the decoder.
        cause: String,
    },
}

/// Append-only log service; calls block.
pub trait LogService: Send + Sync + 'static {
    /// Appends a record and returns its offset, the first of which is 1.
    ///
    /// # Errors
    ///
    /// `Refused` if the record was certainly not appended, otherwise `Unknown`.
    fn append(&self, record: &[u8]) -> Result<Offset, AppendError>;

    /// Reads at most `max` records of a generation from offset `from`; waits at most `wait` for the
    /// first.
    ///
    /// Where the log is in a later generation, the batch names that one and has no records.
    ///
    /// # Errors
    ///
    /// Fails without a valid response; a read is safe to retry.
    fn read(
        &self,
        generation: Generation,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Batch, ReadError>;

    /// Drops the records of a generation below an offset that a snapshot covers.
    ///
    /// Does nothing by default, for services that drop old records by themselves.
    fn trim(&self, _generation: Generation, _before: Offset) {}

    /// Returns the highest generation of the log that the service has named.
    ///
    /// It rises each time that the service loses records that it had confirmed. It is 0 by default,
    /// for services that never do.
    fn generation(&self) -> Generation {
        Generation::default()
    }
}

impl LogService for LogClient {
    fn append(&self, record: &[u8]) -> Result<Offset, AppendError> {
        Self::append(self, record)
    }

    fn read(
        &self,
        _generation: Generation,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Batch, ReadError> {
        Self::read(self, from, max, wait)
    }
}

/// Client of the log service; clones share a connection pool.
#[derive(Clone)]
pub struct LogClient {
    agent: Agent,
    address: SocketAddr,
    timeouts: LogTimeouts,
    metrics: Metrics,
}

impl LogClient {
    /// Creates a client, which connects on first use.
    #[must_use]
    pub fn new(address: SocketAddr, timeouts: LogTimeouts) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .no_delay(true)
            .max_idle_age(timeouts.idle)
            .timeout_connect(Some(timeouts.connect))
            .build();
        let connector = TcpConnector::default().chain(TrackingConnector);
        let agent = Agent::with_parts(config, connector, NumericResolver);
        Self { agent, address, timeouts, metrics: Metrics::none() }
    }

    /// Returns this client with metrics for its requests.
    #[must_use]
    pub fn metered(self, metrics: Metrics) -> Self {
        Self { metrics, ..self }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// `Refused` if the record was certainly not appended, otherwise `Unknown`.
    pub fn append(&self, record: &[u8]) -> Result<Offset, AppendError> {
        let start = Instant::now();
        let result = self.post(record);
        match &result {
            Ok(_) => {
                self.metrics.count(Counter::LogAppends, 1);
                self.metrics.time(Timer::LogAppend, start.elapsed());
            }
            Err(_) => self.metrics.count(Counter::LogFailures, 1),
        }
        result
    }

    fn post(&self, record: &[u8]) -> Result<Offset, AppendError> {
        if record.len() > MAX_RECORD {
            return Err(AppendError::Refused { cause: "record above the limit".into() });
        }
        transport::begin(MAX_ANSWER);
        let url = format!("http://{}/v1/records", self.address);
        let call = call_id();
        let request = self.agent.post(url).header(header::CALL, &call);
        let request = request.config().timeout_global(Some(self.timeouts.append)).build();
        let (status, body) = read_response(request.send(record), &call).map_err(append_failure)?;
        match status {
            OK => offset(&body),
            BAD_REQUEST | TOO_LARGE | TOO_MANY | UNAVAILABLE => {
                Err(AppendError::Refused { cause: format!("status {status}") })
            }
            _ => Err(AppendError::Unknown { cause: format!("status {status}") }),
        }
    }

    /// Reads at most `max` records from offset `from`; waits at most `wait` for the first.
    ///
    /// # Errors
    ///
    /// Fails without a valid response; a read is safe to retry.
    pub fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Batch, ReadError> {
        let result = self.get(from, max, wait);
        if result.is_err() {
            self.metrics.count(Counter::LogFailures, 1);
        }
        result
    }

    fn get(&self, from: Offset, max: usize, wait: Duration) -> Result<Batch, ReadError> {
        let millis = wait.as_millis();
        let url = format!("http://{}/v1/records?from={from}&max={max}&wait={millis}", self.address);
        let bound = wait.saturating_add(self.timeouts.read);
        transport::begin(MAX_ANSWER);
        let call = call_id();
        let request = self.agent.get(url).header(header::CALL, &call);
        let request = request.config().timeout_global(Some(bound)).build();
        let unavailable = |error: ureq::Error| ReadError::Unavailable { cause: error.to_string() };
        let (status, body) = read_response(request.call(), &call).map_err(unavailable)?;
        if status != OK {
            return Err(ReadError::Unavailable { cause: format!("status {status}") });
        }
        Batch::decode(body.as_slice())
            .map_err(|error| ReadError::Invalid { cause: error.to_string() })
    }
}

impl Debug for LogClient {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_struct("LogClient").field("address", &self.address).finish_non_exhaustive()
    }
}

type Response = ureq::http::Response<ureq::Body>;

/// Returns an id that is unique to a call.
fn call_id() -> String {
    rand::random::<u64>().to_string()
}

/// Reads the whole response, so that a truncated body is an error.
///
/// Guards against the answer to another call, by which a record would count as appended at a wrong
/// offset: one that repeats another id is an error, which closes the connection.
fn read_response(
    response: Result<Response, ureq::Error>,
    call: &str,
) -> Result<(u16, Vec<u8>), ureq::Error> {
    let mut response = response?;
    if !header::repeats(response.headers(), header::CALL, call) {
        let cause = "the answer belongs to another call";
        return Err(io::Error::new(io::ErrorKind::InvalidData, cause).into());
    }
    let body = response.body_mut().with_config().limit(MAX_ANSWER).read_to_vec()?;
    Ok((response.status().as_u16(), body))
}

#[allow(clippy::needless_pass_by_value, reason = "an argument of map_err")]
fn append_failure(error: ureq::Error) -> AppendError {
    let cause = error.to_string();
    if transport::has_sent() {
        AppendError::Unknown { cause }
    } else {
        AppendError::Refused { cause }
    }
}

/// Decodes the offset of an append; without one the record is appended at an unknown offset.
fn offset(body: &[u8]) -> Result<Offset, AppendError> {
    match Appended::decode(body) {
        Ok(Appended { offset }) if offset > 0 => Ok(offset),
        Ok(_) => Err(AppendError::Unknown { cause: "answer without offset".into() }),
        Err(error) => Err(AppendError::Unknown { cause: error.to_string() }),
    }
}
