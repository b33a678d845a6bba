//! Placement of programs on groups of machines, and quorum sizes.

use quickcheck::quickcheck;
use woadreach_storage::StorageMember;
use woadreach_storage::placement::{group, group_size, read_quorum, write_quorum};

fn machines(count: u64, zones: u64) -> Vec<StorageMember> {
    let member = |number: u64| StorageMember {
        node: format!("store-{number}"),
        disk: number + 1,
        address: ([10, 0, 0, number as u8], 7_000).into(),
        zone: format!("zone-{}", number % zones),
    };
    (0..count).map(member).collect()
}

fn group_nodes(members: &[StorageMember], program: &str, tolerated_losses: usize) -> Vec<String> {
    group(members, program, tolerated_losses)
        .iter()
        .map(|member| member.node.clone())
        .collect()
}

quickcheck! {
    fn groups_have_different_machines_of_different_zones(program: String, count: u8, zones: u8) -> bool {
        let (count, zones) = (u64::from(count % 12) + 1, u64::from(zones % 5) + 1);
        let members = machines(count, zones);
        let chosen = group(&members, &program, 1);
        let mut zones_of: Vec<&str> = chosen.iter().map(|member| member.zone.as_str()).collect();
        zones_of.sort_unstable();
        zones_of.dedup();
        let mut nodes = group_nodes(&members, &program, 1);
        nodes.sort();
        nodes.dedup();
        let available_zones = zones.min(count) as usize;
        nodes.len() == group_size(count as usize, 1) && zones_of.len() == available_zones.min(nodes.len())
    }

    fn a_write_quorum_survives_the_failure_of_a_zone(program: String, count: u8, zones: u8, failed: u8) -> bool {
        let zones = u64::from(zones % 3) + 3;
        let members = machines(u64::from(count % 10) + zones, zones);
        let failed = format!("zone-{}", u64::from(failed) % zones);
        let chosen = group(&members, &program, 1);
        chosen.iter().filter(|member| member.zone != failed).count() >= write_quorum(chosen.len(), 1)
    }

    fn replacing_a_disk_does_not_change_the_placement(program: String, count: u8) -> bool {
        let members = machines(u64::from(count % 8) + 2, 3);
        let mut wiped = members.clone();
        wiped[0].disk = 99;
        group_nodes(&members, &program, 1) == group_nodes(&wiped, &program, 1)
    }

    fn the_order_of_members_does_not_change_the_placement(program: String, count: u8) -> bool {
        let members = machines(u64::from(count % 8) + 2, 3);
        let reversed: Vec<StorageMember> = members.iter().rev().cloned().collect();
        group_nodes(&members, &program, 1) == group_nodes(&reversed, &program, 1)
    }
}

#[test]
fn every_read_intersects_every_write_and_a_write_survives_the_tolerated_losses() {
    for tolerated_losses in 0..4 {
        for members in tolerated_losses + 1..12 {
            let group = group_size(members, tolerated_losses);
            let (write, read) = (
                write_quorum(group, tolerated_losses),
                read_quorum(group, tolerated_losses),
            );
            assert!(write > tolerated_losses && write <= group);
            assert!(write + read > group);
            assert!(write * 2 > group, "two write quorums intersect");
            assert!(
                members <= 2 * tolerated_losses || group - tolerated_losses >= write,
                "a write quorum remains after the tolerated losses"
            );
        }
    }
}

#[test]
fn programs_are_distributed_among_the_machines() {
    let members = machines(4, 4);
    let mut programs_of_machine = [0; 4];
    for program in 0..4_000 {
        for member in group(&members, &format!("{program:x}"), 1) {
            programs_of_machine[member.disk as usize - 1] += 1;
        }
    }
    assert!(
        programs_of_machine
            .iter()
            .all(|count| (2_700..3_300).contains(count)),
        "{programs_of_machine:?}"
    );
}
