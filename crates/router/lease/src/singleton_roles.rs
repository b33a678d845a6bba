//! All duties of one co-ordinator behind one door, for a host that has a socket and a clock: leases, what
//! their holder does, and what the others make of it. Owns them; must never name a replica but by its hash.

use crate::endpoint_update::{Departure, EndpointUpdates};
use crate::leases::{Actions, LeaseConfig, LeaseCounters, LeaseEvent, Leases};
use crate::message::{MAX_MESSAGES, Message, Role, open, seal};
use crate::quota_allocator::{
    LocalDemand, QuotaAllocator, QuotaConfig, QuotaGrant, QuotaShare, ReplicaDemand, ReplicaKey,
};
use std::collections::BTreeMap;
use woadreach_membership::{MemberId, View};

/// Wardens, each of a bucket of replicas: one for so many members, so that none hears from more of them, and
/// no more than so many, as each costs some 8 datagrams a second of the tier.
const MEMBERS_PER_ALLOCATOR: usize = 64;
const MAX_ALLOCATORS: usize = 4;
/// Of the live members that may hold a duty these many bid for it, the first by a hash of names: more would
/// only stand in each other's way, and with all of them dead the members' view drops them within seconds.
const BIDDERS: usize = 3;
/// A holder tells so often that it lives.
const TELLS: f64 = 0.5;
/// Most bytes of duties in a datagram, and of those that ride on others' datagrams.
const ROOM: usize = 200;
const RIDES: usize = 80;

/// What this co-ordinator is, by its settings.
#[derive(Clone, Debug)]
pub struct LocalMember {
    pub me: MemberId,
    pub zone: u8,
    pub roster: usize,
    /// Over how many co-ordinators the cold rule is split, and its window in seconds; absent where there is
    /// none.
    pub cold: Option<(usize, f64)>,
}

/// What the host has to do.
#[derive(Clone, Debug, Default)]
pub struct RoleActions {
    pub send: Vec<(MemberId, Vec<u8>)>,
    pub changes: Vec<LeaseEvent>,
    /// Actions done under a lease, for the records.
    pub acts: Vec<(Role, u32)>,
    /// Replicas that take no more by a holder's word, and those of which that has lapsed.
    pub closed: Vec<(ReplicaKey, Departure)>,
    pub lapsed: Vec<ReplicaKey>,
}

pub struct SingletonRoles {
    place: LocalMember,
    buckets: u8,
    pub leases: Leases,
    facts: EndpointUpdates,
    ration: Option<QuotaShare>,
    wardens: BTreeMap<u8, QuotaAllocator>,
    /// The latest beacon of each warden, and when it was first heard.
    beacons: BTreeMap<u8, (Message, f64)>,
    told: f64,
    /// Contents that could not be read.
    pub refused: u64,
}

/// Hundredths of a second, around and around.
fn stamp(now: f64) -> u16 {
    ((now * 100.0) as u64 & 0xffff) as u16
}

/// When a stamp was, if that was not long ago.
fn unstamp(now: f64, stamp_then: u16) -> f64 {
    now - f64::from(stamp(now).wrapping_sub(stamp_then)) / 100.0 - 0.01
}

impl SingletonRoles {
    pub fn new(place: LocalMember, figures: LeaseConfig, seed: u64, now: f64) -> SingletonRoles {
        let ration = place.cold.map(|(members, window)| {
            QuotaShare::new(
                members,
                QuotaConfig {
                    window,
                    ..QuotaConfig::default()
                },
            )
        });
        SingletonRoles {
            leases: Leases::new(place.me, place.roster, figures, seed, now),
            facts: EndpointUpdates::default(),
            ration,
            wardens: BTreeMap::new(),
            beacons: BTreeMap::new(),
            told: f64::NEG_INFINITY,
            refused: 0,
            buckets: place
                .roster
                .div_ceil(MEMBERS_PER_ALLOCATOR)
                .clamp(1, MAX_ALLOCATORS) as u8,
            place,
        }
    }

    pub fn counts(&self) -> &LeaseCounters {
        self.leases.counts()
    }

    /// EndpointUpdates by which replicas were closed before the own list told it.
    pub fn ahead(&self) -> u64 {
        self.facts.ahead
    }

    /// This one's own list has spoken of a replica; none: it serves.
    pub fn listed(&mut self, now: f64, replica: ReplicaKey, what: Option<Departure>) {
        self.facts.listed(now, replica, what);
    }

    pub fn times(&self, now: f64, replica: ReplicaKey) -> f64 {
        self.ration.as_ref().map_or(1.0, |r| r.times(now, replica))
    }

    /// Those who may do each duty.
    fn wanted(&self, view: &View) -> BTreeMap<Role, Vec<MemberId>> {
        let mut wanted = BTreeMap::new();
        // Cut off it can hold nothing for long, and bids of its would only disturb.
        if view.cut_off {
            return wanted;
        }
        let zone = self.place.zone;
        let near = view
            .live
            .iter()
            .filter(|m| *m.1 == zone)
            .map(|m| *m.0)
            .collect();
        wanted.insert(
            Role::EndpointWatch(zone),
            self.leases.first(Role::EndpointWatch(zone), near, BIDDERS),
        );
        if self.ration.is_some() {
            for bucket in 0..self.buckets {
                let duty = Role::QuotaAllocator(bucket);
                wanted.insert(
                    duty,
                    self.leases
                        .first(duty, view.live.keys().copied().collect(), BIDDERS),
                );
            }
        }
        wanted
    }

