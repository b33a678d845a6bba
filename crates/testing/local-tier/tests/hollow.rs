//! Hollow runs: which sizes are refused, and how measured values are made from what was seen.

use std::time::Duration;
use tokio::time::Instant;
use woadreach_config::Configuration;
use woadreach_local_tier::hollow::{
    Acknowledged, HollowSize, InForce, MachineBounds, SizeError, Times, configuration, cpu_seconds,
    delays, resident_bytes,
};

const LARGE: MachineBounds = MachineBounds {
    memory: 1 << 40,
    descriptors: 1 << 20,
};

fn size(edges: u64, replicas: u64, core: u8) -> HollowSize {
    HollowSize {
        edges,
        replicas,
        core,
        whole_edges: 1,
        routes: 100,
        heartbeat: Duration::from_millis(300),
        changes_per_minute: 50,
        replica_changes_per_minute: 0,
        seconds: 30,
    }
}

#[test]
fn the_target_fits_where_the_machine_is_large() {
    assert!(size(620, 11_000, 19).check(LARGE).is_ok());
}

#[test]
fn too_much_memory_is_refused_and_what_would_fit_fits() {
    let bounds = MachineBounds {
        memory: 4_000_000_000,
        ..LARGE
    };
    let error = size(620, 11_000, 19).check(bounds).unwrap_err();
    let SizeError::Memory {
        needed_mb,
        allowed_mb,
        fitting_edges,
        fitting_replicas,
        ..
    } = error
    else {
        panic!("{error}")
    };
    assert!(needed_mb > allowed_mb);
    assert!((1..620).contains(&fitting_edges) && (1..11_000).contains(&fitting_replicas));
    assert!(size(fitting_edges, 11_000, 19).check(bounds).is_ok());
    assert!(size(fitting_edges + 1, 11_000, 19).check(bounds).is_err());
    assert!(size(620, fitting_replicas, 19).check(bounds).is_ok());
    assert!(size(620, fitting_replicas + 1, 19).check(bounds).is_err());
}

#[test]
fn too_many_descriptors_are_refused_and_what_would_fit_fits() {
    let bounds = MachineBounds {
        descriptors: 8_000,
        ..LARGE
    };
    let error = size(620, 11_000, 19).check(bounds).unwrap_err();
    let SizeError::Descriptors {
        needed,
        allowed,
        fitting_edges,
        fitting_replicas,
        ..
    } = error
    else {
        panic!("{error}")
    };
    assert!(needed > allowed);
    assert_eq!(fitting_edges, 0, "11,000 replicas alone are too many");
    assert!(size(620, fitting_replicas, 19).check(bounds).is_ok());
    assert!(size(620, fitting_replicas + 1, 19).check(bounds).is_err());
}

#[test]
fn more_replicas_than_the_core_takes_are_refused_with_the_core_that_would() {
    let error = size(10, 11_000, 3).check(LARGE).unwrap_err();
    let SizeError::Connections {
        of, fitting_core, ..
    } = error
    else {
        panic!("{error}")
    };
    assert_eq!(of, "replicas");
    assert!(size(10, 11_000, fitting_core as u8).check(LARGE).is_ok());
    assert!(
        size(10, 11_000, fitting_core as u8 - 1)
            .check(LARGE)
            .is_err()
    );
}

#[test]
fn numbers_without_sense_are_refused_by_name() {
    let named = |size: HollowSize| match size.check(LARGE) {
        Err(SizeError::OutOfRange { name, .. }) => name,
        other => panic!("{other:?}"),
    };
    assert_eq!(named(size(0, 10, 3)), "edges");
    assert_eq!(named(size(10, 0, 3)), "replicas");
    assert_eq!(named(size(10, 10, 31)), "core");
    assert_eq!(
        named(HollowSize {
            seconds: 301,
            ..size(10, 10, 3)
        }),
        "seconds"
    );
    assert_eq!(
        named(HollowSize {
            changes_per_minute: 0,
            ..size(10, 10, 3)
        }),
        "changes-per-minute"
    );
    assert_eq!(
        named(HollowSize {
            heartbeat: Duration::ZERO,
            ..size(10, 10, 3)
        }),
        "heartbeat-ms"
    );
}

#[test]
fn a_message_says_what_would_fit() {
    let error = size(620, 11_000, 19)
        .check(MachineBounds {
            memory: 4_000_000_000,
            ..LARGE
        })
        .unwrap_err();
    let text = error.to_string();
    assert!(text.contains("edges fit with as many replicas"), "{text}");
}

#[test]
fn delays_run_from_the_acknowledgement_to_that_generation_or_a_newer_one() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let acknowledged = [
        Acknowledged {
            generation: 2,
            at: at(100),
        },
        Acknowledged {
            generation: 3,
            at: at(200),
        },
        Acknowledged {
            generation: 4,
            at: at(300),
        },
    ];
    let taken = [
        InForce {
            edge: 0,
            generation: 2,
            at: at(90),
        },
        InForce {
            edge: 0,
            generation: 3,
            at: at(240),
        },
        InForce {
            edge: 0,
            generation: 4,
            at: at(310),
        },
        InForce {
            edge: 1,
            generation: 3,
            at: at(260),
        },
    ];
    let (mut delays, missing) = delays(&acknowledged, &taken, 3);
    delays.sort_unstable();
    let delays: Vec<u128> = delays.iter().map(Duration::as_millis).collect();
    assert_eq!(
        delays,
        [0, 10, 40, 60, 160],
        "edge 0: 0, 40, 10; edge 1: 160 and 60"
    );
    assert_eq!(
        missing, 4,
        "the last change at edge 1, and all three at edge 2"
    );
}

#[test]
fn quantiles_are_of_ranks() {
    let times = Times::of((1..=200).rev().map(Duration::from_millis).collect());
    assert_eq!(
        times,
        Times {
            count: 200,
            p50: 100.0,
            p99: 198.0,
            worst: 200.0
        }
    );
    assert_eq!(Times::of(Vec::new()).count, 0);
}

#[test]
fn processor_time_and_memory_are_read_also_with_a_strange_program_name() {
    let stat = "77 (a) b (c) S 1 77 77 0 -1 4194560 500 0 0 0 250 50 0 0 20 0 1 0 99 1 2 3";
    assert_eq!(cpu_seconds(stat), Some(3.0));
    assert_eq!(cpu_seconds("77 without a name"), None);
    assert_eq!(
        resident_bytes("Name:\tx\nVmRSS:\t    2048 kB\n"),
        Some(2048 * 1024)
    );
    assert_eq!(resident_bytes("Name:\tx\n"), None);
}

#[test]
fn a_configuration_has_its_routes_and_can_be_read() {
    let text = configuration(7, 120);
    let read = Configuration::parse(text.as_bytes()).unwrap();
    assert_eq!(
        (read.generation, read.routes.len(), read.services.len()),
        (7, 120, 35)
    );
}
