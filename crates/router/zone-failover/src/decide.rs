//! The verdicts, and what of the traffic stays near. A deterministic function of reports, the members' view
//! and the verdicts before: all who hear the same decide the same. Owns reports and verdicts; must never read
//! a clock, and no wall clock stands in a verdict: epochs and ages only.

use crate::gossip::{GossipPayload, InvalidPayload, Report, ZoneVerdict};
use std::collections::{BTreeMap, BTreeSet};
use woadreach_membership::{MemberId, View};

#[derive(Clone, Debug)]
pub struct ZoneFailoverConfig {
    /// Seconds for which a report counts: longer than two of the slow ones are apart.
    pub life: f64,
    /// A member's report is renewed so often while nothing is wrong, and while something is.
    pub every: f64,
    pub urgent: f64,
    /// Members whose reports decide, by a hash of their names: as many say as much as all, and their reports
    /// fit into a few datagrams whatever the size of the tier. Of 32 some 21 are outside one of three zones.
    pub voices: usize,
    /// Out: at least so many parts seen of the zone, and this share of them bad. A member tells of the run of
    /// bad ones up to now: with one part in twenty bad by chance, four members reach six together once in
    /// days.
    pub least_seen: u32,
    pub out_share: f64,
    /// Danger: trouble everywhere, an overload say, makes all zones bad, and to shift one out makes it worse;
    /// to a zone that is cut off all others are bad, but not its own. More than half of the other zones that
    /// serve have to be under this share. Harm: with two of three zones lost at once none is shifted.
    pub sound_share: f64,
    /// Back: at least so many parts seen, at most this share bad. Trials are few.
    pub back_seen: u32,
    pub back_share: f64,
    /// Least time in a verdict, doubled by each strike up to `max_consecutive_failovers`: a zone that is out again within
    /// `calm` of its return has one more. Stops flapping.
    pub dwell: f64,
    pub max_consecutive_failovers: u8,
    pub calm: f64,
    /// With nothing seen of it for so many dwells a zone that is out gets a trial return: where copies are
    /// barred there is no trial traffic, and nothing would ever speak for it. Longer than trials are apart (4
    /// s).
    pub blind: f64,
    /// From a return until it has all of its traffic, and the share that it begins with.
    pub ramp: f64,
    pub ramp_from: f64,
    /// Envoy's overprovisioning factor: traffic stays while so many times the healthy share covers it.
    pub headroom: f64,
    /// The most of its even share that the traffic of its own co-ordinators may put on a zone.
    pub crowd: f64,
}

impl Default for ZoneFailoverConfig {
    fn default() -> Self {
        ZoneFailoverConfig {
            life: 3.0,
            every: 1.0,
            urgent: 0.1,
            voices: 32,
            least_seen: 6,
            out_share: 0.75,
            sound_share: 0.25,
            back_seen: 4,
            back_share: 0.2,
            dwell: 1.0,
            max_consecutive_failovers: 5,
            calm: 20.0,
            blind: 6.0,
            ramp: 3.0,
            ramp_from: 0.1,
            headroom: 1.4,
            crowd: 1.2,
        }
    }
}

/// What this co-ordinator itself sees of one zone, lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// Parts that have ended or are overdue, and those of them that were late, failed or unanswered.
    pub seen: u32,
    pub bad: u32,
    /// What its replicas that the list names open can do, in replicas; cold ones count for less.
    pub capacity: f64,
}

/// Even epochs serve, odd ones are out. `since` is by this co-ordinator's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Verdict {
    pub epoch: u32,
    pub since: f64,
    pub consecutive_failovers: u8,
}

impl Verdict {
    pub fn out(&self) -> bool {
        self.epoch % 2 == 1
    }
}

/// A verdict has changed, by this member's own count or by another's word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    pub zone: u8,
    pub verdict: Verdict,
    /// Parts seen and bad that it rests on here.
    pub seen: u32,
    pub bad: u32,
}

struct StoredReport {
    report: Report,
    at: f64,
    told: u32,
}

pub struct Zones {
    me: MemberId,
    zone: u8,
    figures: ZoneFailoverConfig,
    roster: usize,
    verdicts: Vec<Verdict>,
    /// Epochs by the last `decide`, whose changes have been given back.
    given: Vec<u32>,
    reports: BTreeMap<MemberId, StoredReport>,
    /// Those whose reports decide, by a version of the view.
    voices: (u64, BTreeMap<MemberId, u8>),
    /// When anything was last seen of each zone from outside it.
    spoken: Vec<f64>,
    own: Vec<ZoneObservation>,
    /// This one's parts a second.
    demand: f64,
    nth: u8,
    reported: f64,
    /// Taken out by an operator, at this co-ordinator alone.
    pub forced: BTreeSet<u8>,
    regions: Vec<u8>,
    /// GossipPayload that were not taken.
    pub refused: u64,
}

