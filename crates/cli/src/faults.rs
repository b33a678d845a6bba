//! `woadreach faults`: runs seeds on the virtual clock, plays one again, cuts a failing script down. Owns the
//! threads that play; must never judge a run by anything but its outcome.

use crate::{Ended, Format};
use clap::{Args, Subcommand};
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use woadreach_invariants::{Breach, Event};
use woadreach_simulation::{FaultKind, Options, Outcome, Script, play, shrink};

/// Seeds that break a rule and are told one by one.
const TOLD: usize = 20;

#[derive(Subcommand)]
pub enum What {
    /// Plays seeds, and says which break a rule
    #[command(after_help = "Example: woadreach faults run --seeds 0..10000 --jobs 4")]
    Run(Run),
    /// Plays one seed or script again, byte for byte
    #[command(after_help = "Example: woadreach faults replay 4711 --trace trace.jsonl")]
    Replay(Replay),
    /// Cuts a script down to the smallest that still breaks the same rule
    #[command(after_help = "Example: woadreach faults shrink 4711 --out small.toml")]
    Shrink(Shrink),
    /// Prints the script of a seed
    Draw(Draw),
    /// Plays a script without its faults on loopback sockets and on the virtual clock, side by side
    #[command(
        after_help = "Example: woadreach faults compare calm.toml; exit code 1 if more than 0.02 apart"
    )]
    Compare(Compare),
    /// Switches known defences off, one at a time, and says after how many seeds each is missed
    #[command(after_help = "Needs a build with --features mutations")]
    Mutations(Mutations),
}

