//! What the tests of complete runs share: the settings of their test worlds, and a run in which no rule may break.

use woadreach_simulation::{Options, Outcome, Script, play};

/// The settings of the co-ordinators, as a table of a script.
const SETTINGS: &str = r#"
[settings]
per_call = 2
cancelling = true
copies = true
attempts = 3
streams = 100
descriptors = 256
retry_after = true
marks_repeats = false
drain_grace = 0.5
connect_timeout = 0.25
idle_close = 30.0
cold = { from = 0.25, time = 4.0, multiple = 2.0, window = 2.0 }
"#;

/// Reads the script of a test world; `world` has all of its tables but the settings.
pub(crate) fn read_world(name: &str, world: &str) -> Script {
    read_script(name, &format!("{world}{SETTINGS}"))
}

/// Reads a complete script.
pub(crate) fn read_script(name: &str, text: &str) -> Script {
    Script::read(name, text).unwrap_or_else(|error| panic!("{error}"))
}

/// Plays a script; no rule may break.
pub(crate) fn play_without_breach(script: &Script) -> Outcome {
    let outcome = play(script, Options::default());
    let breaches: Vec<String> = outcome
        .breaches
        .iter()
        .map(|breach| format!("{}: {}", breach.rule, breach.why))
        .collect();
    assert!(breaches.is_empty(), "{breaches:#?}");
    outcome
}
