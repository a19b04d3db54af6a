//! Program that runs the demo of acaciaring on this machine.

use std::error::Error;
use std::path::{Path, PathBuf};

use acaciaring_testing::demo::{DemoOptions, examples, run, sibling_program};

/// Example documents in the source tree from which this program was built.
const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/korenveld");

xflags::xflags! {
    /// Demonstrates publication, routing, ownership, loss of a VM and shutdown on this machine.
    cmd acaciaring-demo {
        /// Directory of Korenveld's documents; examples/korenveld of the source tree by default.
        optional --examples dir: PathBuf
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let flags = AcaciaringDemo::from_env_or_exit();
    let dir = flags.examples.unwrap_or_else(|| Path::new(EXAMPLES).to_owned());
    let daemon = sibling_program("acaciaringd")?;
    let tool = sibling_program("acaciaring")?;
    Ok(run(&DemoOptions { daemon, tool, documents: examples(&dir)? })?)
}