/// The same at every member, and unlike for two of them.
fn rank(id: MemberId) -> u64 {
    let mut x = u64::from(id.0).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A jump of a verdict's epoch that no sound member can have made while another did not hear of it.
const MOST_MISSED: u32 = 64;

/// Bytes of reports in a datagram while nothing is about to change: three of three zones.
const CALM_ROOM: usize = 36;

fn bad_row((seen, bad): (u32, u32)) -> bool {
    seen > 0 && bad * 2 >= seen
}

impl Zones {
    /// `regions`: each zone's region, by number.
    pub fn new(
        me: MemberId,
        zone: u8,
        regions: Vec<u8>,
        roster: usize,
        figures: ZoneFailoverConfig,
        now: f64,
    ) -> Self {
        let zones = regions.len();
        Zones {
            me,
            zone,
            figures,
            roster,
            verdicts: vec![
                Verdict {
                    epoch: 0,
                    since: now,
                    consecutive_failovers: 0
                };
                zones
            ],
            given: vec![0; zones],
            reports: BTreeMap::new(),
            voices: (0, BTreeMap::new()),
            spoken: vec![now; zones],
            own: vec![ZoneObservation::default(); zones],
            demand: 0.0,
            nth: (rank(me) >> 16) as u8,
            reported: f64::NEG_INFINITY,
            forced: BTreeSet::new(),
            regions,
            refused: 0,
        }
    }

    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

    /// When a verdict last changed.
    pub fn turned(&self) -> f64 {
        self.verdicts
            .iter()
            .filter(|v| v.epoch > 0)
            .map(|v| v.since)
            .fold(f64::NEG_INFINITY, f64::max)
    }

    /// What this one sees now; taken into its report when that is due.
    pub fn see(&mut self, now: f64, sights: &[ZoneObservation], demand: f64) {
        for (own, sight) in self.own.iter_mut().zip(sights) {
            *own = *sight;
        }
        self.demand = demand;
        let every = if self.pressing(now) {
            self.figures.urgent
        } else {
            self.figures.every
        };
        if now < self.reported + every - 1e-9 {
            return;
        }
        self.reported = now;
        self.nth = self.nth.wrapping_add(1);
        let rows: Vec<_> = self.own.iter().map(|s| (s.seen, s.bad)).collect();
        let report = Report::new(self.me, self.zone, self.nth, demand, &rows);
        self.reports.insert(
            self.me,
            StoredReport {
                report,
                at: now,
                told: 0,
            },
        );
    }

    /// GossipPayload have come with a datagram.
    pub fn heard(&mut self, now: f64, bytes: &[u8]) -> Result<(), InvalidPayload> {
        let gossip = GossipPayload::open(bytes, self.verdicts.len(), self.roster)
            .inspect_err(|_| self.refused += 1)?;
        for told in &gossip.verdicts {
            self.adopt(now, told);
        }
        for report in gossip.reports {
            let at = now - report.age();
            let stale =
                |k: &StoredReport| report.nth.wrapping_sub(k.report.nth).wrapping_sub(1) >= 127;
            let known = self
                .reports
                .get(&report.member)
                .filter(|k| k.at > now - self.figures.life);
            let dead = at <= now - self.figures.life;
            if report.member != self.me && !dead && !known.is_some_and(stale) {
                self.reports.insert(
                    report.member,
                    StoredReport {
                        report,
                        at,
                        told: 0,
                    },
                );
            }
        }
        Ok(())
    }

    /// The highest epoch stands. Danger: a garbled one far ahead would stand for ever. One that is further
    /// ahead than can have been missed is refused, but by one that knows of none. Harm: one cut off for
    /// longer than so many turns has to be started anew.
    fn adopt(&mut self, now: f64, told: &ZoneVerdict) {
        let v = &mut self.verdicts[usize::from(told.zone)];
        let since = now - told.age();
        if told.epoch > v.epoch {
            if v.epoch > 0 && told.epoch - v.epoch > MOST_MISSED {
                self.refused += 1;
                return;
            }
            *v = Verdict {
                epoch: told.epoch,
                since,
                consecutive_failovers: told
                    .consecutive_failovers
                    .min(self.figures.max_consecutive_failovers),
            };
        } else if told.epoch == v.epoch && told.epoch > 0 {
            // Two may have found it at once: the one who did so first counts, so that ramps are in step.
            v.since = v.since.min(since);
        }
    }

    /// Works out those whose reports decide, where the view has changed: 300 members are too many to sort for
    /// each datagram.
    fn hear(&mut self, view: &View) {
        if self.voices.0 != view.version {
            let mut all: Vec<_> = view
                .live
                .iter()
                .map(|(id, zone)| (rank(*id), *id, *zone))
                .collect();
            all.sort_unstable();
            let first = all.into_iter().take(self.figures.voices);
            self.voices = (
                view.version,
                first.map(|(_, id, zone)| (id, zone)).collect(),
            );
        }
    }

    fn fresh(&self, now: f64) -> impl Iterator<Item = &Report> {
        self.reports
            .values()
            .filter(move |k| k.at > now - self.figures.life)
            .map(|k| &k.report)
    }

    /// Works out the verdicts; gives back those that have changed since the last time.
    pub fn decide(&mut self, now: f64, view: &View) -> Vec<Turn> {
        self.reports.retain(|_, k| k.at > now - self.figures.life);
        self.hear(view);
        let zones = self.verdicts.len();
        let mut turns = Vec::new();
        for zone in 0..zones {
            let pooled = self.pool(now, zone);
            if pooled.seen > 0 {
                self.spoken[zone] = now;
            }
            // A side that is cut off keeps the last verdict in common, and its own judgement beside it.
            if !view.cut_off && pooled.heard * 2 > pooled.outside && pooled.outside >= 2 {
                self.turn(now, zone, &pooled);
            }
            let verdict = self.verdicts[zone];
            if verdict.epoch != self.given[zone] {
                self.given[zone] = verdict.epoch;
                turns.push(Turn {
                    zone: zone as u8,
                    verdict,
                    seen: pooled.seen,
                    bad: pooled.bad,
                });
            }
        }
        turns
    }

    fn turn(&mut self, now: f64, zone: usize, p: &Pooled) {
        let (f, v) = (&self.figures, self.verdicts[zone]);
        let age = now - v.since;
        let dwell =
            f.dwell * f64::from(1u32 << v.consecutive_failovers.min(f.max_consecutive_failovers));
        if v.out() {
            let good =
                p.seen >= f.back_seen && f64::from(p.bad) <= f.back_share * f64::from(p.seen);
            let blind = now - v.since.max(self.spoken[zone]) >= f.blind * dwell;
            if (good && age >= dwell) || blind {
                self.verdicts[zone] = Verdict {
                    epoch: v.epoch + 1,
                    since: now,
                    consecutive_failovers: v.consecutive_failovers,
                };
            }
            return;
        }
        let bad = p.seen >= f.least_seen && f64::from(p.bad) >= f.out_share * f64::from(p.seen);
        // Not by one member's word, nor by a part of them from which alone the zone is cut off; those not
        // heard count for the zone. Over two thirds, so that one unlucky member does not tip an even half.
        let by_most = p.against >= 2 && p.against * 3 > 2 * (p.voters + p.outside - p.heard);
        let out = self.verdicts.iter().filter(|v| v.out()).count();
        let room = (out + 1) * 2 <= self.verdicts.len();
        if bad && by_most && p.others_sound && room && (v.epoch == 0 || age >= f.dwell) {
            let again = v.epoch > 0 && age < f.calm;
            let consecutive_failovers = if again {
                (v.consecutive_failovers + 1).min(f.max_consecutive_failovers)
            } else {
                0
            };
            self.verdicts[zone] = Verdict {
                epoch: v.epoch + 1,
                since: now,
                consecutive_failovers,
            };
        }
    }

    /// What is reported of a zone: by those outside it, and by those inside to whom other zones are sound,
    /// for whom it is not their own way out that is lost. Danger: while traffic stays near, those outside see
    /// next to nothing of a zone (six members agreed on a lost one after 1.6 to 1.8 s). Those heard outside
    /// still have to be a quorum, and what they do see counts against the word of those inside.
    fn pool(&self, now: f64, zone: usize) -> Pooled {
        let voices = &self.voices.1;
        let outside = voices.values().filter(|z| usize::from(**z) != zone).count();
        let mut p = Pooled {
            outside,
            ..Pooled::default()
        };
        let mut others = vec![(0, 0); self.verdicts.len()];
        let sound =
            |(seen, bad): (u32, u32)| f64::from(bad) <= self.figures.sound_share * f64::from(seen);
        let serving: Vec<usize> = (0..others.len())
            .filter(|z| *z != zone && !self.verdicts[*z].out())
            .collect();
        for r in self.fresh(now).filter(|r| voices.contains_key(&r.member)) {
            let outside = usize::from(r.zone) != zone;
            p.heard += usize::from(outside);
            let sees_others = serving.iter().any(|z| r.row(*z).0 > 0 && sound(r.row(*z)));
            let (seen, bad) = r.row(zone);
            // That it is well for those inside says nothing of the way to it.
            if !(outside || sees_others && bad_row((seen, bad))) {
                continue;
            }
            p.seen += seen;
            p.bad += bad;
            p.voters += usize::from(seen > 0);
            p.against += usize::from(bad_row((seen, bad)));
            for (z, sum) in others.iter_mut().enumerate() {
                let (seen, bad) = r.row(z);
                *sum = (sum.0 + seen, sum.1 + bad);
            }
        }
        let sound = serving.iter().filter(|z| sound(others[**z])).count();
        p.others_sound = sound * 2 > serving.len();
        p
    }

    /// Whether something may be about to change, so that reports should travel fast: this one sees a zone
    /// otherwise than its verdict says, or two others do. One other alone is chance: of 300 there is always
    /// one (with one, 300 members sent 2 to 4.7 kB a second each on a calm day).
    pub fn pressing(&self, now: f64) -> bool {
        let turned = |v: &Verdict| v.epoch > 0 && now - v.since < 2.0 * self.figures.dwell;
        if self.verdicts.iter().any(turned) {
            return true;
        }
        let own: Vec<_> = self.own.iter().map(|s| (s.seen, s.bad)).collect();
        if self.at_odds(now, &|z| own[z]).next().is_some() {
            return true;
        }
        let mut by_zone = vec![0; own.len()];
        for r in self.fresh(now).filter(|r| r.member != self.me) {
            self.at_odds(now, &|z| r.row(z))
                .for_each(|z| by_zone[z] += 1);
        }
        by_zone.iter().any(|n| *n >= 2)
    }

    /// Zones that somebody sees otherwise than their verdicts say, unless most zones are bad for it.
    fn at_odds(&self, now: f64, row: &dyn Fn(usize) -> (u32, u32)) -> impl Iterator<Item = usize> {
        let zones = self.verdicts.len();
        let bad = (0..zones).filter(|z| bad_row(row(*z))).count();
        let odd = |z: usize| {
            let (v, (seen, bads)) = (&self.verdicts[z], row(z));
            let good = seen >= 2 && bads == 0;
            if v.out() {
                good && now - v.since > self.figures.dwell
            } else {
                bads >= 2 && bad_row((seen, bads))
            }
        };
        let odd: Vec<usize> = (0..zones).filter(|z| bad * 2 <= zones && odd(*z)).collect();
        odd.into_iter()
    }

    /// What to tell in a datagram with so much room: verdicts first, then the reports told least often.
    pub fn gossip(&mut self, now: f64, room: usize, view: &View) -> Vec<u8> {
        let told = |(zone, v): (usize, &Verdict)| {
            ZoneVerdict::new(zone as u8, v.epoch, now - v.since, v.consecutive_failovers)
        };
        let verdicts = self
            .verdicts
            .iter()
            .enumerate()
            .filter(|(_, v)| v.epoch > 0)
            .map(told);
        let mut gossip = GossipPayload {
            verdicts: verdicts.collect(),
            reports: Vec::new(),
        };
        // The lengths of both lists, and five bytes of epoch and age at the most.
        let mut size = 4 + gossip.verdicts.len() * 12;
        self.hear(view);
        let fresh = now - self.figures.life;
        let room = if self.pressing(now) {
            room
        } else {
            room.min(size + CALM_ROOM)
        };
        // SWIM's limit on how often news is told, by the size of the tier.
        let most = (4.0 * (self.roster as f64 + 1.0).ln()).ceil() as u32;
        let voices = &self.voices.1;
        let mut due: Vec<_> = self
            .reports
            .values_mut()
            .filter(|k| k.at > fresh && k.told < most && voices.contains_key(&k.report.member))
            .collect();
        due.sort_by(|a, b| a.told.cmp(&b.told).then(b.at.total_cmp(&a.at)));
        for kept in due {
            size += kept.report.size();
            if size > room {
                break;
            }
            kept.told += 1;
            gossip.reports.push(kept.report.aged(now - kept.at));
        }
        let bytes = gossip.seal();
        if gossip == GossipPayload::default() || bytes.len() > room {
            Vec::new()
        } else {
            bytes
        }
    }

    /// The share of its traffic that each zone may have: 0 out, 1 serving, between on its way back. The same
    /// at every co-ordinator by the age of the verdict, so that they do not all turn to cold replicas at
    /// once.
    pub fn shares(&self, now: f64) -> Vec<f64> {
        let f = &self.figures;
        let share = |(z, v): (usize, &Verdict)| {
            if v.out() || self.forced.contains(&(z as u8)) {
                0.0
            } else if v.epoch == 0 {
                1.0
            } else {
                (f.ramp_from + (1.0 - f.ramp_from) * (now - v.since) / f.ramp).clamp(0.0, 1.0)
            }
        };
        self.verdicts.iter().enumerate().map(share).collect()
    }

    /// The order of spill: zones to be preferred, and for what share of all parts one of them or of a nearer
    /// group is. Own zone, then own region; what is left has no preference. Each while its health, by all
    /// reports, covers the traffic with headroom, and its own co-ordinators' traffic does not crowd it.
    pub fn ladder(&self, now: f64, view: &View) -> Vec<(BTreeSet<u8>, f64)> {
        let own = BTreeSet::from([self.zone]);
        let home = self.regions.get(usize::from(self.zone));
        let region: BTreeSet<u8> = (0..self.regions.len() as u8)
            .filter(|z| self.regions.get(usize::from(*z)) == home)
            .collect();
        let mut tiers = vec![own];
        if region.len() > 1 && region.len() < self.regions.len() {
            tiers.push(region);
        }
        let mut left = 1.0;
        let mut ladder = Vec::new();
        for tier in tiers {
            left *= 1.0 - self.stays(now, view, &tier);
            ladder.push((tier, 1.0 - left));
        }
        ladder
    }

    /// The share of the traffic from a group of zones that may stay in it.
    fn stays(&self, now: f64, view: &View, tier: &BTreeSet<u8>) -> f64 {
        let (mut seen, mut bad) = (0, 0);
        // Parts a second by zone: reported, and by how many members.
        let mut demand = vec![(0.0, 0usize); self.verdicts.len()];
        for r in self.fresh(now) {
            for z in tier {
                let row = r.row(usize::from(*z));
                (seen, bad) = (seen + row.0, bad + row.1);
            }
            let d = &mut demand[usize::from(r.zone)];
            *d = (d.0 + r.demand(), d.1 + 1);
        }
        let healthy = 1.0 - f64::from(bad) / f64::from(seen.max(1));
        let members =
            |z: usize| view.live.values().filter(|x| usize::from(**x) == z).count() as f64;
        let (all, by) = demand.iter().fold((0.0, 0), |(d, n), x| (d + x.0, n + x.1));
        // A zone of which no report is in is taken to ask as much as the others.
        let mean = |(d, n): (f64, usize)| {
            if n > 0 {
                d / n as f64
            } else {
                all / by.max(1) as f64
            }
        };
        let demand = |z: usize| mean(demand[z]) * members(z);
        let of = |f: &dyn Fn(usize) -> f64| {
            let inside: f64 = tier.iter().map(|z| f(usize::from(*z))).sum();
            let all: f64 = (0..self.verdicts.len()).map(f).sum();
            if all > 0.0 { inside / all } else { 0.0 }
        };
        let (asked, able) = (of(&demand), of(&|z| self.own[z].capacity));
        let crowd = if asked > 0.0 {
            self.figures.crowd * able / asked
        } else {
            1.0
        };
        let shares = self.shares(now);
        let open = tier
            .iter()
            .map(|z| shares[usize::from(*z)])
            .fold(0.0, f64::max);
        (self.figures.headroom * healthy).min(crowd).min(1.0) * open
    }
}

#[derive(Default)]
struct Pooled {
    /// Voices outside the zone, and those of them whose reports are in.
    outside: usize,
    heard: usize,
    seen: u32,
    bad: u32,
    /// Those that see parts of it, and those that see at least half of them bad.
    voters: usize,
    against: usize,
    others_sound: bool,
}
