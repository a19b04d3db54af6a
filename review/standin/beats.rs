//! A server is cut off from its node, crashes behind the cut and starts again; its node is restarted
//! meanwhile. Beats of the crashed server arrive after the new one has registered.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::extra::World;
use crate::node::CONTROL;
use crate::proxy::Path;

const SERVICES: [&str; 6] =
    ["contracts", "contracts", "contracts", "contracts", "contracts", "quality-lab"];

/// Port of the path between the first server and its node.
const PATH: u16 = 8151;

/// Length of the cut, and the time after its begin at which the server crashes.
const CUT: Duration = Duration::from_secs(6);
const CRASH: Duration = Duration::from_millis(4800);

/// Longest time after the cut at which the late beats arrive: that of the longest cut of the pages.
const LATEST: Duration = Duration::from_secs(10);

/// Time between two late beats.
const GAP: Duration = Duration::from_millis(100);

pub fn play(path: &str, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(path, &SERVICES);
    let cable = Path::start(
        world.nodes[0].address(PATH),
        world.nodes[0].address(CONTROL),
        Arc::clone(&world.record),
    );
    let mut servers: Vec<_> = (0..SERVICES.len())
        .map(|number| {
            let port = if number == 0 { PATH } else { CONTROL };
            let control = world.nodes[number].address(port);
            world.server(number, &format!("i-{}", number + 1), control, 30)
        })
        .collect();
    if let Err(cause) = world.wait(&servers) {
        world.end();
        return Err(cause);
    }
    let ended = Arc::new(AtomicBool::new(false));
    world.watch(&ended);
    world.clients(4, 4.0, 30, &ended);
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    if trouble {
        cable.cut(true);
    }
    until(CRASH);
    if trouble {
        servers[0].crash();
    }
    world.record.add("the node beside the first server is stopped");
    let took = world.nodes[0].stop();
    world.record.add(&format!("it has ended after {} ms, and starts again", took.as_millis()));
    thread::sleep(Duration::from_millis(300));
    world.nodes[0].start();
    if trouble {
        servers[0] = world.server(0, "i-1b", world.nodes[0].address(PATH), 30);
    }
    until(CUT);
    cable.cut(false);
    if trouble {
        let healed = Instant::now();
        while servers[0].keys() == 0 && healed.elapsed() < LATEST {
            thread::sleep(Duration::from_millis(10));
        }
        if servers[0].keys() == 0 {
            world.end();
            return Err("the new server holds no keys in time for the late beats".to_owned());
        }
        world.record.add(&format!(
            "{} ms after the cut the new server holds {} keys",
            healed.elapsed().as_millis(),
            servers[0].keys()
        ));
        cable.deliver("i-1", GAP);
    }
    thread::sleep(Duration::from_secs(15));
    ended.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    Ok(world.end())
}
