//! Guards the names of scenarios on the command line, which are stable.

use woadreach_process_tests::Scenario;

const NAMES: &str = "calm, zone-loss, zone-cut, zone-slow, one-way, flap, region-loss, loss-30, mass-kill, \
    zone-stall, holder-stall, holder-cut, holder-kill, split-brain, skew, lease-lossy, roll-hang, \
    discovery-down, leave-burst";

#[test]
fn scenarios_have_their_recorded_names() {
    let names: Vec<&str> = NAMES.split(", ").collect();
    assert_eq!(Scenario::ALL.map(Scenario::name).to_vec(), names);
    for (scenario, name) in Scenario::ALL.into_iter().zip(names) {
        assert_eq!(name.parse(), Ok(scenario));
        assert_eq!(scenario.to_string(), name);
    }
}

#[test]
fn unknown_scenario_error_lists_all_names() {
    let error = "Calm"
        .parse::<Scenario>()
        .expect_err("names of scenarios are case-sensitive");
    assert_eq!(
        error.to_string(),
        format!("no such scenario; there are {NAMES}")
    );
}
