//! A script: the fleet, its settings, the load, and what goes wrong when. Drawn from a seed, or read from a
//! file and checked against its limits. Owns nothing; must never depend on anything but its seed.

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::fmt;

use crate::load::MEAN_HEAVY;
use crate::network::seed_of;

/// More than one process should be asked to play; said, not tried.
const MOST_NODES: usize = 400;
const MOST_REPLICAS: usize = 200;
const MOST_SECONDS: f64 = 600.0;
const MOST_RATE: f64 = 500.0;
const MOST_FAULTS: usize = 64;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Of every other chance in the run: work, arrivals, jitter.
    pub seed: u64,
    /// Under load; after that it is watched until all is quiet.
    pub seconds: f64,
    pub fleet: Fleet,
    pub settings: Settings,
    pub load: Load,
    /// How datagrams between co-ordinators fare; none where they may not speak.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
    #[serde(rename = "query_type")]
    pub query_types: Vec<QueryType>,
    #[serde(rename = "fault", default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub co_ordinators: usize,
    pub zones: usize,
    pub cells: u64,
    /// Cells that hold each shard.
    pub span: u64,
    pub shards: u64,
    /// Replicas of each cell.
    pub replicas: usize,
    pub cores: usize,
    /// Parts that wait at a replica before it turns further ones away.
    pub room: usize,
    /// The most that a co-ordinator's clock is off, in seconds.
    pub clocks_apart: f64,
    /// The longest one way between two zones, in seconds.
    pub way: f64,
    /// Bytes that a connection holds unread at one end, and unsent at the other.
    pub buffers: usize,
    /// What becomes of calls to discovery that are made while it is silent.
    #[serde(default)]
    pub calls_while_silent: SilentCalls,
}

/// As [`woadreach_fakes::CallsWhileSilent`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SilentCalls {
    #[default]
    Kept,
    ListsLost,
    Lost,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub per_call: usize,
    pub cancelling: bool,
    pub copies: bool,
    pub attempts: usize,
    pub streams: usize,
    pub descriptors: usize,
    pub retry_after: bool,
    pub marks_repeats: bool,
    pub drain_grace: f64,
    pub connect_timeout: f64,
    /// A connection that has been idle for so long is not used again.
    pub idle_close: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub budget: Option<Budget>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold: Option<Cold>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub free: f64,
    pub share: f64,
    pub window: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    pub from: f64,
    pub time: f64,
    pub multiple: f64,
    pub window: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Searches a second at each co-ordinator, on average over them.
    pub rate: f64,
    /// How unlike they are: the deviation of the logarithm of a co-ordinator's part. At 0 all get the same;
    /// at 3 one of thirty may carry half.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub uneven: f64,
    pub retries: usize,
    pub pause: f64,
    pub heeds: bool,
    /// Share of searches whose client goes away before its time is over.
    pub leaves: f64,
}

fn is_zero(n: &f64) -> bool {
    *n == 0.0
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Shares that are lost, and that come twice.
    pub lost: f64,
    pub doubled: f64,
    /// The longest that one is late, in seconds.
    pub late: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    Idempotent,
    Tokened,
    NonIdempotent,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryType {
    pub name: String,
    pub share: f64,
    pub latency_target: f64,
    pub client_timeout: f64,
    pub repeats: Repeats,
    /// In which repeats of a tokened part are told apart, by any of its shard's replicas or by one.
    pub window: f64,
    pub any_holder: bool,
    pub need: f64,
    pub floor: f64,
    pub fetch: usize,
    pub least_parts: usize,
    pub most_parts: usize,
    /// Seconds of one core, on average, for a part.
    pub work: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub at: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "for")]
    pub lasts: f64,
    #[serde(flatten)]
    pub kind: Kind,
}

