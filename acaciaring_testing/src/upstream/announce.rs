//! Periodic announcements of an upstream to its member.

use std::sync::Weak;
use std::thread;
use std::time::Duration;

use serde_json::json;
use ureq::Agent;

use super::control::Announced;
use super::{Check, Shared};

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one announcement, so that an unresponsive member hardly delays the next one.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);

pub(super) fn run(shared: &Weak<Shared>) {
    let agent = Agent::config_builder().timeout_global(Some(ANNOUNCE_TIMEOUT)).build().new_agent();
    while let Some(shared) = shared.upgrade() {
        if shared.stopped() {
            return;
        }
        if let Err(error) = announce(&shared, &agent) {
            tracing::debug!(%error, "announcement to the member failed; will retry");
        }
        drop(shared);
        thread::sleep(ANNOUNCE_INTERVAL);
    }
}

fn announce(shared: &Shared, agent: &Agent) -> Result<(), ureq::Error> {
    shared.sample();
    let Some(address) = shared.announcing() else { return Ok(()) };
    let options = &shared.options;
    let body = json!({
        "workspace": options.workspace,
        "address": shared.http.address(),
        "fenced": shared.state.lock().check != Check::Off,
        "slots": options.slots,
        "connections": options.connections,
        "clock": shared.clock(),
        "phase": shared.phase(),
    });
    let url = format!("http://{address}/v1/announce");
    let post = agent.post(&url).header("content-type", "application/json");
    let answer = post.send(body.to_string())?.body_mut().read_to_vec()?;
    if let Ok(announced) = serde_json::from_slice::<Announced>(&answer) {
        shared.state.lock().announced = Some(announced);
    }
    Ok(())
}
