//! Host of co-ordinators in the bench's simulator. It reads events as JSON lines from standard input, and writes
//! actions as JSON lines to standard output. All decisions are made through [`woadreach_search_driver`].
//!
//! - [`instances`]: all co-ordinators of the process, and the handling of batches.
//! - [`instance`]: one co-ordinator, and the handling of its events.
//! - [`actions`]: conversion of plans into actions.
//! - [`decode`]: decoding of events into the types of the routing decisions.

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

/// Handles one line of input, and writes one line of output.
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
            // The simulator has closed the pipe, and no longer reads actions.
            Err(AdapterError::Output { .. }) => return ExitCode::FAILURE,
            Err(error) => {
                eprintln!("line {}: {error}", index + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
