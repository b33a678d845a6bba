//! What a member does next, from times and messages alone. Owns the protocol's state, its timers and what is
//! known of each member; must never send, wait or read a clock.

use crate::member::{Member, MemberId};
use foca::{
    Config, Foca, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Seconds between two probes of a member's own, until it asks others to probe, and from a suspicion
    /// until the suspect counts as down. SWIM's paper has one period for all sizes; one second, as in
    /// `foca`'s own figures for a LAN. A third of it is more than twice the longest way (11 ms there and
    /// back) and a process's share of a core. Four periods as in memberlist's and `foca`'s LAN figures: with
    /// two, six members at 30 % loss declared five downs in 30 s, with four none.
    pub probe_every: f64,
    pub probe_within: f64,
    pub suspect_for: f64,
    /// Others asked to probe where no answer came: SWIM's three.
    pub indirect: usize,
    /// News goes out so often to so many, while there is any. At 30 % loss six members send 7.2 datagrams a
    /// second each with these, 8.0 at every quarter of a second; they know each other within 10 s with
    /// either.
    pub gossip_every: f64,
    pub gossip_to: usize,
    /// Who is not there is asked to join so often: at first, and once more than half of the roster is known.
    pub join_every: f64,
    pub rejoin_every: f64,
    /// One that is down is remembered as such for so long, so that old news of it cannot raise it.
    pub forget_after: f64,
    /// Bytes of a membership message; the rest of a datagram is for zone_gossip.
    pub message: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            probe_every: 1.0,
            probe_within: 0.33,
            suspect_for: 4.0,
            indirect: 3,
            gossip_every: 0.4,
            gossip_to: 1,
            join_every: 0.25,
            rejoin_every: 2.0,
            forget_after: 60.0,
            message: 120,
        }
    }
}

/// Lifeguard's bound on the local health score, from its paper.
const WORST_HEALTH: u8 = 8;
/// So many more probes failed than were answered, by nobody's help either: the trouble is on this side. Five
/// seconds; at 30 % loss one probe in five fails.
const ALONE: u8 = 4;
/// A timer that comes so late tells of a process that has stood still: more than a probe may take.
const STALLED: f64 = 0.5;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    Up(MemberId),
    /// Not heard of any more, by others neither.
    Down(MemberId),
    /// It has been taken for down, and has taken a new turn.
    Rejoined,
    /// Whether it seems to be the one that is cut off.
    CutOff(bool),
}

/// What to send and what has changed.
#[derive(Debug, Default)]
pub struct Actions {
    pub send: Vec<(MemberId, Vec<u8>)>,
    pub changes: Vec<MembershipEvent>,
}

/// Who is there, by one member's word. It counts itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Each with its zone.
    pub live: BTreeMap<MemberId, u8>,
    pub roster: usize,
    /// Danger: a side that is cut off takes all others for dead and acts for them. It hears at most half of
    /// its roster, or its probes fail one after the other, and those it does not hear are unheard, not dead.
    /// Covers also a mass death, in which the living cannot tell the two apart. Harm: after one nothing is
    /// decided in common until half are back.
    pub cut_off: bool,
    /// Counts the changes of `live`, so that what is worked out from it need not be worked out anew.
    pub version: u64,
}

/// What the protocol asks for; lives beside it, since it is called by it.
struct ProtocolState {
    now: f64,
    timers: BTreeMap<(u64, u64), Timer<Member>>,
    timers_set: u64,
    /// Lifeguard: how slow this member itself seems, from failed probes and late timers.
    health: u8,
    failed: bool,
    acts: Actions,
    view: View,
}

fn micros(time: f64) -> u64 {
    (time.max(0.0) * 1e6).ceil() as u64
}

