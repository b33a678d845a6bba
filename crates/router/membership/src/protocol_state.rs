//! Callbacks of the `foca` crate: timers, messages to send, and notifications of members that join or go down.

use crate::actions::{Actions, MembershipEvent, OutgoingMessage};
use crate::member::Member;
use crate::view::View;
use foca::{Notification, Runtime, Timer};
use std::collections::BTreeMap;
use std::time::Duration;

/// Limit on the local health score (Lifeguard, "Local Health Multiplier").
const MAX_LOCAL_HEALTH: u8 = 8;
/// Increase of a timeout with each step of the local health score, as a fraction of the timeout. Lifeguard uses 1, with
/// which one side of a partition took over 10 s to detect it.
const HEALTH_STEP: f64 = 1.0 / 4.0;
/// Local health score from which a member reports itself as partitioned. The score increases with each probe that fails
/// both directly and indirectly, and decreases with each successful one. At 30 % packet loss, one probe in five fails.
const PARTITIONED_HEALTH: u8 = 4;

/// Converts a time to microseconds, rounded up.
fn micros(time_s: f64) -> u64 {
    (time_s.max(0.0) * 1e6).ceil() as u64
}

/// The due time of a timer, and a sequence number that orders timers with the same due time by when they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due_micros: u64,
    number: u64,
}

/// The state that is changed by callbacks of `foca`.
pub(crate) struct ProtocolState {
    /// Time of the current call, in seconds.
    pub(crate) now_s: f64,
    timers: BTreeMap<TimerKey, Timer<Member>>,
    /// Number of timers that were set so far, for [`TimerKey::number`].
    timers_set: u64,
    /// Lifeguard's local health score of this member, from 0 (healthy) to [`MAX_LOCAL_HEALTH`].
    local_health: u8,
    /// Whether the current probe has failed, so that a member is suspected.
    probe_failed: bool,
    /// Actions since the last call of [`ProtocolState::take_actions`].
    actions: Actions,
    pub(crate) view: View,
}

impl ProtocolState {
    pub(crate) fn new(now_s: f64, view: View) -> ProtocolState {
        ProtocolState {
            now_s,
            timers: BTreeMap::new(),
            timers_set: 0,
            local_health: 0,
            probe_failed: false,
            actions: Actions::default(),
            view,
        }
    }

    pub(crate) fn local_health(&self) -> u8 {
        self.local_health
    }

    /// Returns the time at which the next timer is due, in seconds; `None` if no timer is set.
    pub(crate) fn next_timer_s(&self) -> Option<f64> {
        let (key, _) = self.timers.first_key_value()?;
        Some(key.due_micros as f64 / 1e6)
    }

    /// Removes and returns the first timer that is due at `now_s`.
    pub(crate) fn take_due_timer(&mut self, now_s: f64) -> Option<Timer<Member>> {
        let first = self.timers.first_entry()?;
        (first.key().due_micros <= micros(now_s)).then(|| first.remove())
    }

    /// Delays all timers, and raises the local health score because this member has stalled.
    pub(crate) fn delay_timers(&mut self, delay_s: f64) {
        let delay_micros = micros(delay_s);
        let timers = std::mem::take(&mut self.timers);
        let delayed = timers.into_iter().map(|(key, timer)| {
            let due_micros = key.due_micros + delay_micros;
            (TimerKey { due_micros, ..key }, timer)
        });
        self.timers = delayed.collect();
        self.local_health = (self.local_health + 2).min(MAX_LOCAL_HEALTH);
    }

    /// Clears the outcome of the last probe. Must be called before a timer is handled.
    pub(crate) fn clear_probe_failure(&mut self) {
        self.probe_failed = false;
    }

    /// Updates the local health score with the outcome of the last probe.
    pub(crate) fn record_probe_outcome(&mut self) {
        let health = if self.probe_failed {
            self.local_health + 1
        } else {
            self.local_health.saturating_sub(1)
        };
        self.local_health = health.min(MAX_LOCAL_HEALTH);
    }

    /// Updates [`View::is_partitioned`], and returns the actions since the last call.
    pub(crate) fn take_actions(&mut self) -> Actions {
        let is_partitioned = !self.view.has_majority() || self.local_health >= PARTITIONED_HEALTH;
        if is_partitioned != self.view.is_partitioned {
            self.view.is_partitioned = is_partitioned;
            let event = if is_partitioned {
                MembershipEvent::Partitioned
            } else {
                MembershipEvent::Reconnected
            };
            self.actions.events.push(event);
        }
        std::mem::take(&mut self.actions)
    }
}

impl Runtime<Member> for &mut ProtocolState {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) if usize::from(member.id.0) < self.view.roster_size => {
                self.view.live.insert(member.id, member.zone);
                self.view.version += 1;
                self.actions.events.push(MembershipEvent::Up(member.id));
            }
            Notification::MemberDown(member) if self.view.live.remove(&member.id).is_some() => {
                self.view.version += 1;
                self.actions.events.push(MembershipEvent::Down(member.id));
            }
            Notification::Rename(_, member) => {
                if let Some(zone) = self.view.live.get_mut(&member.id) {
                    *zone = member.zone;
                    self.view.version += 1;
                }
            }
            Notification::Rejoin(_) => self.actions.events.push(MembershipEvent::Rejoined),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.actions.messages.push(OutgoingMessage {
            to: to.id,
            bytes: data.to_vec(),
        });
    }

    fn submit_after(&mut self, timer: Timer<Member>, after: Duration) {
        // Probes of a member that is itself slow or badly connected wait longer, as it would otherwise suspect live
        // members. The drawback: it detects actual crashes later, though other members don't.
        let slowdown = match &timer {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                1.0 + f64::from(self.local_health) * HEALTH_STEP
            }
            _ => 1.0,
        };
        self.probe_failed |= matches!(timer, Timer::ChangeSuspectToDown { .. });
        self.timers_set += 1;
        let key = TimerKey {
            due_micros: micros(self.now_s + after.as_secs_f64() * slowdown),
            number: self.timers_set,
        };
        self.timers.insert(key, timer);
    }
}
