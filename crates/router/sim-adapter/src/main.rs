//! Hosts co-ordinators on the bench's wire: decodes lines into calls of the decision module and encodes its
//! answers. Keeps the clock, the timers and the searches in hand; decides nothing.

mod decode;
mod host;

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = host::Host::default();
    let mut stdout = std::io::stdout().lock();
    for (n, line) in std::io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(|e| e.to_string()).and_then(|l| host.batch(&l));
        let reply = match reply {
            Ok(reply) => reply,
            Err(why) => {
                eprintln!("line {}: {why}", n + 1);
                return ExitCode::FAILURE;
            }
        };
        if writeln!(stdout, "{reply}")
            .and_then(|()| stdout.flush())
            .is_err()
        {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
