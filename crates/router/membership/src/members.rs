//! The membership protocol of one member, as a function of times and messages only.

use crate::actions::Actions;
use crate::config::MembershipConfig;
use crate::member::{Member, MemberId};
use crate::protocol_state::ProtocolState;
use crate::view::View;
use foca::{Config, Foca, NoCustomBroadcast, PeriodicParams, PostcardCodec, Timer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};

/// Lateness of a timer from which the process counts as having stalled, in seconds. Must exceed the duration of a
/// probe.
const STALL_THRESHOLD_S: f64 = 0.5;
/// Number of times that each update is sent, as a multiple of the natural logarithm of the number of members (SWIM,
/// section 4.1).
const TRANSMISSION_FACTOR: f64 = 3.0;

/// The membership protocol of one member.
///
/// The driver calls [`tick`](Self::tick) at the time of [`next_due_s`](Self::next_due_s) and
/// [`receive`](Self::receive) for each message. It executes the returned [`Actions`]. All times are in seconds of one
/// clock, which may have any origin.
pub struct Members {
    id: MemberId,
    config: MembershipConfig,
    foca: Foca<Member, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    state: ProtocolState,
    random: Pcg64Mcg,
    /// Time of the next announcement to a missing member.
    next_join_s: f64,
    /// Number of calls of `foca` that returned an error.
    unusable_messages: u64,
}

fn at_least_one(n: usize) -> NonZeroUsize {
    NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN)
}

fn foca_config(config: &MembershipConfig, roster_size: usize) -> Config {
    let transmissions = (TRANSMISSION_FACTOR * (roster_size as f64 + 1.0).ln()).ceil();
    let transmissions = transmissions.clamp(1.0, 255.0) as u8;
    Config {
        probe_period: config.probe_interval,
        probe_rtt: config.probe_timeout,
        num_indirect_probes: at_least_one(config.indirect_probes),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: config.suspicion_timeout,
        remove_down_after: Some(config.down_memory),
        max_packet_size: at_least_one(config.max_message_bytes),
        notify_down_members: true,
        // `Members` sends announcements to missing members of the roster instead.
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams {
            frequency: config.gossip_interval,
            num_members: at_least_one(config.gossip_fanout),
        }),
    }
}

impl Members {
    /// Creates the state of the member `me` in a roster of `roster_size` members. `seed` determines its random numbers.
    pub fn new(
        me: Member,
        roster_size: usize,
        config: MembershipConfig,
        seed: u64,
        now_s: f64,
    ) -> Members {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let view = View {
            live: BTreeMap::from([(me.id, me.zone)]),
            roster_size,
            is_partitioned: roster_size > 1,
            version: 1,
        };
        let id = me.id;
        let foca = Foca::new(
            me,
            foca_config(&config, roster_size),
            Pcg64Mcg::seed_from_u64(random.random()),
            PostcardCodec,
        );
        // Random, so that members that start simultaneously don't send their announcements simultaneously.
        let next_join_s = now_s + random.random::<f64>() * config.join_interval.as_secs_f64();
        Members {
            id,
            config,
            foca,
            state: ProtocolState::new(now_s, view),
            random,
            next_join_s,
            unusable_messages: 0,
        }
    }

    /// Returns the live members, as seen by this member.
    pub fn view(&self) -> &View {
        &self.state.view
    }

    /// Returns Lifeguard's local health score of this member, from 0 (healthy) to 8 (very slow or badly connected).
    pub fn local_health(&self) -> u8 {
        self.state.local_health()
    }

    /// Returns the number of messages and timers for which the protocol returned an error.
    pub fn unusable_messages(&self) -> u64 {
        self.unusable_messages
    }

    /// Returns up to `limit` random live members other than this one.
    pub fn random_peers(&mut self, limit: usize) -> Vec<MemberId> {
        let live = self.state.view.live.keys().copied();
        let mut peers: Vec<MemberId> = live.filter(|peer| *peer != self.id).collect();
        let chosen = limit.min(peers.len());
        // The first steps of a Fisher-Yates shuffle.
        for i in 0..chosen {
            let j = self.random.random_range(i..peers.len());
            peers.swap(i, j);
        }
        peers.truncate(chosen);
        peers
    }

    /// Returns the time at which [`Members::tick`] is due.
    pub fn next_due_s(&self) -> f64 {
        let timer = self.state.next_timer_s();
        timer.map_or(self.next_join_s, |timer| timer.min(self.next_join_s))
    }

    /// Handles a message of the membership protocol. A malformed message is counted and ignored.
    pub fn receive(&mut self, now_s: f64, message: &[u8]) -> Actions {
        self.state.now_s = now_s;
        let result = self.foca.handle_data(message, &mut self.state);
        self.unusable_messages += u64::from(result.is_err());
        self.state.take_actions()
    }

    /// Handles all timers that are due, and announces this member to a missing one if that is due.
    pub fn tick(&mut self, now_s: f64) -> Actions {
        self.state.now_s = now_s;
        self.absorb_stall(now_s);
        while let Some(timer) = self.state.take_due_timer(now_s) {
            let is_probe = matches!(timer, Timer::ProbeRandomMember(_));
            self.state.clear_probe_failure();
            let result = self.foca.handle_timer(timer, &mut self.state);
            self.unusable_messages += u64::from(result.is_err());
            if is_probe {
                self.state.record_probe_outcome();
            }
        }
        if now_s >= self.next_join_s {
            self.announce_to_missing_member();
            self.schedule_next_join(now_s);
        }
        self.state.take_actions()
    }

    /// Notifies other members that this member leaves, so that they don't have to detect it.
    pub fn leave(&mut self, now_s: f64) -> Actions {
        self.state.now_s = now_s;
        let result = self.foca.leave_cluster(&mut self.state);
        self.unusable_messages += u64::from(result.is_err());
        self.state.take_actions()
    }

    /// Delays all timers by the duration of a stall. Otherwise a process that was stopped, or whose machine was
    /// suspended, would declare the members that it was probing down, although their answers are in its socket buffer.
    fn absorb_stall(&mut self, now_s: f64) {
        if let Some(first) = self.state.next_timer_s() {
            let lateness_s = now_s - first;
            if lateness_s > STALL_THRESHOLD_S {
                self.state.delay_timers(lateness_s);
            }
        }
    }

    fn schedule_next_join(&mut self, now_s: f64) {
        let interval = if self.state.view.has_majority() {
            self.config.rejoin_interval
        } else {
            self.config.join_interval
        };
        let jitter = 0.5 + self.random.random::<f64>();
        self.next_join_s = now_s + interval.as_secs_f64() * jitter;
    }

    /// Announces this member to a random missing member of the roster, which makes this member join. After a partition
    /// in which both sides have declared each other down, they reconnect by these announcements.
    fn announce_to_missing_member(&mut self) {
        let view = &self.state.view;
        let missing: Vec<MemberId> = (0..view.roster_size as u16)
            .map(MemberId)
            .filter(|id| !view.live.contains_key(id))
            .collect();
        if missing.is_empty() {
            return;
        }
        let id = missing[self.random.random_range(0..missing.len())];
        // The member with this id accepts the announcement regardless of its zone and generation.
        let member = Member {
            id,
            zone: 0,
            generation: 0,
        };
        let result = self.foca.announce(member, &mut self.state);
        self.unusable_messages += u64::from(result.is_err());
    }
}
