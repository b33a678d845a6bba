//! The events of `woadreachd`'s JSON log that measurements are taken from: their message texts, the names of
//! their fields, and what was read. They are written by the module `peers` of the crate `woadreachd`.

use serde_json::Value;

/// Fields of every event.
const MESSAGE: &str = "message";
const TIMESTAMP: &str = "timestamp";

/// The field that numbers the verdicts on a zone, or the leases of a role.
const EPOCH: &str = "epoch";

/// An event of the log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LogEvent {
    ZoneVerdict(ZoneVerdict),
    RoleAction(RoleAction),
    RolesReport(RolesReport),
    MembershipReport(MembershipReport),
}

impl LogEvent {
    /// The event that a line of the log holds; none if nothing is measured by it.
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
    /// The zone's index; none if its name isn't one of the test's zones.
    pub(crate) zone: Option<usize>,
    /// Odd while the zone is out of service.
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

/// A co-ordinator has performed an action of a singleton role that it holds the lease of.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RoleAction {
    /// The role, as its debug output names it.
    pub(crate) role: String,
    /// The lease's epoch.
    pub(crate) epoch: u64,
    /// When it was logged, in Unix seconds.
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

/// What a process has counted of singleton roles since its start.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RolesReport {
    /// Actions of others that it rejected, since it knew of a later epoch.
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

/// What a process has sent to its peers since its start.
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

/// A count; one that is missing is 0.
fn number(fields: &Value, name: &str) -> u64 {
    fields.get(name).and_then(Value::as_u64).unwrap_or(0)
}

/// The Unix time of a time stamp such as `2026-03-01T00:00:01.5Z`. All processes and the test program share
/// the system's clock.
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
    /// From 0000-03-01, from which the algorithm counts, to 1970-01-01.
    const DAYS_BEFORE_EPOCH: i64 = 719_468;
    // Years begin in March, so that a leap day is a year's last day.
    let (year, month) = if month > 2 {
        (year, month - 3)
    } else {
        (year - 1, month + 9)
    };
    let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    let day_of_year = (153 * month + 2) / 5 + day - 1;
    365 * year + leap_days + day_of_year - DAYS_BEFORE_EPOCH
}