#[derive(Args)]
pub struct Run {
    /// From the first to before the last
    #[arg(long, value_parser = seeds, value_name = "A..B")]
    seeds: Range<u64>,
    /// Threads; the cores of this machine if not given
    #[arg(long)]
    jobs: Option<usize>,
    /// Draws these kinds of faults only
    #[arg(long, value_delimiter = ',', value_parser = kind, value_name = "KIND,..")]
    only: Vec<String>,
    /// Days of a whole tier: 20 and 30 co-ordinators, and replicas that come up cold together
    #[arg(long)]
    tier: bool,
    /// Seconds under load, for every seed
    #[arg(long, value_name = "SECONDS")]
    until: Option<f64>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

#[derive(Args)]
pub struct Replay {
    /// A seed, or the file of a script
    script: String,
    /// Days of a whole tier: 20 and 30 co-ordinators, and replicas that come up cold together
    #[arg(long)]
    tier: bool,
    /// Writes every event there, one JSON object a line
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
    /// Writes what the co-ordinators log to standard error, in their order
    #[arg(long)]
    log: bool,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

#[derive(Args)]
pub struct Shrink {
    /// A seed, or the file of a script
    script: String,
    /// Days of a whole tier: 20 and 30 co-ordinators, and replicas that come up cold together
    #[arg(long)]
    tier: bool,
    /// Where the small script goes
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

#[derive(Args)]
pub struct Draw {
    seed: u64,
    /// Days of a whole tier: 20 and 30 co-ordinators, and replicas that come up cold together
    #[arg(long)]
    tier: bool,
    /// Draws these kinds of faults only
    #[arg(long, value_delimiter = ',', value_parser = kind, value_name = "KIND,..")]
    only: Vec<String>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

#[derive(Args)]
pub struct Compare {
    /// A seed, or the file of a script
    script: String,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

#[derive(Args)]
pub struct Mutations {
    /// From the first to before the last
    #[arg(long, value_parser = seeds, value_name = "A..B", default_value = "0..10000")]
    seeds: Range<u64>,
    /// These only
    #[arg(long, value_delimiter = ',', value_name = "PLANT,..")]
    only: Vec<String>,
    /// Threads; the cores of this machine if not given
    #[arg(long)]
    jobs: Option<usize>,
    /// Writes the smallest script that shows each to this folder
    #[arg(long, value_name = "FOLDER")]
    scripts: Option<PathBuf>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

fn seeds(text: &str) -> Result<Range<u64>, String> {
    let expected = || format!("expected A..B with A before B, as in 0..1000, and not {text}");
    let (from, to) = text.split_once("..").ok_or_else(expected)?;
    match (from.parse(), to.parse()) {
        (Ok(from), Ok(to)) if from < to => Ok(from..to),
        _ => Err(expected()),
    }
}

fn kind(text: &str) -> Result<String, String> {
    if FaultKind::NAMES.contains(&text) {
        Ok(text.to_string())
    } else {
        Err(format!(
            "no such kind; there are {}",
            FaultKind::NAMES.join(", ")
        ))
    }
}

pub fn run(what: What) -> Ended {
    let done = match what {
        What::Run(args) => many(&args),
        What::Replay(args) => again(&args),
        What::Shrink(args) => smaller(&args),
        What::Draw(args) => draw(&args),
        What::Compare(args) => compare(&args),
        What::Mutations(args) => mutations(&args),
    };
    done.unwrap_or_else(Ended::Bad)
}

/// A seed's script: of its ordinary day, or of its day of a whole tier.
fn drawn(seed: u64, tier: bool, only: &[String], seconds: Option<f64>) -> Script {
    if tier {
        Script::draw_tier(seed)
    } else {
        Script::draw(seed, only, seconds)
    }
}

/// A seed's script, or the one in a file.
fn script(of: &str, tier: bool) -> Result<Script, String> {
    if let Ok(seed) = of.parse() {
        return Ok(drawn(seed, tier, &[], None));
    }
    let text = std::fs::read_to_string(of)
        .map_err(|e| format!("{of}: {e}; expected a seed or a script"))?;
    Script::read(of, &text).map_err(|bad| bad.to_string())
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

#[derive(Serialize)]
struct Found {
    seed: u64,
    rule: String,
    at: f64,
    why: String,
    breaches: usize,
}

/// Over all faults of one kind.
#[derive(Serialize)]
struct Recovered {
    faults: u64,
    /// Quantiles of the seconds until service was back, where it was: half, 0.9, most.
    back_after: [f64; 3],
    never: u64,
    lost: f64,
    sub_requests: f64,
}

#[derive(Serialize)]
struct Summary {
    seeds: u64,
    seconds: f64,
    wall: f64,
    steps: u64,
    events: u64,
    searches: u64,
    good: u64,
    sub_requests: u64,
    /// Of the digests of all seeds, in their order.
    digest: String,
    kinds: BTreeMap<&'static str, Recovered>,
    broken: Vec<Found>,
}

fn many(args: &Run) -> Result<Ended, String> {
    if args.until.is_some_and(|u| !(1.0..=600.0).contains(&u)) {
        return Err("--until: expected 1 to 600 seconds".into());
    }
    if args.tier && (args.until.is_some() || !args.only.is_empty()) {
        return Err(
            "--tier: its days have lengths and faults of their own, without --until and --only"
                .into(),
        );
    }
    let (next, outcomes) = (
        AtomicU64::new(args.seeds.start),
        Mutex::new(BTreeMap::new()),
    );
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let all = args.seeds.end - args.seeds.start;
    let bar = if std::io::stderr().is_terminal() {
        ProgressBar::new(all)
    } else {
        ProgressBar::hidden()
    };
    let style = ProgressStyle::with_template("{pos}/{len} seeds, {per_sec}, {msg} {eta}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let began = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.unwrap_or(cores).max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= args.seeds.end {
                        return;
                    }
                    let outcome = play(
                        &drawn(seed, args.tier, &args.only, args.until),
                        Options::default(),
                    );
                    if !outcome.breaches.is_empty() {
                        bar.println(format!("seed {seed}: {}", told(&outcome.breaches[0])));
                    }
                    bar.inc(1);
                    if let Ok(mut all) = outcomes.lock() {
                        all.insert(seed, outcome);
                    }
                }
            });
        }
    });
    bar.finish_and_clear();
    let wall = began.elapsed().as_secs_f64();
    let outcomes = outcomes
        .into_inner()
        .map_err(|_| "a thread has died".to_string())?;
    let summary = summary(&outcomes, wall);
    match args.format {
        Format::Json => println!("{}", json(&summary)),
        Format::Text => print(&summary),
    }
    Ok(if summary.broken.is_empty() {
        Ended::Good
    } else {
        Ended::Found
    })
}

fn json(of: &impl Serialize) -> String {
    serde_json::to_string(of).unwrap_or_default()
}

fn told(b: &Breach) -> String {
    let search = b
        .search
        .as_ref()
        .map_or(String::new(), |s| format!("search {s}: "));
    format!(
        "{}, at {:.3} s: {search}{}",
        b.rule,
        b.at - woadreach_simulation::BEGIN,
        b.why
    )
}

fn summary(outcomes: &BTreeMap<u64, Outcome>, wall: f64) -> Summary {
    let sum = |of: &dyn Fn(&Outcome) -> u64| outcomes.values().map(of).sum();
    let mut kinds: BTreeMap<&'static str, Vec<_>> = BTreeMap::new();
    for r in outcomes.values().flat_map(|o| &o.recoveries) {
        kinds.entry(r.kind).or_default().push(r);
    }
    let kinds = kinds.into_iter().map(|(kind, of)| {
        // Milliseconds, up to an hour.
        let mut back = Histogram::<u64>::new_with_bounds(1, 3_600_000, 3).ok();
        for after in of.iter().filter_map(|r| r.back_after) {
            if let Some(back) = &mut back {
                back.saturating_record((after * 1000.0).max(1.0) as u64);
            }
        }
        let at = |q| {
            back.as_ref()
                .map_or(0.0, |b| b.value_at_quantile(q) as f64 / 1000.0)
        };
        let n = of.len() as f64;
        let recovered = Recovered {
            faults: of.len() as u64,
            back_after: [at(0.5), at(0.9), at(1.0)],
            never: of.iter().filter(|r| r.back_after.is_none()).count() as u64,
            lost: of.iter().map(|r| r.lost).sum::<f64>() / n,
            sub_requests: of.iter().map(|r| r.sub_requests).sum::<f64>() / n,
        };
        (kind, recovered)
    });
    let broken = outcomes.iter().filter_map(|(seed, o)| {
        let first = o.breaches.first()?;
        let (rule, at) = (
            first.rule.to_string(),
            first.at - woadreach_simulation::BEGIN,
        );
        Some(Found {
            seed: *seed,
            rule,
            at,
            why: first.why.clone(),
            breaches: o.breaches.len(),
        })
    });
    let digests: String = outcomes.values().map(|o| o.digest.as_str()).collect();
    Summary {
        seeds: outcomes.len() as u64,
        seconds: outcomes.values().map(|o| o.seconds).sum(),
        wall,
        steps: sum(&|o| o.steps),
        events: sum(&|o| o.events),
        searches: sum(&|o| o.searches),
        good: sum(&|o| o.good),
        sub_requests: sum(&|o| o.sub_requests),
        digest: woadreach_simulation::digest(&digests),
        kinds: kinds.collect(),
        broken: broken.collect(),
    }
}

fn print(s: &Summary) {
    println!(
        "{} seeds, {:.0} simulated s, {:.1} s of wall time",
        s.seeds, s.seconds, s.wall
    );
    let rate = |n: u64| n as f64 / s.wall.max(1e-9);
    println!(
        "{:.0} seeds a second, {:.0} searches a second, {:.0} steps a second",
        rate(s.seeds),
        rate(s.searches),
        rate(s.steps)
    );
    println!(
        "{} searches, {} in time, {} sub-requests, {} events",
        s.searches, s.good, s.sub_requests, s.events
    );
    println!("digest {}", s.digest);
    println!(
        "{:<18}{:>7}{:>9}{:>9}{:>9}{:>7}{:>8}{:>12}",
        "kind", "faults", "back p50", "p90", "most", "never", "lost", "sub-requests"
    );
    for (kind, r) in &s.kinds {
        let [half, most, all] = r.back_after;
        println!(
            "{kind:<18}{:>7}{half:>9.2}{most:>9.2}{all:>9.2}{:>7}{:>8.1}{:>12.2}",
            r.faults, r.never, r.lost, r.sub_requests
        );
    }
    for found in s.broken.iter().take(TOLD) {
        println!(
            "seed {}: {}, at {:.3} s: {}",
            found.seed, found.rule, found.at, found.why
        );
    }
    match s.broken.len() {
        0 => println!("no rule is broken"),
        n => println!("{n} seeds break a rule"),
    }
}

fn again(args: &Replay) -> Result<Ended, String> {
    let script = script(&args.script, args.tier)?;
    if args.log {
        let lines = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG);
        lines
            .with_writer(std::io::stderr)
            .with_ansi(false)
            .without_time()
            .init();
    }
    let outcome = play(
        &script,
        Options {
            trace: args.trace.is_some(),
            stop_at_breach: false,
        },
    );
    if let Some(path) = &args.trace {
        let lines: Vec<String> = outcome.trace.iter().map(json).collect();
        write(path, &(lines.join("\n") + "\n"))?;
    }
    match args.format {
        Format::Json => println!("{}", json(&outcome)),
        Format::Text => {
            println!("digest {}", outcome.digest);
            println!(
                "{:.1} simulated s, {} searches, {} in time, {} sub-requests, {} steps",
                outcome.seconds,
                outcome.searches,
                outcome.good,
                outcome.sub_requests,
                outcome.steps
            );
            for r in &outcome.recoveries {
                let back = r
                    .back_after
                    .map_or("not back".into(), |b| format!("back after {b:.2} s"));
                println!(
                    "{:>7.2} s {} for {} s: {:.3} before, {:.3} meanwhile, {back}, {:.1} lost",
                    r.at, r.kind, r.lasts, r.before, r.during, r.lost
                );
            }
            outcome.breaches.iter().for_each(account);
        }
    }
    Ok(if outcome.breaches.is_empty() {
        Ended::Good
    } else {
        Ended::Found
    })
}

