//! Scenarios by the names that the command line takes, held still.

use woadreach_process_tests::Scenario;

const NAMES: &str = "calm, zone-loss, zone-cut, zone-slow, one-way, flap, region-loss, loss-30, mass-kill, \
    zone-stall, holder-stall, holder-cut, holder-kill, split-brain, skew, lease-lossy, roll-hang, \
    discovery-down, leave-burst";

#[test]
fn scenarios_read_and_are_named_as_they_were() {
    let names: Vec<&str> = NAMES.split(", ").collect();
    assert_eq!(Scenario::ALL.map(Scenario::name).to_vec(), names);
    for (scenario, name) in Scenario::ALL.into_iter().zip(names) {
        assert_eq!(name.parse(), Ok(scenario));
        assert_eq!(scenario.to_string(), name);
    }
}

#[test]
fn an_unknown_scenario_is_refused_with_all_names() {
    let refused = "Calm".parse::<Scenario>();
    assert_eq!(refused, Err(format!("no such scenario; there are {NAMES}")));
}
