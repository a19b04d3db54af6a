//! Cost of the router: latency and CPU time of a request, and resources of idle members.

mod idle;
mod path;
mod process;

use std::fmt::Write as _;
use std::path::PathBuf;

use crate::error::Result;

/// Options of the cost measurement.
#[derive(Debug, Clone)]
pub struct CostOptions {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Seed of the load generator.
    pub seed: u64,
    /// Numbers of members of the idle systems, measured one after the other.
    pub members: Vec<usize>,
}

/// Measures the costs and returns them as tables in Markdown.
///
/// # Errors
///
/// When a system does not start or the load generator fails.
pub fn measure_cost(options: &CostOptions) -> Result<String> {
    let mut text = String::new();
    _ = writeln!(text, "{}", path::measure(options)?);
    _ = writeln!(text, "{}", idle::measure(options)?);
    Ok(text)
}
