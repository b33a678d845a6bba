//! Partitions in one direction and in both directions.

use woadreach_sim_support::PartitionedLinks;

#[test]
fn no_link_is_partitioned_by_default() {
    assert!(!PartitionedLinks::default().contains(&(1, 2)));
}

#[test]
fn a_partition_of_one_direction_does_not_affect_the_other() {
    let mut links = PartitionedLinks::default();
    links.insert((1, 2));
    assert!(links.contains(&(1, 2)));
    assert!(!links.contains(&(2, 1)));
}

#[test]
fn a_partition_between_two_nodes_does_not_affect_links_to_others() {
    let mut links = PartitionedLinks::default();
    links.insert_both_ways(1, 2);
    assert!(links.contains(&(1, 2)) && links.contains(&(2, 1)));
    assert!(!links.contains(&(1, 3)) && !links.contains(&(3, 1)));
}

#[test]
fn several_links_are_partitioned_at_once_and_healed_together() {
    let mut links = PartitionedLinks::default();
    links.extend([(1, 2), (3, 2)]);
    assert!(links.contains(&(1, 2)) && links.contains(&(3, 2)));
    links.clear();
    assert!(!links.contains(&(1, 2)) && !links.contains(&(3, 2)));
}
