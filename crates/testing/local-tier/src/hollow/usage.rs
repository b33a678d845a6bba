//! Processor time and memory of processes and threads, as `/proc` tells them.

use std::path::Path;

/// Clock ticks a second in `/proc`, the same on all Linux systems of today.
const TICKS_PER_SECOND: f64 = 100.0;
/// Field of the processor time in user mode in `/proc/PID/stat`, counted from the one after the program's
/// name.
const USER_TIME_FIELD: usize = 11;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time since its start, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident: u64,
}

/// What the process `id` has used; nothing if it has gone.
pub fn of_process(id: u32) -> Option<Usage> {
    let folder = Path::new("/proc").join(id.to_string());
    let cpu_seconds = cpu_seconds(&std::fs::read_to_string(folder.join("stat")).ok()?)?;
    let resident = resident_bytes(&std::fs::read_to_string(folder.join("status")).ok()?)?;
    Some(Usage {
        cpu_seconds,
        resident,
    })
}

/// Processor time of this process's threads whose names begin with `prefix`, in seconds.
pub fn of_threads(prefix: &str) -> f64 {
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let of_thread = |folder: &Path| {
        let name = std::fs::read_to_string(folder.join("comm")).ok()?;
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        name.starts_with(prefix)
            .then(|| cpu_seconds(&stat))
            .flatten()
    };
    threads
        .flatten()
        .filter_map(|thread| of_thread(&thread.path()))
        .sum()
}

/// Processor time of a `stat` file: user and system mode. The name in parentheses may hold anything.
pub fn cpu_seconds(stat: &str) -> Option<f64> {
    let fields = &stat[stat.rfind(')')? + 1..];
    let mut times = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Resident memory of a `status` file, in bytes.
pub fn resident_bytes(status: &str) -> Option<u64> {
    let rest = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = rest.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Mean number of runnable processes over the last minute.
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|load| load.parse().ok())
        .unwrap_or(f64::NAN)
}
