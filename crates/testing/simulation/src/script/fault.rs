//! Faults: what goes wrong in a run, and when.

use serde::{Deserialize, Serialize};

/// One fault of a script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in seconds from the run's beginning.
    pub at: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "for")]
    pub duration: f64,
    /// What goes wrong.
    #[serde(flatten)]
    pub kind: FaultKind,
}

impl Fault {
    /// A fault that begins `at` and lasts for `duration`, both in seconds.
    pub(super) fn new(at: f64, duration: f64, kind: FaultKind) -> Self {
        Fault { at, duration, kind }
    }
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The processes of replicas crash. They start again at the end, and warm up.
    #[serde(rename = "die")]
    Crash {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
        /// Time until the endpoint list says so, in seconds.
        #[serde(rename = "listed_after")]
        listed_after_s: f64,
    },
    /// The machines of replicas neither send nor receive anything.
    #[serde(rename = "vanish")]
    Isolate {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
    },
    /// Replicas drain. Each is replaced at the end by a new process, which warms up.
    Drain {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
    },
    /// Replicas answer nothing.
    Hang {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
    },
    /// Replicas are slower.
    Slow {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
        /// How many times slower.
        factor: f64,
    },
    /// Replicas reject every part.
    #[serde(rename = "full")]
    RejectParts {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
    },
    /// Replicas run parts and send no answer.
    #[serde(rename = "swallow")]
    DropAnswers {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
        /// The share of the parts that it happens to.
        share: f64,
    },
    /// Replicas answer with an error.
    #[serde(rename = "errors")]
    AnswerErrors {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
        /// The share of the parts that it happens to.
        share: f64,
    },
    /// Replicas send answers that can't be read.
    #[serde(rename = "spoil")]
    CorruptAnswers {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
        /// The share of the parts that it happens to.
        share: f64,
    },
    /// Replicas send an answer twice.
    #[serde(rename = "double")]
    DuplicateAnswers {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
        /// The share of the parts that it happens to.
        share: f64,
    },
    /// Replicas run parts and lose the answers with the connection.
    #[serde(rename = "break")]
    BreakConnections {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
        /// The share of the parts that it happens to.
        share: f64,
    },
    /// Replicas run and answer cancelled parts all the same.
    #[serde(rename = "heedless")]
    IgnoreCancels {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
    },
    /// Replicas accept connections and read frames late.
    #[serde(rename = "late")]
    SlowReads {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
        /// Delay of accepts, in seconds.
        #[serde(rename = "accepts")]
        accept_delay_s: f64,
        /// Delay of reads, in seconds.
        #[serde(rename = "reads")]
        read_delay_s: f64,
    },
    /// The link between two zones is partitioned.
    #[serde(rename = "cut")]
    Partition {
        /// The zone that sends.
        from: usize,
        /// The zone that receives.
        to: usize,
        /// Whether the opposite direction is partitioned too.
        both: bool,
    },
    /// The discovery agents of co-ordinators are unresponsive.
    #[serde(rename = "discovery_silent")]
    DiscoveryUnresponsive {
        /// The co-ordinators, by their numbers.
        co_ordinators: Vec<usize>,
    },
    /// The processes of co-ordinators are suspended.
    #[serde(rename = "stall")]
    StallCoordinators {
        /// The co-ordinators, by their numbers.
        co_ordinators: Vec<usize>,
    },
    /// The processes of replicas are suspended.
    StallReplicas {
        /// The replicas, by their numbers.
        replicas: Vec<usize>,
    },
    /// Co-ordinators are killed, and started again at the end.
    #[serde(rename = "kill")]
    KillCoordinators {
        /// The co-ordinators, by their numbers.
        co_ordinators: Vec<usize>,
    },
    /// Co-ordinators shut down gracefully, and are started again at the end.
    #[serde(rename = "restart")]
    RestartCoordinators {
        /// The co-ordinators, by their numbers.
        co_ordinators: Vec<usize>,
    },
    /// Discovery moves to another address, and co-ordinators reload their settings.
    #[serde(rename = "reload")]
    ReloadCoordinators {
        /// The co-ordinators, by their numbers.
        co_ordinators: Vec<usize>,
    },
    /// More searches arrive.
    #[serde(rename = "burst")]
    LoadBurst {
        /// How many times as many.
        factor: f64,
    },
    /// Searches cost more.
    #[serde(rename = "costly")]
    ExpensiveSearches {
        /// How many times as much.
        factor: f64,
    },
    /// Further clients send malformed requests.
    #[serde(rename = "rude")]
    MalformedRequests {
        /// Clients per second at each co-ordinator.
        rate: f64,
    },
}

impl FaultKind {
    /// The name in scripts and on the command line.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Crash { .. } => "die",
            FaultKind::Isolate { .. } => "vanish",
            FaultKind::Drain { .. } => "drain",
            FaultKind::Hang { .. } => "hang",
            FaultKind::Slow { .. } => "slow",
            FaultKind::RejectParts { .. } => "full",
            FaultKind::DropAnswers { .. } => "swallow",
            FaultKind::AnswerErrors { .. } => "errors",
            FaultKind::CorruptAnswers { .. } => "spoil",
            FaultKind::DuplicateAnswers { .. } => "double",
            FaultKind::BreakConnections { .. } => "break",
            FaultKind::IgnoreCancels { .. } => "heedless",
            FaultKind::SlowReads { .. } => "late",
            FaultKind::Partition { .. } => "cut",
            FaultKind::DiscoveryUnresponsive { .. } => "discovery_silent",
            FaultKind::StallCoordinators { .. } => "stall",
            FaultKind::StallReplicas { .. } => "stall_replicas",
            FaultKind::KillCoordinators { .. } => "kill",
            FaultKind::RestartCoordinators { .. } => "restart",
            FaultKind::ReloadCoordinators { .. } => "reload",
            FaultKind::LoadBurst { .. } => "burst",
            FaultKind::ExpensiveSearches { .. } => "costly",
            FaultKind::MalformedRequests { .. } => "rude",
        }
    }

    /// The names of all kinds. Seeds draw kinds by their position here.
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

    /// The replicas that it affects.
    pub(crate) fn replicas(&self) -> &[usize] {
        match self {
            FaultKind::Crash { replicas, .. }
            | FaultKind::Isolate { replicas }
            | FaultKind::Drain { replicas }
            | FaultKind::Hang { replicas }
            | FaultKind::Slow { replicas, .. }
            | FaultKind::RejectParts { replicas }
            | FaultKind::DropAnswers { replicas, .. }
            | FaultKind::AnswerErrors { replicas, .. }
            | FaultKind::CorruptAnswers { replicas, .. }
            | FaultKind::DuplicateAnswers { replicas, .. }
            | FaultKind::BreakConnections { replicas, .. }
            | FaultKind::IgnoreCancels { replicas }
            | FaultKind::SlowReads { replicas, .. }
            | FaultKind::StallReplicas { replicas } => replicas,
            _ => &[],
        }
    }

    /// The co-ordinators that it affects.
    pub(super) fn co_ordinators(&self) -> &[usize] {
        match self {
            FaultKind::DiscoveryUnresponsive { co_ordinators }
            | FaultKind::StallCoordinators { co_ordinators }
            | FaultKind::KillCoordinators { co_ordinators }
            | FaultKind::RestartCoordinators { co_ordinators }
            | FaultKind::ReloadCoordinators { co_ordinators } => co_ordinators,
            _ => &[],
        }
    }
}