/// Replicas and co-ordinators are named by their numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Kind {
    /// Their processes die, the list says so `listed_after` later, and they come back cold at the end.
    Die {
        replicas: Vec<usize>,
        listed_after: f64,
    },
    /// Their machines say and hear nothing; back as they were at the end.
    Vanish {
        replicas: Vec<usize>,
    },
    /// Taken out of use as planned, replaced at the end by a cold process.
    Drain {
        replicas: Vec<usize>,
    },
    Hang {
        replicas: Vec<usize>,
    },
    /// So many times slower.
    Slow {
        replicas: Vec<usize>,
        factor: f64,
    },
    Full {
        replicas: Vec<usize>,
    },
    Swallow {
        replicas: Vec<usize>,
        share: f64,
    },
    Errors {
        replicas: Vec<usize>,
        share: f64,
    },
    Spoil {
        replicas: Vec<usize>,
        share: f64,
    },
    Double {
        replicas: Vec<usize>,
        share: f64,
    },
    /// Parts are run and their answers lost with the connection.
    Break {
        replicas: Vec<usize>,
        share: f64,
    },
    /// What has been given up is finished and answered all the same.
    Heedless {
        replicas: Vec<usize>,
    },
    /// Connections are accepted, and frames read, so many seconds late.
    Late {
        replicas: Vec<usize>,
        accepts: f64,
        reads: f64,
    },
    /// The way from one zone to another, and back if `both`.
    Cut {
        from: usize,
        to: usize,
        both: bool,
    },
    /// The agents of these co-ordinators say nothing.
    DiscoverySilent {
        co_ordinators: Vec<usize>,
    },
    /// Their tasks are not run.
    Stall {
        co_ordinators: Vec<usize>,
    },
    StallReplicas {
        replicas: Vec<usize>,
    },
    /// Killed outright, started again at the end.
    Kill {
        co_ordinators: Vec<usize>,
    },
    /// Told to end, started again at the end, after it has ended.
    Restart {
        co_ordinators: Vec<usize>,
    },
    /// Discovery moves to another address, and a hangup says so.
    Reload {
        co_ordinators: Vec<usize>,
    },
    /// So many times the searches.
    Burst {
        factor: f64,
    },
    /// Searches cost so many times as much.
    Costly {
        factor: f64,
    },
    /// Clients that send nothing sound, so many a second at each co-ordinator.
    Rude {
        rate: f64,
    },
}

impl Kind {
    pub fn name(&self) -> &'static str {
        match self {
            Kind::Die { .. } => "die",
            Kind::Vanish { .. } => "vanish",
            Kind::Drain { .. } => "drain",
            Kind::Hang { .. } => "hang",
            Kind::Slow { .. } => "slow",
            Kind::Full { .. } => "full",
            Kind::Swallow { .. } => "swallow",
            Kind::Errors { .. } => "errors",
            Kind::Spoil { .. } => "spoil",
            Kind::Double { .. } => "double",
            Kind::Break { .. } => "break",
            Kind::Heedless { .. } => "heedless",
            Kind::Late { .. } => "late",
            Kind::Cut { .. } => "cut",
            Kind::DiscoverySilent { .. } => "discovery_silent",
            Kind::Stall { .. } => "stall",
            Kind::StallReplicas { .. } => "stall_replicas",
            Kind::Kill { .. } => "kill",
            Kind::Restart { .. } => "restart",
            Kind::Reload { .. } => "reload",
            Kind::Burst { .. } => "burst",
            Kind::Costly { .. } => "costly",
            Kind::Rude { .. } => "rude",
        }
    }

    /// All kinds by name.
    pub const NAMES: [&str; 23] = [
        "die",
        "vanish",
        "drain",
        "hang",
        "slow",
        "full",
        "swallow",
        "errors",
        "spoil",
        "double",
        "break",
        "heedless",
        "late",
        "cut",
        "discovery_silent",
        "stall",
        "stall_replicas",
        "kill",
        "restart",
        "reload",
        "burst",
        "costly",
        "rude",
    ];

    fn replicas(&self) -> &[usize] {
        match self {
            Kind::Die { replicas, .. }
            | Kind::Vanish { replicas }
            | Kind::Drain { replicas }
            | Kind::Hang { replicas }
            | Kind::Slow { replicas, .. }
            | Kind::Full { replicas }
            | Kind::Swallow { replicas, .. }
            | Kind::Errors { replicas, .. }
            | Kind::Spoil { replicas, .. }
            | Kind::Double { replicas, .. }
            | Kind::Break { replicas, .. }
            | Kind::Heedless { replicas }
            | Kind::Late { replicas, .. }
            | Kind::StallReplicas { replicas } => replicas,
            _ => &[],
        }
    }

    fn co_ordinators(&self) -> &[usize] {
        match self {
            Kind::DiscoverySilent { co_ordinators }
            | Kind::Stall { co_ordinators }
            | Kind::Kill { co_ordinators }
            | Kind::Restart { co_ordinators }
            | Kind::Reload { co_ordinators } => co_ordinators,
            _ => &[],
        }
    }
}

