//! How what a cold replica bears is shared out among the co-ordinators that send to it.
//!
//! Without a word from anybody each may send its even share, one by the number of co-ordinators, which for
//! many of them is less than one part, and most of it falls to co-ordinators that have no part to send. A
//! member that has sent a cold replica nothing lately may **cede** its share for some seconds, by its own
//! clock and whether or not anybody hears of it. The warden hands what was ceded, and nothing else, to
//! members that ask. So the shares in use never add up to more than the whole: who hears nothing keeps the
//! even share, as without a warden.
//!
//! Owns who ceded and who was given what; must never give out what is not known to be ceded for longer.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use woadreach_membership::MemberId;

/// A replica in one life of its: a hash of its name and start. Two that share one also share what they bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaKey(pub u32);

impl ReplicaKey {
    /// FNV-1a, the same at every member.
    pub fn named(name: &str, started_at: f64) -> ReplicaKey {
        let start = (started_at * 1000.0).round() as i64;
        let bytes = name.bytes().chain(start.to_le_bytes());
        ReplicaKey(bytes.fold(0x811c_9dc5, |h: u32, b| {
            (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
        }))
    }

    /// Which warden has it.
    pub fn bucket(self, buckets: u8) -> u8 {
        (self.0.wrapping_mul(0x9e37_79b9) >> 16) as u8 % buckets.max(1)
    }
}

/// What one member says of one cold replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaDemand {
    pub replica: ReplicaKey,
    /// Parts that it would have sent there since its last word; 0: it cedes its share.
    pub wants: u8,
}

/// Of a whole replica, beyond the even share, in 65,535ths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    pub replica: ReplicaKey,
    pub of: u16,
}

/// What a member would send to a cold replica, as its host counts it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalDemand {
    pub replica: ReplicaKey,
    /// Parts that it would have sent there since the last look.
    pub wants: u32,
    /// It has sent some within the rule's window.
    pub sent: bool,
}

#[derive(Clone, Debug)]
pub struct QuotaConfig {
    /// Seconds for which a share is ceded, beyond the rule's window.
    pub cede: f64,
    /// Nothing wanted or sent for so long: it has no use for its share. With the rule's window alone (1 s)
    /// those with a part every few seconds ceded what they wanted next.
    pub idle: f64,
    /// What is given lasts so long: thrice as long as it is asked for anew, and shorter than a cession by
    /// the age of a beacon; as long as a cession, one member came to have two even shares of ten and not
    /// nine.
    pub lasts: f64,
    /// A member speaks to a warden so often, and a warden's beacon is good for so long.
    pub every: f64,
    pub beacon: f64,
    /// The window over which the rule counts: what was sent under a share counts for so long after it.
    pub window: f64,
    /// What a share given out is short of what was ceded, for clocks whose rates differ.
    pub margin: f64,
    /// Replicas that are kept account of.
    pub most: usize,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        QuotaConfig {
            cede: 4.0,
            idle: 4.0,
            lasts: 1.5,
            every: 0.5,
            beacon: 2.0,
            window: 2.0,
            margin: 0.1,
            most: 256,
        }
    }
}

/// The whole of what a replica bears.
const WHOLE: f64 = 65_535.0;

#[derive(Clone, Debug, Default)]
struct Own {
    ceded_until: f64,
    /// What was given, until when, and under which epoch.
    given: (u16, f64),
    wants: u32,
    /// When it last wanted or sent anything.
    busy: f64,
}

/// A member's own account.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    figures: QuotaConfig,
    members: usize,
    own: BTreeMap<ReplicaKey, Own>,
    spoke: f64,
}

impl QuotaShare {
    /// `members`: over how many the rule is split, by the settings.
    pub fn new(members: usize, figures: QuotaConfig) -> QuotaShare {
        QuotaShare {
            figures,
            members: members.max(1),
            own: BTreeMap::new(),
            spoke: f64::NEG_INFINITY,
        }
    }

    /// What the host has counted of the cold replicas that its list names; others are forgotten, but not what
    /// was ceded of them.
    pub fn see(&mut self, now: f64, wants: &[LocalDemand]) {
        for want in wants {
            if self.own.len() >= self.figures.most && !self.own.contains_key(&want.replica) {
                continue;
            }
            let own = self.own.entry(want.replica).or_insert_with(|| Own {
                busy: now,
                ..Own::default()
            });
            own.wants = own.wants.saturating_add(want.wants);
            if want.wants > 0 || want.sent {
                own.busy = now;
            }
        }
        let named = |r: &ReplicaKey| wants.iter().any(|w| w.replica == *r);
        self.own.retain(|r, own| named(r) || own.ceded_until > now);
    }

    /// What to tell the warden of a bucket, if it is time to: `stamp` is that of its latest beacon, heard
    /// `ago`.
    pub fn offers(&mut self, now: f64, bucket: u8, buckets: u8, ago: f64) -> Vec<ReplicaDemand> {
        if ago > self.figures.beacon {
            return Vec::new();
        }
        let (cede, window) = (self.figures.cede + self.figures.window, self.figures.window);
        let mut offers = Vec::new();
        for (replica, own) in self
            .own
            .iter_mut()
            .filter(|(r, _)| r.bucket(buckets) == bucket)
        {
            // Danger: a share that is ceded is used by another within the window in which this one has used
            // it. Only who has sent nothing for a window cedes. Covers parts on their way. Harm: none to who
            // sends.
            let idle = now - own.busy > window.max(self.figures.idle);
            if idle {
                own.ceded_until = now + cede;
            }
            if idle || own.wants > 0 {
                offers.push(ReplicaDemand {
                    replica: *replica,
                    wants: own.wants.min(255) as u8,
                });
                own.wants = 0;
            }
            if offers.len() == crate::message::MAX_MESSAGES {
                break;
            }
        }
        offers
    }

