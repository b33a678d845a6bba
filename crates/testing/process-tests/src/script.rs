//! Generates the script with the fleet, its settings and its load, in the format of `woadreach-simulation`.

use crate::config::PlayConfig;
use crate::error::{InvalidScriptSnafu, PlayError};
use snafu::ResultExt;
use woadreach_simulation::Script;

/// Number of replicas of each of the two shard groups in each zone.
const REPLICAS_PER_ZONE: usize = 3;

/// A query type of the load. The settings that are the same for all query types are in `query_type_text`.
struct QueryType {
    name: &'static str,
    /// Share of all searches, relative to the other query types.
    share: f64,
    /// Whether parts of a search may be executed more than once: the value of the script key `repeats`.
    repeats: &'static str,
    /// Minimum share of the weight that an answer must have.
    floor: f64,
}

const QUERY_TYPES: [QueryType; 2] = [
    QueryType {
        name: "browse",
        share: 3.0,
        repeats: "idempotent",
        floor: 0.5,
    },
    QueryType {
        name: "check",
        share: 1.0,
        repeats: "non_idempotent",
        floor: 1.0,
    },
];

const PEERS: &str = "[peers]\nlost = 0.0\ndoubled = 0.0\nlate = 0.0\n";

/// Generates the script of a run.
pub(crate) fn generate(config: &PlayConfig) -> Result<Script, PlayError> {
    Script::read("cluster", &text(config)).context(InvalidScriptSnafu)
}

fn text(config: &PlayConfig) -> String {
    let peers = if config.has_peers { PEERS } else { "" };
    let query_types: String = QUERY_TYPES.iter().map(query_type_text).collect();
    format!(
        "seed = {}\nseconds = {}\n[fleet]\nco_ordinators = {}\nzones = {}\ncells = 2\n\
         span = 1\nshards = 8\nreplicas = {}\ncores = 2\nroom = 64\nclocks_apart = 0.0\nway = 0.02\n\
         buffers = 131072\n[settings]\nper_call = 4\ncancelling = true\ncopies = true\nattempts = 3\n\
         streams = 100\ndescriptors = 256\nretry_after = true\nmarks_repeats = false\ndrain_grace = 0.5\n\
         connect_timeout = 0.25\nidle_close = 30.0\n\
         cold = {{ from = 0.25, time = 4.0, multiple = 2.0, window = 2.0 }}\n[load]\n\
         rate = {}\nretries = 1\n\
         pause = 0.1\nheeds = true\nleaves = 0.0\n{peers}{query_types}",
        config.seed,
        config.scenario.seconds(),
        config.co_ordinators,
        config.zones,
        REPLICAS_PER_ZONE * config.zones,
        config.searches_per_second,
    )
}

fn query_type_text(query_type: &QueryType) -> String {
    let QueryType {
        name,
        share,
        repeats,
        floor,
    } = query_type;
    format!(
        "[[query_type]]\nname = \"{name}\"\nshare = {share}\nlatency_target = 0.6\nclient_timeout = 1.5\n\
         repeats = \"{repeats}\"\nwindow = 1.0\nany_holder = true\nneed = 1.0\n\
         floor = {floor}\nfetch = 0\n\
         least_parts = 2\nmost_parts = 4\nwork = 0.002\n"
    )
}
