//! One process of the program under test: started, signalled and ended by its id, its records read as they
//! come. Owns the child; must never outlive it, nor leave it behind.

use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use tokio::sync::mpsc::UnboundedSender;

/// A line of a process's records, as JSON.
pub struct Record {
    pub node: usize,
    pub fields: Value,
}

pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `binary` with this configuration file, under a clock of this rate and so far ahead. What it
    /// writes to standard error and is no JSON is dropped.
    pub fn start(
        binary: &Path,
        config: &Path,
        node: usize,
        clock: Option<(f64, f64)>,
        records: UnboundedSender<Record>,
    ) -> std::io::Result<Process> {
        let mut command = Command::new(binary);
        if let Some((rate, ahead)) = clock {
            command.env("WOADREACH_CLOCK", format!("{rate},{ahead}"));
        }
        let mut child = command
            .env("PROXY_CONFIG", config)
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_DISCOVERY")
            .env("WOADREACH_LOG_FORMAT", "json")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        if let Some(from) = child.stderr.take() {
            // Ends with the process.
            std::thread::spawn(move || {
                for line in BufReader::new(from).lines().map_while(Result::ok) {
                    if let Ok(fields) = serde_json::from_str(&line)
                        && records.send(Record { node, fields }).is_err()
                    {
                        return;
                    }
                }
            });
        }
        Ok(Process { child })
    }

    pub fn signal(&self, signal: libc::c_int) {
        if let Ok(id) = libc::pid_t::try_from(self.child.id()) {
            // SAFETY: sends a signal to a child that has not been waited for, so that its id is still its
            // own.
            unsafe { libc::kill(id, signal) };
        }
    }

    /// Whether it has ended, and well.
    pub fn ended(&mut self) -> Option<bool> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended is only waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
