//! Who holds a duty, from times and messages alone. Owns this member's bids, leases and promises; must never
//! send, wait or read a clock.
//!
//! A lease is a majority of promises. A promise runs from when the acceptor gave it, by the acceptor's
//! clock; the lease from before its holder asked, by the holder's, and ends a margin sooner. So each promise
//! outlasts the lease that it is part of, whatever the way took and as long as no two clocks' rates are
//! further apart than the margin. PaxosLease (Trencseni and others, 2012) is the model; one round does here,
//! since what is agreed on is only who asked first, and who asks in vain gives back what it got.

use crate::message::{FencingToken, Incarnation, Message, Role};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use woadreach_membership::MemberId;

#[derive(Clone, Debug, PartialEq)]
pub struct LeaseConfig {
    /// Seconds of a promise. A holder that dies is missed for so long at most. Six members, 200 deaths each:
    /// with 2 s it was handed on after 1.6 s (0.99: 2.1), with 3 s after 2.4 (3.1), with 5 s after 4.0
    /// (4.4); at 30 % loss none, two and none were lost without cause in 4,000 s. Three, as a holder may
    /// then stand still for 1.8 s after it has renewed.
    pub lease: f64,
    /// A first promise, until its holder has a majority: who asks in vain blocks an acceptor for no longer,
    /// also where its word that it gives up is lost. Longer than `patience` by the margin and a round.
    pub first: f64,
    /// A lease ends so much sooner than its promises. Clocks one per cent fast and one slow are 0.06 s apart
    /// after 3 s; a quarter more than twice that, for timers that come late.
    pub margin: f64,
    /// A holder asks again so often: thrice in a lease, so that one lost round is made up for.
    pub renew: f64,
    /// Acceptors that have not answered are asked again so often: four times the longest way (11 ms) there
    /// and back. With 0.2 s ten leases were lost in 4,000 s at 30 % loss, most before they were whole; with
    /// this two.
    pub again: f64,
    /// Who has no majority by then gives back what it got, and waits up to `backoff` by chance, longer the
    /// further down it is among the candidates.
    pub patience: f64,
    pub backoff: f64,
    /// Acceptors of a duty; of a greater tier these many by a hash of names. Chubby's cells have five: two
    /// may be away, and what a lease costs does not grow with the tier.
    pub acceptors: usize,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        LeaseConfig {
            lease: 3.0,
            first: 1.0,
            margin: 0.15,
            renew: 1.0,
            again: 0.1,
            patience: 0.5,
            backoff: 0.2,
            acceptors: 5,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This member holds the duty from now on.
    Acquired(Role, u32),
    /// It no longer does: its lease has run out, or it has been given back.
    Lost(Role, u32),
}

/// What to send and what has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    pub send: Vec<(MemberId, Message)>,
    pub changes: Vec<LeaseEvent>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseCounters {
    /// Actions under an epoch older than one that was seen.
    pub stale: u64,
    /// Times at which this clock went back, or leapt while a promise was out.
    pub jumped: u64,
    pub held: u64,
    pub lost: u64,
}

/// A promise of this acceptor.
#[derive(Clone, Debug, PartialEq)]
struct Promise {
    fence: FencingToken,
    until: f64,
    /// To a holder, not to one who bids.
    whole: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct Proposal {
    ask: u16,
    /// Seconds of the promises that it asks for.
    term: f64,
    asked: f64,
    /// When those that have not answered are asked again.
    again: f64,
    granted: BTreeSet<MemberId>,
    answered: BTreeSet<MemberId>,
}

/// What this member does about a duty that it would take.
#[derive(Clone, Debug, PartialEq)]
struct Candidate {
    /// Its place among the candidates.
    rank: usize,
    /// Of its bid or lease, and the highest that it was told of in a refusal.
    epoch: u32,
    told: u32,
    /// Bids in vain since it last held or heard a holder: each doubles the wait, up to four times.
    tries: u32,
    bid: Option<Proposal>,
    held_until: Option<f64>,
    /// When it next bids.
    next: f64,
}

#[derive(Clone, Debug)]
pub struct Leases {
    me: MemberId,
    life: Incarnation,
    roster: usize,
    figures: LeaseConfig,
    chance: Pcg64Mcg,
    last: f64,
    /// Until then this acceptor has no memory to speak from.
    silent_until: f64,
    promises: BTreeMap<Role, Promise>,
    /// The latest fence under which an act was taken, and when the last one was.
    seen: BTreeMap<Role, (FencingToken, f64)>,
    /// The latest that this acceptor has promised. Apart from `seen`: a bid in vain that some acceptors had
    /// granted made these refuse the acts of the true holder, whose epoch was lower.
    promised: BTreeMap<Role, FencingToken>,
    bids: BTreeMap<Role, Candidate>,
    asks: u16,
    counts: LeaseCounters,
}

/// The weight of a member for a duty: rendezvous hashing, the same at every member.
fn weight(duty: Role, id: MemberId) -> u64 {
    let duty = match duty {
        Role::EndpointWatch(zone) => u64::from(zone),
        Role::QuotaAllocator(bucket) => 256 + u64::from(bucket),
    };
    let mut x = (duty << 16 | u64::from(id.0)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Leases {
    /// `roster`: the members that there are to be, the same at all of them, `me` among them.
    pub fn new(me: MemberId, roster: usize, figures: LeaseConfig, seed: u64, now: f64) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let life = Incarnation(chance.random());
        // Danger: an acceptor that starts again has forgotten its promises and gives one twice. It is silent
        // for as long as any of them may run. Covers a clock of its own that was slow. Harm: after all have
        // started at once nobody holds anything for a lease's time.
        let silent_until = now + figures.lease + figures.margin;
        Leases {
            me,
            life,
            roster,
            figures,
            chance,
            last: now,
            silent_until,
            promises: BTreeMap::new(),
            seen: BTreeMap::new(),
            promised: BTreeMap::new(),
            bids: BTreeMap::new(),
            asks: 0,
            counts: LeaseCounters::default(),
        }
    }

    pub fn counts(&self) -> &LeaseCounters {
        &self.counts
    }

    pub fn figures(&self) -> &LeaseConfig {
        &self.figures
    }

    /// Those whose promises make a lease on this duty. From the roster, never from who lives: a majority of
    /// those who hear each other may be one of two.
    pub fn acceptors(&self, duty: Role) -> Vec<MemberId> {
        let mut all: Vec<_> = (0..self.roster as u16).map(MemberId).collect();
        if all.len() > self.figures.acceptors {
            all.sort_unstable_by_key(|id| weight(duty, *id));
            all.truncate(self.figures.acceptors);
        }
        all
    }

    /// The first few of these by their weight for a duty: the same at all who see the same members.
    pub fn first(&self, duty: Role, mut members: Vec<MemberId>, most: usize) -> Vec<MemberId> {
        members.sort_unstable_by_key(|id| weight(duty, *id));
        members.truncate(most);
        members
    }

    /// SingletonRoles that are to be done, each with the live members that may do it. What is not named is given
    /// back.
    pub fn want(&mut self, now: f64, duties: &BTreeMap<Role, Vec<MemberId>>) -> Actions {
        let mut acts = self.tick(now);
        let gone: Vec<Role> = self
            .bids
            .keys()
            .filter(|d| !duties.contains_key(d))
            .copied()
            .collect();
        for duty in gone {
            self.give_back(now, duty, &mut acts);
            self.bids.remove(&duty);
        }
        for (duty, members) in duties {
            let before = |id: &&MemberId| weight(*duty, **id) < weight(*duty, self.me);
            if !members.contains(&self.me) {
                self.give_back(now, *duty, &mut acts);
                self.bids.remove(duty);
                continue;
            }
            let rank = members.iter().filter(before).count();
            match self.bids.get_mut(duty) {
                Some(bid) => bid.rank = rank,
                None => {
                    let next = self.after(now, *duty, rank);
                    let none = Candidate {
                        rank,
                        epoch: 0,
                        told: 0,
                        tries: 0,
                        bid: None,
                        held_until: None,
                        next,
                    };
                    self.bids.insert(*duty, none);
                }
            }
        }
        acts
    }

    /// When it makes sense to bid: not while another is heard to hold it, and later the lower the rank.
    fn after(&mut self, now: f64, duty: Role, rank: usize) -> f64 {
        let heard = self
            .seen
            .get(&duty)
            .filter(|s| s.0.holder != self.me)
            .map(|s| s.1 + self.figures.lease);
        let apart = (rank as f64 + self.chance.random::<f64>()) * self.figures.backoff;
        heard.map_or(now, |h| h.max(now)) + apart.min(self.figures.lease)
    }

    /// The fence to act under, if this member holds the duty at this moment.
    pub fn holds(&self, now: f64, duty: Role) -> Option<FencingToken> {
        let bid = self.bids.get(&duty)?;
        // A clock that has gone back proves nothing.
        let held = now >= self.last && bid.held_until.is_some_and(|until| now < until);
        held.then_some(FencingToken {
            epoch: bid.epoch,
            holder: self.me,
            life: self.life,
        })
    }

    pub fn held(&self, now: f64) -> Vec<(Role, FencingToken)> {
        self.bids
            .keys()
            .filter_map(|d| Some((*d, self.holds(now, *d)?)))
            .collect()
    }

    /// The holder that was heard last, and how long ago.
    pub fn holder(&self, now: f64, duty: Role) -> Option<(FencingToken, f64)> {
        self.seen.get(&duty).map(|(fence, at)| (*fence, now - at))
    }

    /// Whether an act under this fence counts.
    ///
    /// Danger: a holder that wakes from a stall acts under a lease that has passed to another. Whoever has
    /// seen a later epoch refuses it. Covers datagrams that come late. Harm: after most acceptors have
    /// forgotten at once an epoch may begin anew, and is refused until its holder has learnt of the old one.
    pub fn accept(&mut self, now: f64, duty: Role, fence: FencingToken) -> bool {
        if let Some((seen, _)) = self.seen.get(&duty)
            && (fence.epoch < seen.epoch || fence.epoch == seen.epoch && fence != *seen)
        {
            self.counts.stale += 1;
            return false;
        }
        self.seen.insert(duty, (fence, now));
        // Another has it: what this one was about to ask for would only be refused.
        if let Some(c) = self
            .bids
            .get(&duty)
            .filter(|c| c.held_until.is_none() && c.bid.is_none())
        {
            let rank = c.rank;
            let next = self.after(now, duty, rank);
            if let Some(c) = self.bids.get_mut(&duty) {
                c.next = next;
            }
        }
        true
    }

    pub fn next_due(&self) -> f64 {
        let due = |c: &Candidate| {
            let bid = c.bid.as_ref().map_or(c.next, |b| b.again);
            c.held_until.map_or(bid, |until| bid.min(until))
        };
        let first = self.bids.values().map(due).fold(f64::INFINITY, f64::min);
        // While a promise is out it looks at its clock often enough to see it leap.
        if self.promises.is_empty() {
            first
        } else {
            first.min(self.last + self.figures.lease / 4.0)
        }
    }

    /// Danger: a clock that leaps ends promises that still run, one that goes back lengthens leases. Neither
    /// can be told from a stall: all of it is treated as a start. Harm: a process that stood still answers
    /// no bid for a lease's time.
    fn look_at_clock(&mut self, now: f64, acts: &mut Actions) {
        let back = now < self.last;
        let leapt = !self.promises.is_empty() && now > self.last + self.figures.lease * 0.75;
        if back || leapt {
            self.counts.jumped += 1;
            self.silent_until = now + self.figures.lease + self.figures.margin;
            self.promises.clear();
            for (duty, c) in &mut self.bids {
                if c.held_until.take().is_some() {
                    self.counts.lost += 1;
                    acts.changes.push(LeaseEvent::Lost(*duty, c.epoch));
                }
                c.bid = None;
                c.next = now + self.figures.backoff;
            }
        }
        self.last = now;
    }

    pub fn heard(&mut self, now: f64, from: MemberId, message: &Message) -> Actions {
        let mut acts = Actions::default();
        self.look_at_clock(now, &mut acts);
        match message {
            Message::Request {
                duty,
                epoch,
                life,
                ask,
                holds,
            } => {
                self.make_way(now, *duty, from, &mut acts);
                let fence = FencingToken {
                    epoch: *epoch,
                    holder: from,
                    life: *life,
                };
                if let Some(answer) = self.answer(now, *duty, fence, *ask, *holds) {
                    acts.send.push((from, answer));
                }
            }
            Message::Granted {
                duty,
                epoch,
                life,
                ask,
            } if *life == self.life => {
                self.granted(now, *duty, *epoch, *ask, from, &mut acts);
            }
            Message::Denied {
                duty,
                epoch,
                life,
                ask,
                wait,
            } if *life == self.life => {
                self.denied(
                    now,
                    *duty,
                    *epoch,
                    *ask,
                    from,
                    f64::from(*wait) / 100.0,
                    &mut acts,
                );
            }
            Message::Release { duty, epoch, life } => {
                let fence = FencingToken {
                    epoch: *epoch,
                    holder: from,
                    life: *life,
                };
                if self.promises.get(duty).is_some_and(|p| p.fence == fence) {
                    self.promises.remove(duty);
                }
            }
            _ => {}
        }
        acts
    }

    /// Danger: two that bid at once each have some of the acceptors, and neither a majority. The one that
    /// comes after the other by its weight gives way. Covers any number of bidders. Harm: where the other
    /// cannot win either, a moment is lost.
    fn make_way(&mut self, now: f64, duty: Role, to: MemberId, acts: &mut Actions) {
        let first = weight(duty, to) < weight(duty, self.me);
        let Some(c) = self.bids.get_mut(&duty) else {
            return;
        };
        if first && c.held_until.is_none() && c.bid.is_some() {
            c.next = now + self.figures.patience;
            self.yield_bid(duty, acts);
        }
    }

    /// The highest epoch that this member knows of.
    fn highest(&self, duty: Role) -> u32 {
        let seen = self.seen.get(&duty).map_or(0, |s| s.0.epoch);
        self.promised.get(&duty).map_or(seen, |f| f.epoch.max(seen))
    }

    fn term(&self, holds: bool) -> f64 {
        if holds {
            self.figures.lease
        } else {
            self.figures.first
        }
    }

    /// As an acceptor. None: it says nothing.
    fn answer(
        &mut self,
        now: f64,
        duty: Role,
        fence: FencingToken,
        ask: u16,
        holds: bool,
    ) -> Option<Message> {
        let FencingToken { epoch, life, .. } = fence;
        if now < self.silent_until || !self.acceptors(duty).contains(&self.me) {
            return None;
        }
        let promised = self.promises.get(&duty).filter(|p| p.until > now);
        let highest = self.highest(duty);
        // Who only bids may give up any moment.
        let wait = promised
            .filter(|p| p.fence != fence)
            .map(|p| if p.whole { p.until - now } else { 0.0 });
        let mine = promised.is_some_and(|p| p.fence == fence);
        let fresh =
            epoch > highest || (epoch == highest && self.promised.get(&duty) == Some(&fence));
        if wait.is_some() || !(mine || fresh) {
            let wait = (wait.unwrap_or(0.0) * 100.0).ceil() as u16;
            return Some(Message::Denied {
                duty,
                epoch: highest,
                life,
                ask,
                wait,
            });
        }
        // Never a shorter one than it has given.
        let until = promised
            .map_or(now, |p| p.until)
            .max(now + self.term(holds));
        let whole = holds || promised.is_some_and(|p| p.whole);
        self.promises.insert(
            duty,
            Promise {
                fence,
                until,
                whole,
            },
        );
        self.promised.insert(duty, fence);
        Some(Message::Granted {
            duty,
            epoch,
            life,
            ask,
        })
    }

    fn granted(
        &mut self,
        now: f64,
        duty: Role,
        epoch: u32,
        ask: u16,
        by: MemberId,
        acts: &mut Actions,
    ) {
        let need = self.acceptors(duty).len() / 2 + 1;
        let Some(c) = self.bids.get_mut(&duty).filter(|c| c.epoch == epoch) else {
            return;
        };
        let Some(bid) = c.bid.as_mut().filter(|b| b.ask == ask) else {
            return;
        };
        bid.answered.insert(by);
        bid.granted.insert(by);
        if bid.granted.len() < need {
            return;
        }
        // Counted from before it asked, and a margin short.
        let until = bid.asked + bid.term - self.figures.margin;
        // A first one is made a whole one at once.
        c.next = if bid.term < self.figures.lease {
            now
        } else {
            bid.asked + self.figures.renew
        };
        c.bid = None;
        if now >= until {
            // Too late to be worth anything; it asks anew.
            c.next = now;
            return;
        }
        let before = c
            .held_until
            .replace(c.held_until.map_or(until, |b| b.max(until)));
        c.tries = 0;
        if before.is_none() {
            self.counts.held += 1;
            acts.changes.push(LeaseEvent::Acquired(duty, epoch));
            let fence = FencingToken {
                epoch,
                holder: self.me,
                life: self.life,
            };
            self.seen.insert(duty, (fence, now));
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn denied(
        &mut self,
        now: f64,
        duty: Role,
        epoch: u32,
        ask: u16,
        by: MemberId,
        wait: f64,
        acts: &mut Actions,
    ) {
        let (most, patience) = (self.acceptors(duty).len(), self.figures.patience);
        let Some(c) = self.bids.get_mut(&duty) else {
            return;
        };
        let Some(bid) = c.bid.as_mut().filter(|b| b.ask == ask) else {
            return;
        };
        c.told = c.told.max(epoch);
        // One that is promised to another for a moment only is asked again.
        if epoch < c.epoch && wait < patience {
            return;
        }
        bid.answered.insert(by);
        let refused = bid.answered.len() - bid.granted.len();
        // A holder that is refused by some keeps what it has until that runs out.
        if c.held_until.is_some() || (most - refused) * 2 > most {
            return;
        }
        c.next = now + wait.min(self.figures.lease);
        if wait >= patience {
            // Somebody holds it: no other bid stood in the way.
            c.tries = 0;
        }
        self.yield_bid(duty, acts);
    }

    /// Gives back what a bid in vain, or a lease, has got.
    fn release(&mut self, duty: Role, acts: &mut Actions) {
        let (others, life) = (self.acceptors(duty), self.life);
        let Some(c) = self.bids.get_mut(&duty) else {
            return;
        };
        c.bid = None;
        let epoch = c.epoch;
        let own = FencingToken {
            epoch,
            holder: self.me,
            life,
        };
        if self.promises.get(&duty).is_some_and(|p| p.fence == own) {
            self.promises.remove(&duty);
        }
        // Twice: where it is lost the acceptor is blocked until its promise runs out.
        for to in others.iter().chain(&others).filter(|to| **to != self.me) {
            acts.send
                .push((*to, Message::Release { duty, epoch, life }));
        }
    }

    /// A bid in vain: the next is later by chance, the more so the more there were and the lower its rank, so
    /// that two that stand in each other's way do not do so again.
    fn yield_bid(&mut self, duty: Role, acts: &mut Actions) {
        if let Some(c) = self.bids.get_mut(&duty) {
            let apart = (c.rank as f64 + self.chance.random::<f64>()) * self.figures.backoff;
            c.next += (apart * f64::from(1u32 << c.tries.min(2))).min(self.figures.lease / 4.0);
            c.tries += 1;
        }
        self.release(duty, acts);
    }

    fn give_back(&mut self, now: f64, duty: Role, acts: &mut Actions) {
        let Some(c) = self.bids.get_mut(&duty) else {
            return;
        };
        let held = c.held_until.take().is_some_and(|until| now < until);
        if held {
            // It ends here, before anybody is told.
            self.counts.lost += 1;
            acts.changes.push(LeaseEvent::Lost(duty, c.epoch));
        }
        if held || c.bid.is_some() {
            self.release(duty, acts);
        }
    }

    pub fn tick(&mut self, now: f64) -> Actions {
        let mut acts = Actions::default();
        self.look_at_clock(now, &mut acts);
        self.promises.retain(|_, p| p.until > now);
        let duties: Vec<Role> = self.bids.keys().copied().collect();
        for duty in duties {
            self.step(now, duty, &mut acts);
        }
        acts
    }

    fn step(&mut self, now: f64, duty: Role, acts: &mut Actions) {
        let f = self.figures.clone();
        let Some(c) = self.bids.get_mut(&duty) else {
            return;
        };
        if c.held_until.is_some_and(|until| now >= until) {
            c.held_until = None;
            self.counts.lost += 1;
            acts.changes.push(LeaseEvent::Lost(duty, c.epoch));
            c.next = now + (c.rank as f64 + self.chance.random::<f64>()) * f.backoff;
            self.release(duty, acts);
            return;
        }
        let held = c.held_until.is_some();
        if let Some(bid) = &mut c.bid {
            // A holder whose round fails begins a new one, so that a majority counts from then on.
            let patience = if held { f.renew } else { f.patience };
            if now < bid.asked + patience {
                if now >= bid.again {
                    bid.again = now + f.again;
                    let (ask, answered) = (bid.ask, bid.answered.clone());
                    self.ask(now, duty, ask, held, &answered, acts);
                }
                return;
            }
            if held {
                c.bid = None;
                c.next = now;
            } else {
                c.next = now;
                return self.yield_bid(duty, acts);
            }
        }
        if now < c.next {
            return;
        }
        let highest = self.highest(duty);
        let Some(c) = self.bids.get_mut(&duty) else {
            return;
        };
        if !held {
            c.epoch = c.epoch.max(c.told).max(highest) + 1;
        }
        self.asks = self.asks.wrapping_add(1);
        let ask = self.asks;
        let term = if held { f.lease } else { f.first };
        c.bid = Some(Proposal {
            ask,
            term,
            asked: now,
            again: now + f.again,
            granted: BTreeSet::new(),
            answered: BTreeSet::new(),
        });
        self.ask(now, duty, ask, held, &BTreeSet::new(), acts);
    }

    /// Asks every acceptor that has not answered; itself without a datagram.
    fn ask(
        &mut self,
        now: f64,
        duty: Role,
        ask: u16,
        holds: bool,
        answered: &BTreeSet<MemberId>,
        acts: &mut Actions,
    ) {
        let Some(epoch) = self.bids.get(&duty).map(|c| c.epoch) else {
            return;
        };
        let life = self.life;
        for to in self.acceptors(duty) {
            if answered.contains(&to) {
                continue;
            }
            if to != self.me {
                acts.send.push((
                    to,
                    Message::Request {
                        duty,
                        epoch,
                        life,
                        ask,
                        holds,
                    },
                ));
                continue;
            }
            let fence = FencingToken {
                epoch,
                holder: self.me,
                life,
            };
            match self.answer(now, duty, fence, ask, holds) {
                Some(Message::Granted { .. }) => self.granted(now, duty, epoch, ask, to, acts),
                Some(Message::Denied { epoch, wait, .. }) => {
                    self.denied(now, duty, epoch, ask, to, f64::from(wait) / 100.0, acts);
                }
                _ => {}
            }
        }
    }

    /// What decides how this member goes on, with times as seen from now: for model checkers.
    pub fn essence(&self, now: f64) -> Vec<i64> {
        let at = |t: f64| ((t - now).clamp(-100.0, 100.0) * 1000.0).round() as i64;
        let duty = |d: &Role| match d {
            Role::EndpointWatch(z) => i64::from(*z),
            Role::QuotaAllocator(b) => 256 + i64::from(*b),
        };
        let fence = |f: &FencingToken| {
            [
                i64::from(f.epoch),
                i64::from(f.holder.0),
                i64::from(f.life.0),
            ]
        };
        let mut all = vec![
            at(self.silent_until).max(0),
            at(self.last),
            i64::from(self.asks),
        ];
        for (d, p) in &self.promises {
            all.extend([-1, duty(d), at(p.until)]);
            all.extend(fence(&p.fence));
        }
        for (d, (f, _)) in &self.seen {
            all.extend([-2, duty(d)]);
            all.extend(fence(f));
        }
        for (d, f) in &self.promised {
            all.extend([-6, duty(d)]);
            all.extend(fence(f));
        }
        for (d, c) in &self.bids {
            let held = c.held_until.map_or(i64::MIN, at);
            all.extend([-3, duty(d), i64::from(c.epoch), held, at(c.next)]);
            if let Some(b) = &c.bid {
                all.extend([-4, i64::from(b.ask), at(b.asked), at(b.again)]);
                all.extend(b.granted.iter().map(|m| i64::from(m.0)));
                all.push(-5);
                all.extend(b.answered.iter().map(|m| i64::from(m.0)));
            }
        }
        all
    }
}