/// A breach with what each party saw of its search.
fn account(b: &Breach) {
    println!("\nbroken: {}", told(b));
    let line = |e: &Event| {
        println!(
            "  {:>11.6} {}",
            e.at - woadreach_simulation::BEGIN,
            json(&e.kind)
        )
    };
    b.proof.iter().for_each(line);
}

fn smaller(args: &Shrink) -> Result<Ended, String> {
    let script = script(&args.script, args.tier)?;
    let progress = |tried: usize, kept: usize| {
        if std::io::stderr().is_terminal() {
            eprint!("\r{tried} tried, {kept} kept ");
        }
    };
    let Some(small) = shrink(&script, progress) else {
        println!("it breaks no rule");
        return Ok(Ended::Good);
    };
    write(&args.out, &small.script.text())?;
    match args.format {
        Format::Json => println!("{}", json(&small)),
        Format::Text => {
            println!(
                "{}: {} of {} faults, {:.1} of {:.1} s, after {} tries",
                args.out.display(),
                small.script.faults.len(),
                script.faults.len(),
                small.script.seconds,
                script.seconds,
                small.tried
            );
            account(&small.breach);
        }
    }
    Ok(Ended::Found)
}

fn draw(args: &Draw) -> Result<Ended, String> {
    let script = drawn(args.seed, args.tier, &args.only, None);
    match args.format {
        Format::Json => println!("{}", json(&script)),
        Format::Text => print!("{}", script.text()),
    }
    Ok(Ended::Good)
}

