//! HTTP client helpers for the tests of the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;

/// Timeout of requests and waits.
pub const BOUND: Duration = Duration::from_secs(10);

/// Creates a client with a timeout that returns responses of every status.
pub fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder().http_status_as_error(false).timeout_global(Some(timeout));
    config.build().new_agent()
}

pub fn get(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Answer, ureq::Error> {
    let agent = agent(BOUND);
    let mut get = agent.get(format!("http://{address}{path}"));
    for (name, value) in headers {
        get = get.header(*name, *value);
    }
    Answer::read(get.call()?)
}

pub fn post(address: SocketAddr, path: &str, body: &[u8]) -> Result<Answer, ureq::Error> {
    Answer::read(agent(BOUND).post(format!("http://{address}{path}")).send(body)?)
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// Header `x-acaciaring-refused`.
    pub refused: Option<String>,
    pub body: Vec<u8>,
}

impl Answer {
    fn read(mut response: ureq::http::Response<ureq::Body>) -> Result<Self, ureq::Error> {
        let refused = response.headers().get("x-acaciaring-refused");
        let refused = refused.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = response.body_mut().read_to_vec()?;
        Ok(Self { status: response.status().as_u16(), refused, body })
    }
}