    /// Some ten times a second: who is there, and what is asked of cold replicas.
    pub fn look(&mut self, now: f64, view: &View, wants: &[LocalDemand]) -> RoleActions {
        let mut done = RoleActions::default();
        let acts = self.leases.want(now, &self.wanted(view));
        self.take(now, acts, &mut done);
        if let Some(ration) = &mut self.ration {
            ration.see(now, wants);
        }
        self.act(now, view, &mut done);
        self.speak(now, &mut done);
        done.lapsed = self.facts.lapsed(now);
        done
    }

    pub fn next_due(&self) -> f64 {
        self.leases.next_due()
    }

    pub fn tick(&mut self, now: f64) -> RoleActions {
        let mut done = RoleActions::default();
        let acts = self.leases.tick(now);
        self.take(now, acts, &mut done);
        done
    }

    /// What a holder does, each time with its fence, and only while it holds.
    fn act(&mut self, now: f64, view: &View, done: &mut RoleActions) {
        let tells = now >= self.told + TELLS;
        if tells {
            self.told = now;
        }
        let list = Role::EndpointWatch(self.place.zone);
        if let Some(fence) = self.leases.holds(now, list) {
            let facts = self.facts.due(now);
            if tells || !facts.is_empty() {
                let all = view
                    .live
                    .iter()
                    .filter(|m| *m.1 == self.place.zone && *m.0 != self.place.me);
                let all: Vec<MemberId> = all.map(|m| *m.0).collect();
                // That it lives concerns those who might bid.
                let bidders = self.leases.first(list, all.clone(), BIDDERS);
                let to = if facts.is_empty() { bidders } else { all };
                let bytes = seal(&[Message::EndpointUpdates {
                    duty: list,
                    fence,
                    facts,
                }]);
                done.send
                    .extend(to.into_iter().map(|to| (to, bytes.clone())));
                done.acts.push((list, fence.epoch));
            }
        } else {
            self.facts.drop_untold();
        }
        for bucket in 0..self.buckets {
            let duty = Role::QuotaAllocator(bucket);
            let Some(fence) = self.leases.holds(now, duty) else {
                continue;
            };
            if tells {
                let beacon = Message::Beacon {
                    duty,
                    fence,
                    stamp: stamp(now),
                };
                let to = self
                    .leases
                    .first(duty, view.live.keys().copied().collect(), BIDDERS);
                let bytes = seal(std::slice::from_ref(&beacon));
                let others = to.into_iter().filter(|to| *to != self.place.me);
                done.send.extend(others.map(|to| (to, bytes.clone())));
                done.acts.push((duty, fence.epoch));
                self.beacons.insert(bucket, (beacon, now));
                if let Some(warden) = self.wardens.get_mut(&bucket) {
                    warden.tidy(now);
                }
            }
        }
    }

    /// As one who sends to cold replicas.
    fn speak(&mut self, now: f64, done: &mut RoleActions) {
        let Some(ration) = &mut self.ration else {
            return;
        };
        if !ration.speaks(now) {
            return;
        }
        let mut own_word = Vec::new();
        for (bucket, (beacon, heard)) in &self.beacons {
            let Message::Beacon {
                duty,
                fence,
                stamp: its,
            } = beacon
            else {
                continue;
            };
            let offers = ration.offers(now, *bucket, self.buckets, now - heard);
            for some in offers.chunks(24) {
                let own = stamp(now);
                let offers = some.to_vec();
                let message = Message::Demands {
                    duty: *duty,
                    fence: *fence,
                    stamp: *its,
                    own,
                    offers,
                };
                if fence.holder == self.place.me {
                    own_word.push(message);
                } else {
                    done.send.push((fence.holder, seal(&[message])));
                }
            }
        }
        for message in own_word {
            self.one(now, self.place.me, message, done);
        }
    }

    /// What rides on each datagram: the latest beacons, so that they reach everybody within a few rounds.
    pub fn riders(&self, now: f64) -> Vec<u8> {
        if self.ration.as_ref().is_none_or(QuotaShare::is_idle) && self.wardens.is_empty() {
            return Vec::new();
        }
        let fresh = self
            .beacons
            .values()
            .filter(|b| now - b.1 < QuotaConfig::default().beacon);
        let bytes = seal(&fresh.map(|b| b.0.clone()).collect::<Vec<_>>());
        if bytes.len() > RIDES {
            Vec::new()
        } else {
            bytes
        }
    }

