//! A server that is full at times sends some answers twice, the second time late.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use std::{env, fs, process, thread};

use crate::client::Clients;
use crate::judge::Judge;
use crate::node::{APP, CONFIG, CONTROL, Node, OUTBOUND, STORE, block};
use crate::record::Record;
use crate::server::{Server, Settings, Trouble};
use crate::store::Store;

/// Rounds of trouble, each as long as the pages have it.
const ROUNDS: usize = 16;
const ROUND: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_millis(500);

/// Time after which no further round begins.
const LIMIT: Duration = Duration::from_secs(100);

/// Time after which a case is given up.
const LONGEST: Duration = Duration::from_secs(116);

/// Share of requests that a server turns away, and of answers that it sends twice, in thousandths.
const SHED: u64 = 250;
const EXTRA: u64 = 30;

const SERVICES: [&str; 9] = [
    "contracts", "contracts", "contracts", "contracts", "contracts", "contracts", "contracts",
    "contracts", "quality-lab",
];

/// Servers of `contracts`, and those of them that send extra answers: at most three fifths.
const KEYED: usize = 8;
const SPOILT: usize = 4;

pub struct World {
    pub record: Arc<Record>,
    pub judge: Arc<Judge>,
    pub nodes: Vec<Arc<Node>>,
    pub dir: PathBuf,
}

impl World {
    /// Starts the store and the nodes.
    pub fn start(path: &str, services: &[&str]) -> Self {
        let record = Arc::new(Record::create(path));
        let judge = Arc::new(Judge::new(Arc::clone(&record)));
        let dir = env::temp_dir().join(format!("acaciaring-review-{}", process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let block = block();
        let store = Store::start(format!("{block}12:{STORE}").parse().expect("an address"));
        store.put("keyed.op", "config", CONFIG.as_bytes());
        let nodes: Vec<Arc<Node>> = services
            .iter()
            .enumerate()
            .map(|(number, service)| Arc::new(Node::new(&dir, &block, number, service, store.address)))
            .collect();
        for node in &nodes {
            node.start();
        }
        let watched = nodes.clone();
        thread::spawn(move || {
            thread::sleep(LONGEST);
            for node in &watched {
                node.kill();
            }
            println!("could not run: not over after {} s", LONGEST.as_secs());
            process::exit(2);
        });
        Self { record, judge, nodes, dir }
    }

    pub fn server(&self, number: usize, id: &str, control: std::net::SocketAddr, work: u64) -> Arc<Server> {
        let node = &self.nodes[number];
        let settings = Settings {
            name: node.name.clone(),
            id: id.to_owned(),
            service: node.service.clone(),
            zone: node.zone.clone(),
            keyed: node.service == "contracts",
            address: node.address(APP),
            control,
            work,
        };
        let (record, judge) = (Arc::clone(&self.record), Arc::clone(&self.judge));
        Server::start(settings, Arc::new(Trouble::default()), record, judge, number as u64 + 1)
    }

    /// Waits until all nodes are ready and all keys are held.
    pub fn wait(&self, servers: &[Arc<Server>]) -> Result<(), String> {
        let began = Instant::now();
        loop {
            let keys: u32 = servers.iter().map(|server| server.keys()).sum();
            if keys == 65536 && self.nodes.iter().all(|node| node.is_ready()) {
                self.record.add("all nodes are ready, and all keys are held");
                return Ok(());
            }
            if began.elapsed() > Duration::from_secs(20) {
                return Err(format!("after 20 s {keys} keys are held"));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn clients(&self, count: u64, rate: f64, once: u64, ended: &Arc<AtomicBool>) {
        for (number, node) in self.nodes.iter().enumerate() {
            let clients = Clients {
                entry: node.address(OUTBOUND),
                name: node.name.clone(),
                rate,
                once,
                ended: Arc::clone(ended),
                record: Arc::clone(&self.record),
                judge: Arc::clone(&self.judge),
            };
            clients.start(count, number as u64 + 1);
        }
    }

    /// Compares what servers hold until the case ends.
    pub fn watch(&self, ended: &Arc<AtomicBool>) {
        let (judge, ended) = (Arc::clone(&self.judge), Arc::clone(ended));
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                judge.compare();
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    /// Ends all processes and returns the broken rules.
    pub fn end(self) -> Vec<String> {
        for node in &self.nodes {
            node.kill();
        }
        let broken = self.judge.verdict();
        self.record.flush();
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
        broken
    }
}

pub fn play(path: &str, trouble: bool) -> Result<Vec<String>, String> {
    let began = Instant::now();
    let world = World::start(path, &SERVICES);
    let servers: Vec<Arc<Server>> = (0..SERVICES.len())
        .map(|number| {
            let control = world.nodes[number].address(CONTROL);
            world.server(number, &format!("i-{}", number + 1), control, 30)
        })
        .collect();
    if let Err(cause) = world.wait(&servers) {
        world.end();
        return Err(cause);
    }
    let ended = Arc::new(AtomicBool::new(false));
    world.watch(&ended);
    world.clients(8, 1.6, 80, &ended);
    for round in 0..ROUNDS {
        thread::sleep(CALM);
        if began.elapsed() > LIMIT || world.judge.refused() > 0 {
            break;
        }
        if trouble {
            world.record.add(&format!(
                "round {round}: all servers turn requests away, {SPOILT} send extra answers"
            ));
            for (number, server) in servers[..KEYED].iter().enumerate() {
                server.trouble.shed.store(SHED, Ordering::SeqCst);
                let extra = if number < SPOILT { EXTRA } else { 0 };
                server.trouble.extra.store(extra, Ordering::SeqCst);
            }
        }
        thread::sleep(ROUND);
        for server in &servers {
            server.trouble.shed.store(0, Ordering::SeqCst);
            server.trouble.extra.store(0, Ordering::SeqCst);
        }
    }
    ended.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    Ok(world.end())
}