/// As far apart as the two may be: service on the virtual clock must not be kinder than on sockets.
const APART: f64 = 0.02;

#[derive(Serialize)]
struct Compared {
    sockets: f64,
    virtual_clock: f64,
    searches: [u64; 2],
    sub_requests: [u64; 2],
    breaches: [usize; 2],
}

fn compare(args: &Compare) -> Result<Ended, String> {
    let script = Script {
        faults: Vec::new(),
        ..script(&args.script, false)?
    };
    let real = woadreach_simulation::on_sockets(&script)?;
    let played = play(&script, Options::default());
    let share = |o: &Outcome| o.good as f64 / o.searches.max(1) as f64;
    let compared = Compared {
        sockets: share(&real),
        virtual_clock: share(&played),
        searches: [real.searches, played.searches],
        sub_requests: [real.sub_requests, played.sub_requests],
        breaches: [real.breaches.len(), played.breaches.len()],
    };
    match args.format {
        Format::Json => println!("{}", json(&compared)),
        Format::Text => {
            for (name, o) in [("sockets", &real), ("virtual clock", &played)] {
                println!(
                    "{name:<14}{:.4} in time, {} searches, {} sub-requests, {} breaches",
                    share(o),
                    o.searches,
                    o.sub_requests,
                    o.breaches.len()
                );
            }
        }
    }
    let apart = (compared.sockets - compared.virtual_clock).abs();
    Ok(if apart <= APART && compared.breaches == [0, 0] {
        Ended::Good
    } else {
        Ended::Found
    })
}