    /// What a datagram said of duties.
    ///
    /// Danger: garbled, forged or replayed words. What cannot be read is counted and dropped whole; what
    /// stands under an older epoch than one that was seen is refused by `accept`.
    pub fn heard(&mut self, now: f64, from: MemberId, bytes: &[u8]) -> RoleActions {
        let mut done = RoleActions::default();
        let Some(messages) = open(bytes, self.place.roster) else {
            self.refused += 1;
            return done;
        };
        debug_assert!(messages.len() <= MAX_MESSAGES);
        for message in messages {
            self.one(now, from, message, &mut done);
        }
        done
    }

    fn one(&mut self, now: f64, from: MemberId, message: Message, done: &mut RoleActions) {
        match message {
            Message::EndpointUpdates { duty, fence, facts } => {
                // Only from the holder itself, and only for this zone.
                if fence.holder != from || duty != Role::EndpointWatch(self.place.zone) {
                    self.refused += 1;
                } else if self.leases.accept(now, duty, fence) {
                    let new = facts.into_iter().filter(|f| self.facts.heard(now, *f));
                    done.closed.extend(new.map(|f| (f.replica, f.what)));
                }
            }
            Message::Beacon {
                duty: Role::QuotaAllocator(bucket),
                fence,
                stamp,
            } if bucket < self.buckets => {
                let known = self.beacons.get(&bucket).is_some_and(|(b, _)| {
                    matches!(b, Message::Beacon { fence: f, stamp: s, .. }
                        if *f == fence && s.wrapping_sub(stamp) < 0x8000)
                });
                // One that rides on many datagrams is old news, not stale.
                if fence.holder == self.place.me || known {
                    return;
                }
                let duty = Role::QuotaAllocator(bucket);
                if self.leases.accept(now, duty, fence) {
                    self.beacons
                        .insert(bucket, (Message::Beacon { duty, fence, stamp }, now));
                }
            }
            Message::Demands {
                duty: Role::QuotaAllocator(bucket),
                fence,
                stamp: its,
                own,
                offers,
            } => {
                self.offered(now, from, bucket, fence, (its, own), &offers, done);
            }
            Message::QuotaGrants {
                duty: duty @ Role::QuotaAllocator(_),
                fence,
                own,
                lasts,
                shares,
            } => {
                let until = unstamp(now, own) + f64::from(lasts) / 100.0;
                if fence.holder != from || !self.leases.accept(now, duty, fence) {
                    return;
                }
                for share in shares {
                    if let Some(ration) = &mut self.ration {
                        ration.given(now, share, until);
                    }
                }
            }
            Message::Request { .. }
            | Message::Granted { .. }
            | Message::Denied { .. }
            | Message::Release { .. } => {
                let acts = self.leases.heard(now, from, &message);
                self.take(now, acts, done);
            }
            _ => self.refused += 1,
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn offered(
        &mut self,
        now: f64,
        from: MemberId,
        bucket: u8,
        fence: crate::message::FencingToken,
        (its, own): (u16, u16),
        offers: &[ReplicaDemand],
        done: &mut RoleActions,
    ) {
        let duty = Role::QuotaAllocator(bucket);
        // Demands made to another epoch of this one are not to it.
        let Some(mine) = self.leases.holds(now, duty).filter(|f| *f == fence) else {
            return;
        };
        let Some(warden) = self.wardens.get_mut(&bucket) else {
            return;
        };
        let (shares, ends) = warden.offer(now, from, unstamp(now, its), offers);
        let lasts = ((ends - now).max(0.0) * 100.0) as u16;
        if shares.is_empty() || lasts == 0 {
            return;
        }
        done.acts.push((duty, mine.epoch));
        if from == self.place.me {
            let until = now + f64::from(lasts) / 100.0;
            for share in shares {
                if let Some(ration) = &mut self.ration {
                    ration.given(now, share, until);
                }
            }
            return;
        }
        let answer: &[QuotaGrant] = &shares;
        for some in answer.chunks(ROOM / 8) {
            let message = Message::QuotaGrants {
                duty,
                fence: mine,
                own,
                lasts,
                shares: some.to_vec(),
            };
            done.send.push((from, seal(&[message])));
        }
    }

    pub fn leave(&mut self, now: f64) -> RoleActions {
        let mut done = RoleActions::default();
        let acts = self.leases.want(now, &BTreeMap::new());
        self.take(now, acts, &mut done);
        done
    }

    fn take(&mut self, now: f64, acts: Actions, done: &mut RoleActions) {
        for change in &acts.changes {
            match (*change, self.place.cold) {
                (
                    LeaseEvent::Acquired(Role::QuotaAllocator(bucket), _),
                    Some((members, window)),
                ) => {
                    let figures = QuotaConfig {
                        window,
                        ..QuotaConfig::default()
                    };
                    self.wardens
                        .insert(bucket, QuotaAllocator::new(members, figures, now));
                }
                (LeaseEvent::Lost(Role::QuotaAllocator(bucket), _), _) => {
                    self.wardens.remove(&bucket);
                    self.beacons.remove(&bucket);
                }
                _ => {}
            }
        }
        done.changes.extend(acts.changes);
        done.send.extend(
            acts.send
                .into_iter()
                .map(|(to, message)| (to, seal(&[message]))),
        );
    }
}
