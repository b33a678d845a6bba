//! The membership protocol of one member: what it does next, from times and messages alone.

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

/// A timer that comes so late shows that the process has stalled, in seconds. Must exceed the time of a probe.
const STALL_THRESHOLD_S: f64 = 0.5;
/// How often each update is sent, as a multiple of the natural logarithm of the number of members (SWIM, section 4.1).
const TRANSMISSION_FACTOR: f64 = 3.0;

/// The membership protocol of one member.
///
/// The driver calls [`tick`](Self::tick) when [`next_due_s`](Self::next_due_s) says so, [`receive`](Self::receive) for
/// each message, and executes the returned [`Actions`]. All times are in seconds of one clock, whose origin doesn't
/// matter.
pub struct Members {
    id: MemberId,
    config: MembershipConfig,
    foca: Foca<Member, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    state: ProtocolState,
    random: Pcg64Mcg,
    /// When this member next announces itself to a missing one.
    next_join_s: f64,
    /// Calls of `foca` that returned an error.
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
        // `Members` announces itself to missing members of the roster instead.
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams {
            frequency: config.gossip_interval,
            num_members: at_least_one(config.gossip_fanout),
        }),
    }
}

impl Members {
    /// The protocol of the member `me`, of `roster_size` members in all.
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
        // At random, so that members that start together don't announce themselves at the same times.
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

    /// Which members are alive.
    pub fn view(&self) -> &View {
        &self.state.view
    }

    /// Lifeguard's local health score, from 0 (healthy) to 8: how slow or badly connected this member itself seems.
    pub fn local_health(&self) -> u8 {
        self.state.local_health()
    }

    /// Messages that the protocol could not use.
    pub fn unusable_messages(&self) -> u64 {
        self.unusable_messages
    }

    /// Up to `limit` live members other than this one, chosen at random.
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

    /// When [`Members::tick`] is due.
    pub fn next_due_s(&self) -> f64 {
        let timer = self.state.next_timer_s();
        timer.map_or(self.next_join_s, |timer| timer.min(self.next_join_s))
    }

    /// Handles a message of the membership protocol. One that is malformed is counted.
    pub fn receive(&mut self, now_s: f64, message: &[u8]) -> Actions {
        self.state.now_s = now_s;
        let result = self.foca.handle_data(message, &mut self.state);
        self.unusable_messages += u64::from(result.is_err());
        self.state.take_actions()
    }

    /// Does what is due.
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

    /// Notifies the others that this member leaves, so that they needn't detect it.
    pub fn leave(&mut self, now_s: f64) -> Actions {
        self.state.now_s = now_s;
        let result = self.foca.leave_cluster(&mut self.state);
        self.unusable_messages += u64::from(result.is_err());
        self.state.take_actions()
    }

    /// Delays all timers by the length of a stall. Without it a process that was stopped, or a machine that slept,
    /// would declare down whomever it was probing, though the answers are waiting in its socket.
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

    /// Announces this member to a random one of the roster that is missing, which makes it join. After a partition, in
    /// which each side has declared the other down, this is how they find each other again.
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
        // The member with this id accepts it, whatever its zone and generation are.
        let member = Member {
            id,
            zone: 0,
            generation: 0,
        };
        let result = self.foca.announce(member, &mut self.state);
        self.unusable_messages += u64::from(result.is_err());
    }
}
