//! Roles and remarks, from the metrics of one machine and compared with the other machines.

use super::*;
use rstest::rstest;

fn status(name: &str, text: &str) -> MachineStatus {
    let page = ParsedPage::parse(text.as_bytes()).expect("text is a valid metrics page");
    MachineStatus {
        name: name.to_owned(),
        metrics: "127.0.0.1:1".to_owned(),
        role: Role::of(&page),
        error: None,
        remarks: Vec::new(),
        page,
    }
}

const EDGE: &str = "woadreach_client_connections 3\n\
                    woadreach_ready 1\n\
                    woadreach_configuration_generation 7\n\
                    woadreach_core_silence_seconds 0.4\n\
                    woadreach_ejected_replicas 0\n";
const CORE: &str = "woadreach_core_epoch 2\n\
                    woadreach_core_in_quorum 1\n\
                    woadreach_core_in_chain 1\n\
                    woadreach_core_voters{state=\"suspected\"} 0\n\
                    woadreach_registry_warming 0\n\
                    woadreach_journal_healthy 1\n\
                    woadreach_journal_stall_seconds 0\n\
                    woadreach_configuration_generation 7\n";
const STORAGE: &str = "woadreach_storage_pulled_epoch 1\n\
                       woadreach_storage_epoch 3\n\
                       woadreach_storage_is_current 1\n\
                       woadreach_storage_shutting_down 0\n\
                       woadreach_journal_healthy 1\n";

fn remarks(mut statuses: Vec<MachineStatus>) -> Vec<Vec<String>> {
    set_remarks(&mut statuses);
    statuses.into_iter().map(|status| status.remarks).collect()
}

#[test]
fn roles_follow_from_the_metrics_and_healthy_machines_have_no_remarks() {
    let statuses = vec![status("e", EDGE), status("c", CORE), status("s", STORAGE)];
    let roles: Vec<_> = statuses.iter().map(|status| status.role).collect();
    assert_eq!(
        roles,
        [Some(Role::Edge), Some(Role::Core), Some(Role::Storage)]
    );
    let none: [String; 0] = [];
    assert_eq!(remarks(statuses), [none.clone(), none.clone(), none]);
}

#[rstest]
#[case(EDGE, "ready 1", "ready 0", "not ready")]
#[case(EDGE, "seconds 0.4", "seconds 3.1", "hears no core machine")]
#[case(EDGE, "replicas 0", "replicas 2", "2 replicas ejected")]
#[case(CORE, "quorum 1", "quorum 0", "out of quorum")]
#[case(CORE, "chain 1", "chain 0", "not in the chain")]
#[case(CORE, "} 0", "} 1", "1 voters suspected")]
#[case(CORE, "warming 0", "warming 1", "may not know all replicas")]
#[case(CORE, "healthy 1", "healthy 0", "disk unhealthy")]
#[case(CORE, "stall_seconds 0", "stall_seconds 1.5", "disk stalled")]
#[case(STORAGE, "current 1", "current 0", "not in the storage view")]
#[case(STORAGE, "down 0", "down 1", "leaving")]
fn a_metric_out_of_bounds_adds_a_remark(
    #[case] page: &str,
    #[case] healthy: &str,
    #[case] changed: &str,
    #[case] expected: &str,
) {
    let changed = page.replace(healthy, changed);
    assert_ne!(changed, page);
    assert_eq!(remarks(vec![status("m", &changed)]), [[expected]]);
}

#[test]
fn a_machine_behind_the_newest_configuration_has_a_remark() {
    let old = EDGE.replace("generation 7", "generation 5");
    let none: Vec<String> = Vec::new();
    assert_eq!(
        remarks(vec![status("old", &old), status("core", CORE)]),
        [vec!["configuration behind 7".to_owned()], none]
    );
}
