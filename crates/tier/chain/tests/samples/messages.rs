//! Messages between members.

use woadreach_chain::{
    Accepted, Barrier, Body, Envelope, FailureDomain, Heartbeat, HeartbeatTime, IdleEpoch, Report,
    Write, WritePosition,
};

use super::{accepted, ballot, member, members, put_configuration, put_storage_view, state, view};

fn heartbeat() -> Heartbeat {
    Heartbeat {
        sent: HeartbeatTime {
            incarnation: 1,
            micros: 2_000_000,
        },
        echo: HeartbeatTime {
            incarnation: 3,
            micros: 4_000_000,
        },
        can_replicate: true,
        leaving: false,
        bootstrap: true,
        failure_domain: FailureDomain { zone: 5, region: 6 },
        committed: WritePosition {
            epoch: 5,
            number: 12,
        },
        heard_members: members(&[2, 3]),
    }
}

fn report(accepted: Option<Accepted>, idle_epochs: Vec<IdleEpoch>) -> Report {
    Report {
        accepted,
        active_epoch: 5,
        position: WritePosition {
            epoch: 5,
            number: 12,
        },
        can_replicate: true,
        heard_members: members(&[1, 3]),
        idle_epochs,
    }
}

fn barrier() -> Barrier {
    Barrier {
        session: 77,
        number: 8,
    }
}

/// Every variant of [`Body`]. A new variant needs an entry here.
pub(crate) fn messages() -> Vec<(&'static str, Envelope)> {
    let name = |body: &Body| match body {
        Body::Heartbeat(_) => "ping",
        Body::Prepare { .. } => "prepare",
        Body::Promise { report, .. } if report.accepted.is_none() => "promise without a vote",
        Body::Promise { .. } => "promise with a vote",
        Body::Accept(_) => "accept",
        Body::Accepted { .. } => "accepted",
        Body::Superseded { .. } => "superseded",
        Body::Decided(_) => "decided",
        Body::RequestView => "request view",
        Body::Replicate { .. } => "replicate",
        Body::Transfer { .. } => "transfer",
        Body::Replicated {
            committed: None, ..
        } => "replicated by the tail",
        Body::Replicated { .. } => "replicated",
        Body::RequestState => "request state",
        Body::Committed(_) => "committed",
        Body::RequestActive => "request active",
        Body::Active => "active",
    };
    let persisted = WritePosition {
        epoch: 5,
        number: 12,
    };
    let committed = Some(WritePosition {
        epoch: 5,
        number: 11,
    });
    let writes = vec![
        Write {
            position: WritePosition {
                epoch: 5,
                number: 11,
            },
            command: put_configuration(),
        },
        Write {
            position: persisted,
            command: put_storage_view(),
        },
    ];
    let idle = vec![
        IdleEpoch { epoch: 4, floor: 2 },
        IdleEpoch { epoch: 5, floor: 2 },
    ];
    let bodies = [
        Body::Heartbeat(heartbeat()),
        Body::Prepare {
            ballot: ballot(9, 2),
        },
        Body::Promise {
            ballot: ballot(9, 2),
            report: report(None, Vec::new()),
        },
        Body::Promise {
            ballot: ballot(9, 2),
            report: report(Some(accepted()), idle),
        },
        Body::Accept(accepted()),
        Body::Accepted {
            ballot: ballot(9, 2),
        },
        Body::Superseded {
            promised: ballot(10, 3),
        },
        Body::Decided(view(6, &[1, 2, 3], &[2, 3], 4)),
        Body::RequestView,
        Body::Replicate {
            after: WritePosition {
                epoch: 5,
                number: 10,
            },
            writes,
            barrier: barrier(),
        },
        Body::Transfer {
            state: state(),
            barrier: barrier(),
        },
        Body::Replicated {
            active: true,
            persisted,
            committed,
            barrier: barrier(),
        },
        Body::Replicated {
            active: false,
            persisted,
            committed: None,
            barrier: Barrier::default(),
        },
        Body::RequestState,
        Body::Committed(state()),
        Body::RequestActive,
        Body::Active,
    ];
    let envelope = |body| Envelope {
        from: member(1),
        epoch: 5,
        body,
    };
    bodies
        .into_iter()
        .map(|body| (name(&body), envelope(body)))
        .collect()
}