    /// It has no cold replica to speak of.
    pub fn is_idle(&self) -> bool {
        self.own.is_empty()
    }

    /// Whether it is time to speak to wardens.
    pub fn speaks(&mut self, now: f64) -> bool {
        let due = now >= self.spoke + self.figures.every;
        if due {
            self.spoke = now;
        }
        due
    }

    /// A warden has given; until `until` by this member's clock, counted from when it asked.
    pub fn given(&mut self, now: f64, share: QuotaGrant, until: f64) {
        let longest = now + self.figures.cede;
        if let Some(own) = self.own.get_mut(&share.replica).filter(|_| until > now) {
            own.given = (share.of, until.min(longest));
        }
    }

    /// How many times the even share this member may send to the replica; 1 where nothing was said.
    pub fn times(&self, now: f64, replica: ReplicaKey) -> f64 {
        let Some(own) = self.own.get(&replica) else {
            return 1.0;
        };
        let even = if own.ceded_until > now { 0.0 } else { 1.0 };
        let given = if own.given.1 > now {
            f64::from(own.given.0) / WHOLE
        } else {
            0.0
        };
        even + given * self.members as f64
    }
}

#[derive(Clone, Debug, Default)]
struct Account {
    /// Who has ceded, until when by this warden's clock at the least.
    ceded: BTreeMap<MemberId, f64>,
    /// Who was given what: until when it may be used, and until when it therefore counts.
    given: BTreeMap<MemberId, (u16, f64)>,
}

/// The holder's account. Void with its lease: a new warden begins with none, and gives nothing that may
/// still be in use, since it gives nothing for a cession's time after it began.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    figures: QuotaConfig,
    members: usize,
    began: f64,
    accounts: BTreeMap<ReplicaKey, Account>,
}

impl QuotaAllocator {
    pub fn new(members: usize, figures: QuotaConfig, now: f64) -> QuotaAllocator {
        QuotaAllocator {
            figures,
            members: members.max(1),
            began: now,
            accounts: BTreeMap::new(),
        }
    }

    /// A member speaks; it had heard this warden's beacon of `beacon`, so that it cedes from then on at the
    /// earliest. Gives what it may use and until when, by this warden's clock.
    ///
    /// Danger: a share is used twice, by who ceded it and by who was given it, or by two to whom it was
    /// given one after the other. It is given only for as long as it is ceded less the rule's window, and
    /// counts as given for a window longer than it may be used. Covers late, lost and doubled datagrams, and
    /// a former warden's gifts, which have run out. Harm: a share lies idle for a window between two that
    /// use it.
    pub fn offer(
        &mut self,
        now: f64,
        from: MemberId,
        beacon: f64,
        offers: &[ReplicaDemand],
    ) -> (Vec<QuotaGrant>, f64) {
        let f = &self.figures;
        let even = (WHOLE / self.members as f64) as u16;
        let ceded = beacon + (f.cede + f.window) * 0.98 - f.margin;
        let ends = (beacon + f.cede * 0.98 - f.margin).min(now + f.lasts);
        let mut shares = Vec::new();
        for offer in offers {
            if self.accounts.len() >= f.most && !self.accounts.contains_key(&offer.replica) {
                continue;
            }
            let account = self.accounts.entry(offer.replica).or_default();
            account.ceded.retain(|_, until| *until > now);
            account.given.retain(|_, (_, until)| *until > now);
            if offer.wants == 0 {
                let until = account.ceded.entry(from).or_insert(ceded);
                *until = until.max(ceded);
                continue;
            }
            // What it cedes it does not use, and it has begun to want: no more is given of it.
            if now < self.began + f.cede + f.window {
                continue;
            }
            // Ceded until the gift would have run out, and a window more.
            let lasting = account
                .ceded
                .values()
                .filter(|until| **until >= ends + f.window)
                .count();
            let pool = u32::from(even) * lasting as u32;
            let others = account
                .given
                .iter()
                .filter(|g| *g.0 != from)
                .map(|g| u32::from(g.1.0))
                .sum::<u32>();
            let had = account.given.get(&from).map_or(0, |g| g.0);
            let most = pool.saturating_sub(others).min(u32::from(u16::MAX)) as u16;
            // In steps of a part's worth it would be fairer; first come is enough, as it is renewed while
            // wanted.
            let of = if most >= had {
                most.min(had.max(even.saturating_mul(u16::from(offer.wants))))
            } else {
                had
            };
            if of > 0 && most >= had && ends > now {
                account.given.insert(from, (of, ends + f.window));
                shares.push(QuotaGrant {
                    replica: offer.replica,
                    of,
                });
            }
        }
        (shares, ends)
    }

    /// Forgets replicas of which nobody speaks.
    pub fn tidy(&mut self, now: f64) {
        for account in self.accounts.values_mut() {
            account.ceded.retain(|_, until| *until > now);
            account.given.retain(|_, (_, until)| *until > now);
        }
        self.accounts
            .retain(|_, a| !a.ceded.is_empty() || !a.given.is_empty());
    }
}
