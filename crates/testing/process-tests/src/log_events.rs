//! Parser for the events of `woadreachd`'s JSON log from which measurements are derived. The message texts and field
//! names must match those that the module `peers` of the crate `woadreachd` writes.

use serde_json::Value;

/// Names of the fields that every event has.
const MESSAGE: &str = "message";
const TIMESTAMP: &str = "timestamp";

/// Name of the field with the epoch of a zone verdict or of a role's lease.
const EPOCH: &str = "epoch";

/// A log event that is measured.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LogEvent {
    ZoneVerdict(ZoneVerdict),
    RoleAction(RoleAction),
    RolesReport(RolesReport),
    MembershipReport(MembershipReport),
}

impl LogEvent {
    /// Parses the fields of a log line. Returns `None` for events that are not measured.
    pub(crate) fn parse(fields: &Value) -> Option<LogEvent> {
        let message = text(fields, MESSAGE)?;
        if ZoneVerdict::MESSAGES.contains(&message) {
            return Some(LogEvent::ZoneVerdict(ZoneVerdict::parse(fields)));
        }
        match message {
            RoleAction::MESSAGE => Some(LogEvent::RoleAction(RoleAction::parse(fields))),
            RolesReport::MESSAGE => Some(LogEvent::RolesReport(RolesReport::parse(fields))),
            MembershipReport::MESSAGE => {
                Some(LogEvent::MembershipReport(MembershipReport::parse(fields)))
            }
            _ => None,
        }
    }
}

/// A co-ordinator has adopted a verdict on a zone.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ZoneVerdict {
    /// Index of the zone; `None` if its name is missing or is not `z` and a number.
    pub(crate) zone: Option<usize>,
    /// Epoch of the verdict; odd if the zone is ejected.
    pub(crate) epoch: u64,
}

impl ZoneVerdict {
    const MESSAGES: [&str; 2] = ["zone ejected", "zone restored"];
    const ZONE: &str = "zone";

    fn parse(fields: &Value) -> ZoneVerdict {
        let zone = text(fields, ZoneVerdict::ZONE);
        ZoneVerdict {
            zone: zone.and_then(|name| name.trim_start_matches('z').parse().ok()),
            epoch: number(fields, EPOCH),
        }
    }
}

/// A co-ordinator has performed an action of a singleton role as its lease holder.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RoleAction {
    /// `Debug` output of the role.
    pub(crate) role: String,
    /// Epoch of the lease.
    pub(crate) epoch: u64,
    /// Time stamp of the log line, in Unix seconds; `None` if it is missing or malformed.
    pub(crate) logged_at: Option<f64>,
}

impl RoleAction {
    const MESSAGE: &str = "role action performed";
    const ROLE: &str = "role";

    fn parse(fields: &Value) -> RoleAction {
        RoleAction {
            role: text(fields, RoleAction::ROLE).unwrap_or("").to_string(),
            epoch: number(fields, EPOCH),
            logged_at: text(fields, TIMESTAMP).and_then(unix_seconds),
        }
    }
}

/// Counters of a process for singleton roles, since its start.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RolesReport {
    /// Actions of other co-ordinators that it rejected because it knew a later epoch.
    pub(crate) stale: u64,
}

impl RolesReport {
    const MESSAGE: &str = "roles reported";
    const STALE: &str = "stale";

    fn parse(fields: &Value) -> RolesReport {
        RolesReport {
            stale: number(fields, RolesReport::STALE),
        }
    }
}

/// Counters of the datagrams that a process has sent to its peers since its start.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MembershipReport {
    pub(crate) datagrams_sent: u64,
    pub(crate) bytes_sent: u64,
}

impl MembershipReport {
    const MESSAGE: &str = "membership reported";
    const DATAGRAMS_SENT: &str = "datagrams_sent";
    const BYTES_SENT: &str = "bytes_sent";

    fn parse(fields: &Value) -> MembershipReport {
        MembershipReport {
            datagrams_sent: number(fields, MembershipReport::DATAGRAMS_SENT),
            bytes_sent: number(fields, MembershipReport::BYTES_SENT),
        }
    }
}

fn text<'a>(fields: &'a Value, name: &str) -> Option<&'a str> {
    fields.get(name).and_then(Value::as_str)
}

/// Returns the unsigned integer of a field, or 0 if it is missing.
fn number(fields: &Value, name: &str) -> u64 {
    fields.get(name).and_then(Value::as_u64).unwrap_or(0)
}

/// Converts a time stamp to Unix seconds, such as `2026-03-01T00:00:01.5Z`. All processes and the test
/// program run on the same machine and use its clock.
fn unix_seconds(timestamp: &str) -> Option<f64> {
    const SECONDS_OF_DAY: f64 = 86_400.0;
    let (date, time) = timestamp.trim_end_matches('Z').split_once('T')?;
    let mut date = date.split('-').map(|n| n.parse::<i64>().ok());
    let days = days_since_epoch(date.next()??, date.next()??, date.next()??);
    let mut time = time.split(':').map(|n| n.parse::<f64>().ok());
    let seconds = time.next()?? * 3600.0 + time.next()?? * 60.0 + time.next()??;
    Some(days as f64 * SECONDS_OF_DAY + seconds)
}

/// Days from 1970-01-01 to a date of the Gregorian calendar, after Howard Hinnant, "chrono-Compatible
/// Low-Level Date Algorithms", `days_from_civil`.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    /// Days from 0000-03-01, the algorithm's origin, to 1970-01-01.
    const DAYS_BEFORE_EPOCH: i64 = 719_468;
    // Years start in March here, so that a leap day is the last day of its year.
    let (year, month) = if month > 2 {
        (year, month - 3)
    } else {
        (year - 1, month + 9)
    };
    let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    let day_of_year = (153 * month + 2) / 5 + day - 1;
    365 * year + leap_days + day_of_year - DAYS_BEFORE_EPOCH
}
