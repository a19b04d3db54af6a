//! Output of the demo on the terminal.

use crate::cluster::Reply;
use crate::error::{AnswerSnafu, Result};
use crate::upstream::Echo;

/// Prints the title of a step.
pub(super) fn print_heading(title: &str) {
    println!("\n== {title}");
}

/// Prints an answer with its verdict and upstream; fails when it belongs to another path.
pub(super) fn print_reply(entry: &str, method: &str, path: &str, reply: &Reply) -> Result<()> {
    let took = reply.took.as_secs_f64() * 1000.0;
    let head = format!("  {entry:<13} {method:<4} {path:<42} {} {}", reply.status, reply.verdict);
    match serde_json::from_str::<Echo>(&reply.body) {
        Ok(echo) if echo.path == path => {
            println!("{head} by {} in {took:.1} ms", echo.upstream);
            Ok(())
        }
        Ok(echo) => {
            AnswerSnafu { what: format!("answer for {} to a request for {path}", echo.path) }.fail()
        }
        Err(_) => {
            println!("{head} ({}) in {took:.1} ms", reply.reason);
            Ok(())
        }
    }
}