/// Why a script cannot be used: where, and what was expected.
#[derive(Clone, Debug, PartialEq)]
pub struct Bad {
    pub file: String,
    /// Counted from 1, where the text is at fault.
    pub at: Option<(usize, usize)>,
    pub why: String,
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.at {
            Some((line, column)) => write!(f, "{}:{line}:{column}: {}", self.file, self.why),
            None => write!(f, "{}: {}", self.file, self.why),
        }
    }
}

impl Script {
    /// Reads one from a file's text; `file` is named in errors.
    pub fn read(file: &str, text: &str) -> Result<Script, Bad> {
        let bad = |at, why: String| Bad {
            file: file.to_string(),
            at,
            why,
        };
        let script: Script = toml::from_str(text).map_err(|e| {
            let at = e.span().map(|span| {
                let before = &text[..span.start.min(text.len())];
                let line = before.matches('\n').count() + 1;
                (
                    line,
                    before.len() - before.rfind('\n').map_or(0, |n| n + 1) + 1,
                )
            });
            bad(at, e.message().to_string())
        })?;
        script.check().map_err(|why| bad(None, why))?;
        Ok(script)
    }

    /// The script as text that `read` takes.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    pub fn replicas(&self) -> usize {
        self.fleet.cells as usize * self.fleet.replicas
    }

    /// Of a part, on average over all query types, in seconds of one core.
    pub fn mean_work(&self) -> f64 {
        let parts = |t: &QueryType| {
            t.share * ((t.least_parts + t.most_parts) as f64 / 2.0 + t.fetch as f64)
        };
        let all: f64 = self.query_types.iter().map(parts).sum();
        self.query_types
            .iter()
            .map(|t| parts(t) * t.work)
            .sum::<f64>()
            / all
            * MEAN_HEAVY
    }

    /// Whether it stays within what one process plays.
    pub fn check(&self) -> Result<(), String> {
        let within = |name: &str, value: f64, least: f64, most: f64| {
            if value >= least && value <= most {
                Ok(())
            } else {
                Err(format!("{name} is {value}, expected {least} to {most}"))
            }
        };
        let f = &self.fleet;
        within("seconds", self.seconds, 1.0, MOST_SECONDS)?;
        within(
            "fleet.co_ordinators",
            f.co_ordinators as f64,
            1.0,
            MOST_NODES as f64,
        )?;
        within(
            "the number of replicas (fleet.cells times fleet.replicas)",
            self.replicas() as f64,
            1.0,
            MOST_REPLICAS as f64,
        )?;
        within("fleet.zones", f.zones as f64, 1.0, 8.0)?;
        within("fleet.cells", f.cells as f64, 1.0, MOST_REPLICAS as f64)?;
        within("fleet.span", f.span as f64, 1.0, f.cells as f64)?;
        within("fleet.shards", f.shards as f64, 1.0, 1024.0)?;
        within("fleet.cores", f.cores as f64, 1.0, 64.0)?;
        within("fleet.way", f.way, 0.0002, 1.0)?;
        within("fleet.buffers", f.buffers as f64, 64.0, 1e9)?;
        within("fleet.clocks_apart", f.clocks_apart, 0.0, 5.0)?;
        within("load.rate", self.load.rate, 0.0, MOST_RATE)?;
        within("load.uneven", self.load.uneven, 0.0, 4.0)?;
        if let Some(p) = &self.peers {
            within("peers.lost", p.lost, 0.0, 1.0)?;
            within("peers.doubled", p.doubled, 0.0, 1.0)?;
            within("peers.late", p.late, 0.0, 10.0)?;
        }
        within("load.leaves", self.load.leaves, 0.0, 1.0)?;
        within("settings.streams", self.settings.streams as f64, 1.0, 1e6)?;
        within(
            "settings.connect_timeout",
            self.settings.connect_timeout,
            0.001,
            30.0,
        )?;
        within(
            "settings.idle_close",
            self.settings.idle_close,
            self.settings.connect_timeout,
            3600.0,
        )?;
        within(
            "settings.descriptors",
            self.settings.descriptors as f64,
            64.0,
            1e6,
        )?;
        within(
            "the number of query types",
            self.query_types.len() as f64,
            1.0,
            16.0,
        )?;
        within(
            "the number of faults",
            self.faults.len() as f64,
            0.0,
            MOST_FAULTS as f64,
        )?;
        for (i, t) in self.query_types.iter().enumerate() {
            let named = |what: &str| format!("query_type {} ({}): {what}", i + 1, t.name);
            within(&named("client_timeout"), t.client_timeout, 0.05, 60.0)?;
            within(
                &named("latency_target"),
                t.latency_target,
                0.01,
                t.client_timeout,
            )?;
            within(
                &named("least_parts"),
                t.least_parts as f64,
                1.0,
                f.shards as f64,
            )?;
            within(
                &named("most_parts"),
                t.most_parts as f64,
                t.least_parts as f64,
                f.shards as f64,
            )?;
            within(&named("floor"), t.floor, 0.0, t.need.min(1.0))?;
            within(&named("work"), t.work, 1e-6, 10.0)?;
            if t.name.is_empty() || !t.name.bytes().all(|b| b.is_ascii_lowercase() || b == b'-') {
                return Err(named("the name is expected in small letters and dashes"));
            }
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let named = |what: &str| format!("fault {} ({}): {what}", i + 1, fault.kind.name());
            within(&named("at"), fault.at, 0.0, self.seconds)?;
            within(&named("for"), fault.lasts, 0.0, MOST_SECONDS)?;
            for r in fault.kind.replicas() {
                within(
                    &named("a replica's number"),
                    *r as f64,
                    0.0,
                    self.replicas() as f64 - 1.0,
                )?;
            }
            for n in fault.kind.co_ordinators() {
                within(
                    &named("a co-ordinator's number"),
                    *n as f64,
                    0.0,
                    f.co_ordinators as f64 - 1.0,
                )?;
            }
            if let Kind::Cut { from, to, .. } = fault.kind {
                if from == to {
                    return Err(named(
                        "a zone is not cut off from itself: clients are in it too",
                    ));
                }
                within(
                    &named("a zone's number"),
                    from.max(to) as f64,
                    0.0,
                    f.zones as f64 - 1.0,
                )?;
            }
        }
        Ok(())
    }

    /// The script of a seed. `only` names the kinds that may be drawn; none for all.
    pub fn draw(seed: u64, only: &[String], seconds: Option<f64>) -> Script {
        let mut d = Draw(Pcg64Mcg::seed_from_u64(seed_of(seed, "script")));
        let cells = d.of(&[1, 2, 2, 3, 4]);
        let zones = d.of(&[1, 2, 2, 3]);
        let fleet = Fleet {
            co_ordinators: d.of(&[2, 3, 3, 3, 4]),
            zones,
            cells,
            span: if d.one_in(4) { cells.min(2) } else { 1 },
            shards: cells * d.of(&[2, 3, 4]),
            replicas: d.of(&[2, 3, 3, 4, 6]),
            cores: d.of(&[1, 2, 2, 4]),
            room: d.of(&[4, 16, 64]),
            clocks_apart: d.of(&[0.0, 0.01, 0.05]),
            way: d.of(&[0.001, 0.001, 0.001, 0.02]),
            buffers: d.of(&[131_072, 131_072, 131_072, 512]),
            // Drawn apart, so that all else of a seed stays as it was.
            calls_while_silent: Draw(Pcg64Mcg::seed_from_u64(seed_of(seed, "calls while silent")))
                .of(&[SilentCalls::Kept, SilentCalls::ListsLost, SilentCalls::Lost]),
        };
        let settings = Settings {
            per_call: d.of(&[1, 1, 2, 4]),
            cancelling: !d.one_in(4),
            copies: !d.one_in(4),
            attempts: d.of(&[2, 3, 4]),
            streams: d.of(&[2, 8, 100]),
            descriptors: d.of(&[128, 256, 1024]),
            retry_after: !d.one_in(3),
            marks_repeats: d.one_in(3),
            drain_grace: d.of(&[0.1, 0.5]),
            connect_timeout: d.of(&[0.25, 0.25, 2.0]),
            idle_close: d.of(&[30.0, 30.0, 2.5]),
            budget: d.one_in(3).then_some(Budget {
                free: 3.0,
                share: 0.1,
                window: 10.0,
            }),
            cold: d.one_in(2).then(|| {
                let (from, multiple) = d.of(&[(0.25, 2.0), (0.15, 2.0)]);
                Cold {
                    from,
                    time: 8.0,
                    multiple,
                    window: 2.0,
                }
            }),
        };
        let types = d.of(&[1, 2, 2, 3]);
        let query_types: Vec<QueryType> = (0..types).map(|i| d.query_type(i, &fleet)).collect();
        let share: f64 = query_types.iter().map(|t| t.share).sum();
        let part = |t: &QueryType| (t.least_parts + t.most_parts + 2 * t.fetch) as f64 / 2.0;
        let each: f64 = query_types
            .iter()
            .map(|t| t.share / share * t.work * part(t))
            .sum();
        // Cores for all of the load, at a third to nearly all of it.
        let cores = (fleet.cells as usize * fleet.replicas * fleet.cores) as f64;
        let used = d.of(&[0.3, 0.45, 0.6, 0.75, 0.9]);
        let rate = (cores * used / each / fleet.co_ordinators as f64).clamp(1.0, 5.0);
        let load = Load {
            rate,
            uneven: 0.0,
            retries: d.of(&[0, 1, 2, 3]),
            pause: d.of(&[0.05, 0.2]),
            heeds: d.one_in(2),
            leaves: d.of(&[0.0, 0.02, 0.1]),
        };
        // From a stream of its own: a seed's day is else what it was before there were peers.
        let mut p = Draw(Pcg64Mcg::seed_from_u64(seed_of(seed, "peers")));
        let peers = p.one_in(2).then(|| Peers {
            lost: p.of(&[0.0, 0.1, 0.3]),
            doubled: p.of(&[0.0, 0.02]),
            late: p.of(&[0.0, 0.01, 1.0]),
        });
        let seconds = seconds.unwrap_or_else(|| d.of(&[24.0, 30.0, 36.0, 40.0]));
        let mut script = Script {
            seed,
            seconds,
            fleet,
            settings,
            load,
            peers,
            query_types,
            faults: Vec::new(),
        };
        let groups = d.of(&[1, 1, 2, 2, 3]);
        for _ in 0..groups {
            let at = 5.0 + d.0.random_range(0.0..(seconds - 10.0).max(0.1));
            let mut faults = d.group(&script, (at * 100.0).round() / 100.0);
            faults.retain(|f| only.is_empty() || only.iter().any(|o| o == f.kind.name()));
            if faults.is_empty() {
                // None of the kinds that are wanted came with the group: one of them by itself.
                let tries = (0..64)
                    .map(|_| d.kind(&script))
                    .find(|k| only.iter().any(|o| o == k.name()));
                faults.extend(tries.map(|kind| Fault {
                    at,
                    lasts: d.of(&[1.0, 3.0, 6.0]),
                    kind,
                }));
            }
            script.faults.extend(faults);
        }
        script.faults.retain(|f| f.at < seconds);
        script.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        script
    }

    /// A day of a whole tier: 20 or 30 co-ordinators with little traffic each and some far more than others,
    /// among whom several replicas come up cold at once, told late to some, while co-ordinators are started
    /// anew and forget what they sent, and further attempts look for a holder.
    pub fn draw_tier(seed: u64) -> Script {
        let mut d = Draw(Pcg64Mcg::seed_from_u64(seed_of(seed, "tier")));
        let mut script = Script::draw(seed, &[], Some(24.0));
        let f = &mut script.fleet;
        f.co_ordinators = d.of(&[20, 30]);
        f.cells = d.of(&[1, 2]);
        f.span = 1;
        f.shards = f.cells * d.of(&[2, 3]);
        f.replicas = d.of(&[3, 4, 6]);
        f.cores = d.of(&[1, 2, 4]);
        let s = &mut script.settings;
        let (from, multiple) = d.of(&[(0.15, 2.0), (0.25, 2.0), (0.25, 2.5), (0.4, 3.0)]);
        s.cold = Some(Cold {
            from,
            time: d.of(&[6.0, 12.0]),
            multiple,
            window: d.of(&[1.0, 2.0]),
        });
        (s.copies, s.attempts) = (!d.one_in(3), 3);
        let fleet = script.fleet.clone();
        let types = d.of(&[1, 2]);
        script.query_types = (0..types).map(|i| d.query_type(i, &fleet)).collect();
        let used = d.of(&[0.3, 0.5, 0.7]);
        let cores = (fleet.cells as usize * fleet.replicas * fleet.cores) as f64;
        let part = |t: &QueryType| (t.least_parts + t.most_parts + 2 * t.fetch) as f64 / 2.0;
        let share: f64 = script.query_types.iter().map(|t| t.share).sum();
        let each: f64 = script
            .query_types
            .iter()
            .map(|t| t.share / share * t.work * part(t))
            .sum();
        script.load.rate = (cores * used / each / fleet.co_ordinators as f64).clamp(0.1, 5.0);
        script.load.uneven = d.of(&[0.0, 1.0, 3.0]);
        // Cold all at once, or so many that the rest is short.
        let replicas = d.some(&script, 0.8);
        let (at, lasts) = (d.of(&[5.0, 6.5]), d.of(&[0.5, 1.5, 3.0]));
        let fault = |at: f64, lasts: f64, kind: Kind| Fault { at, lasts, kind };
        let death = if d.one_in(3) {
            Kind::Drain { replicas }
        } else {
            Kind::Die {
                replicas,
                listed_after: d.of(&[0.1, 1.0, 4.0]),
            }
        };
        script.faults = vec![fault(at, lasts, death)];
        let back = at + lasts;
        let third = |d: &mut Draw| -> Vec<usize> {
            (0..fleet.co_ordinators).filter(|_| d.one_in(3)).collect()
        };
        if d.one_in(2) {
            let most: Vec<usize> = (0..fleet.co_ordinators).filter(|n| n % 10 < 7).collect();
            let co_ordinators = if d.one_in(2) { most } else { third(&mut d) };
            let kind = Kind::Kill { co_ordinators };
            script
                .faults
                .push(fault(back + d.of(&[0.3, 1.0, 2.0]), 0.3, kind));
        }
        if d.one_in(3) {
            let co_ordinators = third(&mut d);
            script.faults.push(fault(
                back - 0.4,
                d.of(&[1.0, 3.0]),
                Kind::DiscoverySilent { co_ordinators },
            ));
        }
        if d.one_in(2) {
            let share = d.of(&[0.1, 0.5]);
            let replicas = d.some(&script, 0.5);
            let kind = if d.one_in(2) {
                Kind::Errors { replicas, share }
            } else {
                Kind::Full { replicas }
            };
            script.faults.push(fault(back, 4.0, kind));
        }
        if d.one_in(3) {
            script
                .faults
                .push(fault(back + 0.5, 3.0, Kind::Burst { factor: 3.0 }));
        }
        script.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        script
    }
}

