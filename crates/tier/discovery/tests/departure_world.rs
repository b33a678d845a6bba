//! Seeded runs in which replicas depart while core machines are killed, paused, partitioned and lose their disks, and
//! edges are paused and killed. Guards against an acknowledged departure that no process remembers: an edge that was
//! paused meanwhile would go on sending to the replica.
//!
//! `DEPARTURE_SEEDS` is the number of runs, `DEPARTURE_FIRST_SEED` the first one, `DEPARTURE_TRACE` prints their steps.

mod common;
#[path = "departure_world/faults.rs"]
mod faults;
#[path = "departure_world/oracle.rs"]
mod oracle;
#[path = "departure_world/run.rs"]
mod run;

use run::{RunOptions, play};

fn variable(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| {
        text.parse().expect("the variable is a number")
    })
}

#[test]
fn no_edge_in_touch_sends_to_a_replica_whose_departure_was_acknowledged() {
    let first = variable("DEPARTURE_FIRST_SEED", 0);
    let seeds = first..first + variable("DEPARTURE_SEEDS", 60);
    let mut acknowledged = 0;
    for seed in seeds {
        match play(seed, RunOptions::default()) {
            Ok(count) => acknowledged += count,
            Err(violation) => panic!("seed {seed}: {violation}"),
        }
    }
    println!("{acknowledged} departures acknowledged");
    assert!(acknowledged > 0);
}

/// The runs find each of these faults at one of the first seeds.
#[test]
fn departures_that_are_not_on_disk_when_they_are_acknowledged_are_found_to_be_lost() {
    let only_in_memory = RunOptions {
        disks_forget: true,
        ..RunOptions::default()
    };
    let confirmed_too_early = RunOptions {
        confirms_before_sync: true,
        ..RunOptions::default()
    };
    for (fault, options) in [
        ("only in memory", only_in_memory),
        ("confirmed too early", confirmed_too_early),
    ] {
        let found = (0..1000).find_map(|seed| {
            let violation = play(seed, options).err()?;
            Some((seed, violation))
        });
        let (seed, violation) = found.unwrap_or_else(|| panic!("{fault}: not found"));
        println!("{fault}: found at seed {seed}, {violation}");
    }
}