#[cfg(not(feature = "mutations"))]
fn mutations(args: &Mutations) -> Result<Ended, String> {
    let _ = (
        &args.seeds,
        &args.only,
        &args.jobs,
        &args.scripts,
        args.format,
    );
    Err("this build has no mutations: build it with --features mutations".into())
}

#[cfg(feature = "mutations")]
fn mutations(args: &Mutations) -> Result<Ended, String> {
    use woadreach_simulation::mutations::{hunt, names};
    let names: Vec<&str> = names()
        .into_iter()
        .filter(|n| args.only.is_empty() || args.only.iter().any(|o| o == n))
        .collect();
    if let Some(unknown) = args.only.iter().find(|o| !names.contains(&o.as_str())) {
        return Err(format!("no such mutation: {unknown}"));
    }
    let (next, found) = (AtomicU64::new(0), Mutex::new(BTreeMap::new()));
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.unwrap_or(cores).max(1) {
            scope.spawn(|| {
                while let Some(name) = names.get(next.fetch_add(1, Ordering::Relaxed) as usize) {
                    if let Some(hunted) = hunt(name, args.seeds.clone(), args.scripts.is_some())
                        && let Ok(mut found) = found.lock()
                    {
                        found.insert(hunted.mutation, hunted);
                    }
                }
            });
        }
    });
    let found = found
        .into_inner()
        .map_err(|_| "a thread has died".to_string())?;
    if let Some(folder) = &args.scripts {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        for (name, hunted) in &found {
            if let Some(small) = &hunted.small {
                write(&folder.join(format!("{name}.toml")), &small.script.text())?;
            }
        }
    }
    match args.format {
        Format::Json => println!("{}", json(&found.values().collect::<Vec<_>>())),
        Format::Text => {
            for h in found.values() {
                let (seed, rule) = (
                    h.seed.map_or("-".into(), |s| s.to_string()),
                    h.rule.as_deref(),
                );
                let rule = rule.unwrap_or("not found");
                println!(
                    "{:<26}after {:>5} seeds, seed {seed:>5}: {rule:<42} {}",
                    h.mutation, h.after, h.defence
                );
            }
        }
    }
    Ok(if found.values().all(|h| h.seed.is_some()) {
        Ended::Good
    } else {
        Ended::Found
    })
}
