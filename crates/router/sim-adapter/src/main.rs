//! Hosts co-ordinators on the wire of the bench's simulator: JSON lines with events on standard input, JSON
//! lines with actions on standard output. It decides nothing; [`woadreach_search_driver`] does.
//!
//! - [`instances`]: all co-ordinators of a process, and the events for each batch.
//! - [`instance`]: one co-ordinator; [`actions`]: the steps of its plans as actions.
//! - [`decode`]: values of the wire as the plain types of the routing decisions.

mod actions;
mod decode;
mod error;
mod instance;
mod instances;

use error::{AdapterError, InputSnafu, OutputSnafu};
use instances::Instances;
use snafu::ResultExt;
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Handles one line of the input, and writes one line of output.
fn answer_line(
    instances: &mut Instances,
    line: std::io::Result<String>,
    output: &mut impl Write,
) -> Result<(), AdapterError> {
    let reply = instances.handle_batch(&line.context(InputSnafu)?)?;
    writeln!(output, "{reply}")
        .and_then(|()| output.flush())
        .context(OutputSnafu)
}

fn main() -> ExitCode {
    let mut instances = Instances::default();
    let mut output = std::io::stdout().lock();
    for (index, line) in std::io::stdin().lock().lines().enumerate() {
        match answer_line(&mut instances, line, &mut output) {
            Ok(()) => {}
            // The simulator has ended.
            Err(AdapterError::Output { .. }) => return ExitCode::FAILURE,
            Err(error) => {
                eprintln!("line {}: {error}", index + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
