//! One process of the program under test: starting it, signalling it by its process id, and reading its log line by
//! line.

use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use tokio::sync::mpsc::UnboundedSender;

/// A line of a process's log.
pub(crate) struct LogLine {
    /// Index of the co-ordinator that wrote the line.
    pub(crate) node: usize,
    /// JSON value of the line.
    pub(crate) fields: Value,
}

/// Deviation of a process's clock from the system clock, passed in the environment variable `WOADREACH_CLOCK`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockSkew {
    /// Rate of the clock; 1 is the system clock's rate.
    pub(crate) rate: f64,
    /// Seconds by which the clock is ahead of the system clock at the start.
    pub(crate) ahead_s: f64,
}

/// Exit status of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessExit {
    /// The process exited with code 0.
    Success,
    /// The process exited with another code, or was ended by a signal.
    Failure,
}

/// A child process. Dropping the value kills it.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts `binary` with a configuration file. Lines of its standard error that are valid JSON are sent to `log`;
    /// other lines are discarded.
    pub(crate) fn start(
        binary: &Path,
        configuration: &Path,
        node: usize,
        clock: Option<ClockSkew>,
        log: UnboundedSender<LogLine>,
    ) -> io::Result<Process> {
        let mut command = Command::new(binary);
        if let Some(ClockSkew { rate, ahead_s }) = clock {
            command.env("WOADREACH_CLOCK", format!("{rate},{ahead_s}"));
        }
        let mut child = command
            .env("PROXY_CONFIG", configuration)
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_DISCOVERY")
            .env("WOADREACH_LOG_FORMAT", "json")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        if let Some(stderr) = child.stderr.take() {
            // The thread ends when the process closes its standard error.
            std::thread::spawn(move || forward_log(stderr, node, &log));
        }
        Ok(Process { child })
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: libc::c_int) {
        if let Ok(id) = libc::pid_t::try_from(self.child.id()) {
            // SAFETY: sends a signal to a child that has not been reaped, so that its process id has not been
            // reused.
            unsafe { libc::kill(id, signal) };
        }
    }

    /// Exit status of the process; `None` while it is running.
    pub(crate) fn exit(&mut self) -> Option<ProcessExit> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(if status.success() {
            ProcessExit::Success
        } else {
            ProcessExit::Failure
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // `kill` has no effect on a process that has exited; `wait` reaps it.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn forward_log(stderr: impl Read, node: usize, log: &UnboundedSender<LogLine>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if let Ok(fields) = serde_json::from_str(&line)
            && log.send(LogLine { node, fields }).is_err()
        {
            return;
        }
    }
}
