//! What the `foca` crate calls back: timers, messages to send, and notifications of members that come and go.

use crate::actions::{Actions, MembershipEvent, OutgoingMessage};
use crate::member::Member;
use crate::view::View;
use foca::{Notification, Runtime, Timer};
use std::collections::BTreeMap;
use std::time::Duration;

/// Limit on the local health score (Lifeguard, "Local Health Multiplier").
const MAX_LOCAL_HEALTH: u8 = 8;
/// By which part of itself a timeout grows with each step of the local health score. Lifeguard's is 1; with it a side
/// of a partition took over 10 s to detect it.
const HEALTH_STEP: f64 = 1.0 / 4.0;
/// The local health score from which a member reports itself as partitioned. It is the number of its probes that have
/// failed beyond those that succeeded, indirect ones included. At 30 % loss one probe in five fails.
const PARTITIONED_HEALTH: u8 = 4;

/// A time in microseconds, rounded up.
fn micros(time_s: f64) -> u64 {
    (time_s.max(0.0) * 1e6).ceil() as u64
}

/// When a timer is due, and a number that keeps timers of one time in the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due_micros: u64,
    number: u64,
}

/// The state that `foca` changes by callbacks.
pub(crate) struct ProtocolState {
    /// The time of the current call, in seconds.
    pub(crate) now_s: f64,
    timers: BTreeMap<TimerKey, Timer<Member>>,
    /// How many timers were set so far, for [`TimerKey::number`].
    timers_set: u64,
    /// Lifeguard's local health score: how slow or badly connected this member itself seems. 0 is healthy.
    local_health: u8,
    /// Whether the current probe has made a member suspected.
    probe_failed: bool,
    /// Since the last [`ProtocolState::take_actions`].
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

    /// When the next timer is due, in seconds.
    pub(crate) fn next_timer_s(&self) -> Option<f64> {
        let (key, _) = self.timers.first_key_value()?;
        Some(key.due_micros as f64 / 1e6)
    }

    /// Removes the first timer that is due by `now_s`.
    pub(crate) fn take_due_timer(&mut self, now_s: f64) -> Option<Timer<Member>> {
        let first = self.timers.first_entry()?;
        (first.key().due_micros <= micros(now_s)).then(|| first.remove())
    }

    /// Delays all timers, and trusts this member less for a while.
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

    /// Clears the outcome of the last probe. To be called before a timer is handled.
    pub(crate) fn clear_probe_failure(&mut self) {
        self.probe_failed = false;
    }

    /// Adjusts the local health score by the outcome of the last probe.
    pub(crate) fn record_probe_outcome(&mut self) {
        let health = if self.probe_failed {
            self.local_health + 1
        } else {
            self.local_health.saturating_sub(1)
        };
        self.local_health = health.min(MAX_LOCAL_HEALTH);
    }

    /// Updates whether this member seems partitioned, and returns the actions since the last call.
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
        // A member that is itself slow or badly connected would take others for dead, so its probes wait longer. The
        // cost: true crashes are detected later by it, though not by others.
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
