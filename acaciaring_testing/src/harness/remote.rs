//! Commands to stand-ins that run as separate processes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use ureq::Agent;

use crate::error::{Error, JsonSnafu, Result};
use crate::upstream::Run;

/// Timeout of a command.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a command to the control address of a stand-in and returns its response.
///
/// # Errors
///
/// Returns an error if there is no response or it cannot be decoded.
pub fn command<T: DeserializeOwned>(address: SocketAddr, control: &impl Serialize) -> Result<T> {
    let body = serde_json::to_vec(control).context(JsonSnafu)?;
    let post = agent().post(format!("http://{address}/control"));
    let answer = post.send(&body[..]).and_then(|mut answer| answer.body_mut().read_to_vec());
    decode(answer)
}

/// Fetches the runs that an upstream has recorded.
///
/// # Errors
///
/// Returns an error if there is no response or it cannot be decoded.
pub fn records(address: SocketAddr) -> Result<Vec<Run>> {
    // A long record exceeds the default limit of `read_to_vec`.
    let get = agent().get(format!("http://{address}/control/record"));
    let answer = get
        .call()
        .and_then(|mut answer| answer.body_mut().with_config().limit(u64::MAX).read_to_vec());
    decode(answer)
}

fn agent() -> Agent {
    Agent::config_builder().timeout_global(Some(TIMEOUT)).build().new_agent()
}

fn decode<T: DeserializeOwned>(answer: std::result::Result<Vec<u8>, ureq::Error>) -> Result<T> {
    let body = answer.map_err(|error| Error::Server { message: error.to_string() })?;
    serde_json::from_slice(&body).context(JsonSnafu)
}
