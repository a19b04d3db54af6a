//! Plays a case: the platform, its servers and clients are stand-ins in this process, the nodes are
//! processes of the project, started as its deploy file says.

mod beats;
mod client;
mod extra;
mod http;
mod judge;
mod node;
mod proxy;
mod record;
mod rng;
mod server;
mod stop;
mod store;

use std::env;
use std::process::exit;

fn main() {
    let name = env::args().nth(1).unwrap_or_default();
    let path = env::args().nth(2).unwrap_or_else(|| "record.txt".to_owned());
    let trouble = env::var("TROUBLE").is_ok_and(|value| value == "0");
    let outcome = match name.as_str() {
        "extra" => extra::play(&path, !trouble),
        "stop" => stop::play(&path, !trouble),
        "beats" => beats::play(&path, !trouble),
        _ => Err(format!("no case is called {name:?}")),
    };
    match outcome {
        Ok(broken) if broken.is_empty() => {
            println!("the rules held");
            exit(0);
        }
        Ok(broken) => {
            println!("broken {} times, first: {}", broken.len(), broken[0]);
            exit(1);
        }
        Err(cause) => {
            println!("could not run: {cause}");
            exit(2);
        }
    }
}
