//! One process of the program under test. It is started, signalled and ended by its process id, and its log is
//! read line by line as it is written.

use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use tokio::sync::mpsc::UnboundedSender;

/// A line of a process's log.
pub(crate) struct LogLine {
    /// The co-ordinator that wrote it.
    pub(crate) node: usize,
    /// The line's JSON object.
    pub(crate) fields: Value,
}

/// A clock that differs from the system's, for the environment variable `WOADREACH_CLOCK`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockSkew {
    /// How fast it runs; 1 is the system clock's rate.
    pub(crate) rate: f64,
    /// Seconds that it is ahead at the start.
    pub(crate) ahead_s: f64,
}

/// How a process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessExit {
    /// With exit code 0.
    Success,
    /// With another exit code, or by a signal.
    Failure,
}

/// A running process. It is killed when this is dropped.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts `binary` with a configuration file. Lines of its standard error that are JSON are sent to `log`,
    /// others are dropped.
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
            // Ends with the process.
            std::thread::spawn(move || forward_log(stderr, node, &log));
        }
        Ok(Process { child })
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: libc::c_int) {
        if let Ok(id) = libc::pid_t::try_from(self.child.id()) {
            // SAFETY: sends a signal to a child that has not been waited for, so that its id is still its
            // own.
            unsafe { libc::kill(id, signal) };
        }
    }

    /// How it has ended; none while it is running.
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
        // One that has ended is only waited for.
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
