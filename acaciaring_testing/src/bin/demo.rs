//! Shows the main job of acaciaring on this machine, in one command.

use std::error::Error;
use std::path::{Path, PathBuf};

use acaciaring_testing::demo::{DemoOptions, examples, run, sibling_program};

/// Examples in the repository from which this program was built.
const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/korenveld");

xflags::xflags! {
    /// Shows the main job of acaciaring on this machine: publish, route, own, lose a VM, stop.
    cmd acaciaring-demo {
        /// Directory with the templates and parameters of Korenveld; that of the repository when absent.
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