impl Runtime<Member> for &mut ProtocolState {
    fn notify(&mut self, told: Notification<'_, Member>) {
        match told {
            Notification::MemberUp(m) if usize::from(m.id.0) < self.view.roster => {
                self.view.live.insert(m.id, m.zone);
                self.view.version += 1;
                self.acts.changes.push(MembershipEvent::Up(m.id));
            }
            Notification::MemberDown(m) if self.view.live.remove(&m.id).is_some() => {
                self.view.version += 1;
                self.acts.changes.push(MembershipEvent::Down(m.id));
            }
            Notification::Rename(_, m) => {
                if let Some(zone) = self.view.live.get_mut(&m.id) {
                    *zone = m.zone;
                    self.view.version += 1;
                }
            }
            Notification::Rejoin(_) => self.acts.changes.push(MembershipEvent::Rejoined),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.acts.send.push((to.id, data.to_vec()));
    }

    fn submit_after(&mut self, timer: Timer<Member>, after: Duration) {
        // Danger: one that is itself slow or badly connected takes others for dead. The worse it fares, the
        // longer it waits for answers (Lifeguard, at a quarter of its step: with the whole of it a side cut
        // off took over 10 s to see that it was). Harm: true deaths are told later by it, not by others.
        let slower = match &timer {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                1.0 + f64::from(self.health) / 4.0
            }
            _ => 1.0,
        };
        self.failed |= matches!(timer, Timer::ChangeSuspectToDown { .. });
        let at = micros(self.now + after.as_secs_f64() * slower);
        self.timers_set += 1;
        self.timers.insert((at, self.timers_set), timer);
    }
}

pub struct Members {
    me: Member,
    figures: MembershipConfig,
    foca: Foca<Member, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    desk: ProtocolState,
    chance: Pcg64Mcg,
    next_join: f64,
    /// Messages that the protocol could not use.
    pub unusable: u64,
}

fn count(n: usize) -> NonZeroUsize {
    NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN)
}

impl Members {
    /// `roster`: how many members there are to be, `me` among them.
    pub fn new(me: Member, roster: usize, figures: MembershipConfig, seed: u64, now: f64) -> Self {
        let wait = Duration::from_secs_f64;
        // SWIM: each piece of news is told some multiple of log n times; three by the natural one.
        let times = (3.0 * (roster as f64 + 1.0).ln()).ceil().clamp(1.0, 255.0) as u8;
        let config = Config {
            probe_period: wait(figures.probe_every),
            probe_rtt: wait(figures.probe_within),
            num_indirect_probes: count(figures.indirect),
            max_transmissions: NonZeroU8::new(times).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: wait(figures.suspect_for),
            remove_down_after: Some(wait(figures.forget_after)),
            max_packet_size: count(figures.message),
            notify_down_members: true,
            // Who is missing is asked to join by the roster, below.
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(PeriodicParams {
                frequency: wait(figures.gossip_every),
                num_members: count(figures.gossip_to),
            }),
        };
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let foca = Foca::new(
            me.clone(),
            config,
            Pcg64Mcg::seed_from_u64(chance.random()),
            PostcardCodec,
        );
        // Apart, so that members that start together do not ask in step.
        let next_join = now + chance.random::<f64>() * figures.join_every;
        let desk = ProtocolState {
            now,
            timers: BTreeMap::new(),
            timers_set: 0,
            health: 0,
            failed: false,
            acts: Actions::default(),
            view: View {
                live: BTreeMap::from([(me.id, me.zone)]),
                roster,
                cut_off: roster > 1,
                version: 1,
            },
        };
        Members {
            me,
            figures,
            foca,
            desk,
            chance,
            next_join,
            unusable: 0,
        }
    }

    pub fn view(&self) -> &View {
        &self.desk.view
    }

    /// How slow this member takes itself to be, from 0 to 8.
    pub fn health(&self) -> u8 {
        self.desk.health
    }

    /// Members, itself left out, to which something may be told, in no order.
    pub fn some(&mut self, most: usize) -> Vec<MemberId> {
        let mut others: Vec<_> = self
            .desk
            .view
            .live
            .keys()
            .copied()
            .filter(|id| *id != self.me.id)
            .collect();
        let n = most.min(others.len());
        for i in 0..n {
            let j = self.chance.random_range(i..others.len());
            others.swap(i, j);
        }
        others.truncate(n);
        others
    }