struct Draw(Pcg64Mcg);

impl Draw {
    fn of<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.0.random_range(0..of.len())]
    }

    fn one_in(&mut self, n: u32) -> bool {
        self.0.next_u32().is_multiple_of(n)
    }

    fn query_type(&mut self, i: usize, fleet: &Fleet) -> QueryType {
        let most = (fleet.shards as usize).min(6);
        let least = 1 + self.0.random_range(0..most);
        let latency_target = self.of(&[0.3, 0.6, 1.0, 1.5]);
        let partial = self.one_in(2);
        QueryType {
            name: ["browse", "check", "picks"][i % 3].to_string(),
            share: self.of(&[1.0, 2.0, 3.0]),
            latency_target,
            client_timeout: latency_target * self.of(&[2.0, 3.0]),
            repeats: self.of(&[
                Repeats::Idempotent,
                Repeats::Idempotent,
                Repeats::Tokened,
                Repeats::NonIdempotent,
            ]),
            window: self.of(&[0.5, 2.0]),
            any_holder: self.one_in(2),
            need: 1.0,
            floor: if partial { self.of(&[0.5, 0.8]) } else { 1.0 },
            fetch: if self.one_in(3) { self.of(&[1, 2]) } else { 0 },
            least_parts: least,
            most_parts: (least + self.0.random_range(0..=2)).min(most),
            work: self.of(&[0.01, 0.03, 0.06, 0.1]),
        }
    }

    /// Some replicas: at least one, by chance up to this share of them.
    fn some(&mut self, script: &Script, share: f64) -> Vec<usize> {
        let all = script.replicas();
        let n = 1 + self
            .0
            .random_range(0..=((all as f64 * share) as usize).min(all - 1));
        let mut of: Vec<usize> = (0..all).collect();
        for i in 0..n {
            let j = self.0.random_range(i..all);
            of.swap(i, j);
        }
        of.truncate(n);
        of.sort_unstable();
        of
    }

    fn nodes(&mut self, script: &Script) -> Vec<usize> {
        let n = script.fleet.co_ordinators;
        if self.one_in(3) {
            (0..n).collect()
        } else {
            vec![self.0.random_range(0..n)]
        }
    }

    fn kind(&mut self, script: &Script) -> Kind {
        let zones = script.fleet.zones;
        match self.0.random_range(0..23u32) {
            0 => Kind::Die {
                replicas: self.some(script, 0.3),
                listed_after: self.of(&[0.1, 1.0, 4.0]),
            },
            1 => Kind::Vanish {
                replicas: self.some(script, 0.3),
            },
            2 => Kind::Drain {
                replicas: self.some(script, 0.3),
            },
            3 => Kind::Hang {
                replicas: self.some(script, 0.3),
            },
            4 => Kind::Slow {
                replicas: self.some(script, 0.4),
                factor: self.of(&[2.0, 5.0, 20.0]),
            },
            5 => Kind::Full {
                replicas: self.some(script, 0.4),
            },
            6 => Kind::Swallow {
                replicas: self.some(script, 0.4),
                share: self.of(&[0.1, 0.5, 1.0]),
            },
            7 => Kind::Errors {
                replicas: self.some(script, 0.5),
                share: self.of(&[0.1, 0.5, 1.0]),
            },
            8 => Kind::Spoil {
                replicas: self.some(script, 0.4),
                share: self.of(&[0.05, 0.3]),
            },
            9 => Kind::Double {
                replicas: self.some(script, 0.5),
                share: self.of(&[0.2, 1.0]),
            },
            10 => Kind::Break {
                replicas: self.some(script, 0.4),
                share: self.of(&[0.05, 0.3]),
            },
            11 => Kind::Heedless {
                replicas: self.some(script, 1.0),
            },
            12 => Kind::Late {
                replicas: self.some(script, 0.5),
                accepts: self.of(&[0.0, 0.01, 0.1]),
                reads: self.of(&[0.0, 0.0005, 0.001]),
            },
            13 if zones > 1 => {
                let from = self.0.random_range(0..zones);
                Kind::Cut {
                    from,
                    to: (from + 1) % zones,
                    both: self.one_in(2),
                }
            }
            14 => Kind::DiscoverySilent {
                co_ordinators: self.nodes(script),
            },
            15 => Kind::Stall {
                co_ordinators: self.nodes(script),
            },
            16 => Kind::StallReplicas {
                replicas: self.some(script, 0.4),
            },
            17 => Kind::Kill {
                co_ordinators: self.nodes(script),
            },
            18 => Kind::Restart {
                co_ordinators: self.nodes(script),
            },
            19 => Kind::Reload {
                co_ordinators: self.nodes(script),
            },
            21 if script.settings.cold.is_none() => Kind::Costly {
                factor: self.of(&[2.0, 5.0]),
            },
            13 | 20 | 21 => Kind::Burst {
                factor: self.of(&[2.0, 4.0]),
            },
            _ => Kind::Rude {
                rate: self.of(&[2.0, 10.0]),
            },
        }
    }

    /// Faults that come together: what hurts most, or any one or two.
    fn group(&mut self, script: &Script, at: f64) -> Vec<Fault> {
        let fault = |at: f64, lasts: f64, kind: Kind| Fault { at, lasts, kind };
        let lasts = self.of(&[0.5, 2.0, 4.0, 8.0]);
        match self.0.random_range(0..15u32) {
            // A fifth of the replicas die together and come back cold.
            0 | 1 => {
                let mut replicas = self.some(script, 0.3);
                let more = self.some(script, 0.3);
                replicas.extend(more);
                replicas.sort_unstable();
                replicas.dedup();
                vec![fault(
                    at,
                    lasts,
                    Kind::Die {
                        replicas,
                        listed_after: self.of(&[0.1, 1.0, 4.0]),
                    },
                )]
            }
            // A hall is cut while discovery is stale.
            2 if script.fleet.zones > 1 => {
                let from = self.0.random_range(0..script.fleet.zones);
                let to = (from + 1) % script.fleet.zones;
                vec![
                    fault(
                        at,
                        lasts,
                        Kind::DiscoverySilent {
                            co_ordinators: self.nodes(script),
                        },
                    ),
                    fault(
                        at + 0.2,
                        lasts,
                        Kind::Cut {
                            from,
                            to,
                            both: true,
                        },
                    ),
                ]
            }
            // A drain beside a discovery that is silent for some: they see different lists.
            3 => vec![
                fault(
                    at,
                    lasts,
                    Kind::DiscoverySilent {
                        co_ordinators: self.nodes(script),
                    },
                ),
                fault(
                    at + 0.1,
                    lasts + 2.0,
                    Kind::Drain {
                        replicas: self.some(script, 0.3),
                    },
                ),
            ],
            // Drained while they stand still, and what was written before waits.
            10 => {
                let replicas = self.some(script, 0.3);
                vec![
                    fault(
                        at,
                        lasts,
                        Kind::StallReplicas {
                            replicas: replicas.clone(),
                        },
                    ),
                    fault(at + 0.3, lasts + 1.0, Kind::Drain { replicas }),
                ]
            }
            // A restart within a reload.
            4 => {
                let nodes = self.nodes(script);
                vec![
                    fault(
                        at,
                        2.0,
                        Kind::Reload {
                            co_ordinators: nodes.clone(),
                        },
                    ),
                    fault(
                        at + self.of(&[0.0, 0.05, 0.5]),
                        1.0,
                        Kind::Restart {
                            co_ordinators: nodes,
                        },
                    ),
                ]
            }
            // A spoilt answer next to a good one, while connections break.
            5 => vec![
                fault(
                    at,
                    lasts,
                    Kind::Spoil {
                        replicas: self.some(script, 0.5),
                        share: 0.1,
                    },
                ),
                fault(
                    at,
                    lasts,
                    Kind::Break {
                        replicas: self.some(script, 0.5),
                        share: 0.1,
                    },
                ),
            ],
            // Answers that cross their cancels.
            6 => vec![
                fault(
                    at,
                    lasts + 4.0,
                    Kind::Heedless {
                        replicas: self.some(script, 1.0),
                    },
                ),
                fault(
                    at,
                    lasts,
                    Kind::Slow {
                        replicas: self.some(script, 0.5),
                        factor: 8.0,
                    },
                ),
            ],
            // A stall, and then all that waited.
            7 => vec![
                fault(
                    at,
                    self.of(&[0.2, 1.0, 3.0]),
                    Kind::Stall {
                        co_ordinators: self.nodes(script),
                    },
                ),
                fault(at, lasts, Kind::Burst { factor: 3.0 }),
            ],
            // Machines that vanish and are replaced meanwhile.
            8 => {
                let replicas = self.some(script, 0.5);
                vec![
                    fault(
                        at,
                        self.of(&[0.5, 2.0]),
                        Kind::Vanish {
                            replicas: replicas.clone(),
                        },
                    ),
                    fault(at + 0.3, lasts, Kind::Drain { replicas }),
                ]
            }
            // Not while replicas may be cold: see `docs/faults.md`, open points.
            9 if script.settings.cold.is_none() => vec![
                fault(at, lasts, Kind::Costly { factor: 4.0 }),
                fault(
                    at,
                    lasts,
                    Kind::Errors {
                        replicas: self.some(script, 0.4),
                        share: 0.3,
                    },
                ),
            ],
            _ => {
                let mut faults = vec![fault(at, lasts, self.kind(script))];
                if self.one_in(2) {
                    faults.push(fault(
                        at + self.of(&[0.0, 0.3, 1.0]),
                        self.of(&[1.0, 3.0]),
                        self.kind(script),
                    ));
                }
                faults
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/script.rs"]
mod tests;