    pub fn next_due(&self) -> f64 {
        let timer = self
            .desk
            .timers
            .first_key_value()
            .map(|(k, _)| k.0 as f64 / 1e6);
        timer.map_or(self.next_join, |t| t.min(self.next_join))
    }

    /// A message of the membership protocol has come.
    pub fn heard(&mut self, now: f64, message: &[u8]) -> Actions {
        self.desk.now = now;
        // Nothing in it is worth more than a count: news of strangers is kept out by the roster.
        if self.foca.handle_data(message, &mut self.desk).is_err() {
            self.unusable += 1;
        }
        self.acts()
    }

    /// Whatever is due by now.
    pub fn tick(&mut self, now: f64) -> Actions {
        self.desk.now = now;
        self.unstall(now);
        while let Some(entry) = self
            .desk
            .timers
            .first_entry()
            .filter(|e| e.key().0 <= micros(now))
        {
            let timer = entry.remove();
            let probing = matches!(timer, Timer::ProbeRandomMember(_));
            self.desk.failed = false;
            if self.foca.handle_timer(timer, &mut self.desk).is_err() {
                self.unusable += 1;
            }
            if probing {
                let health = self.desk.health;
                let next = if self.desk.failed {
                    health + 1
                } else {
                    health.saturating_sub(1)
                };
                self.desk.health = next.min(WORST_HEALTH);
            }
        }
        if now >= self.next_join {
            self.ask_to_join();
            let known = self.desk.view.live.len() * 2 > self.desk.view.roster;
            let every = if known {
                self.figures.rejoin_every
            } else {
                self.figures.join_every
            };
            self.next_join = now + every * (0.5 + self.chance.random::<f64>());
        }
        self.acts()
    }

    /// Danger: one that has stood still finds all its timers overdue and condemns whoever it was probing,
    /// whose answers lie unread. All its timers are put off by as long as it stood, and it trusts itself less
    /// for a while. Covers a stopped process and a machine that slept. Harm: none but that wait.
    fn unstall(&mut self, now: f64) {
        let Some(late) = self
            .desk
            .timers
            .first_key_value()
            .map(|(k, _)| now - k.0 as f64 / 1e6)
        else {
            return;
        };
        if late > STALLED {
            let put_off = micros(late);
            let timers = std::mem::take(&mut self.desk.timers);
            self.desk.timers = timers
                .into_iter()
                .map(|((at, n), t)| ((at + put_off, n), t))
                .collect();
            self.desk.health = (self.desk.health + 2).min(WORST_HEALTH);
        }
    }

    /// One of the roster that is not there. After a partition both sides have declared the other down; this
    /// is how they find each other again.
    fn ask_to_join(&mut self) {
        let missing = (0..self.desk.view.roster as u16)
            .map(MemberId)
            .filter(|id| !self.desk.view.live.contains_key(id));
        let missing: Vec<MemberId> = missing.collect();
        if missing.is_empty() {
            return;
        }
        let id = missing[self.chance.random_range(0..missing.len())];
        // Whoever has this name takes it, whatever zone and turn it is by now.
        if self
            .foca
            .announce(
                Member {
                    id,
                    zone: 0,
                    turn: 0,
                },
                &mut self.desk,
            )
            .is_err()
        {
            self.unusable += 1;
        }
    }

    /// Goes with a word, so that nobody has to find out.
    pub fn leave(&mut self, now: f64) -> Actions {
        self.desk.now = now;
        if self.foca.leave_cluster(&mut self.desk).is_err() {
            self.unusable += 1;
        }
        self.acts()
    }

    fn acts(&mut self) -> Actions {
        let cut_off =
            self.desk.view.live.len() * 2 <= self.desk.view.roster || self.desk.health >= ALONE;
        if cut_off != self.desk.view.cut_off {
            self.desk.view.cut_off = cut_off;
            self.desk
                .acts
                .changes
                .push(MembershipEvent::CutOff(cut_off));
        }
        std::mem::take(&mut self.desk.acts)
    }
}
