//! Parses arguments that name seeds, scripts and kinds of faults, and loads the scripts.

use crate::error::{CommandError, InvalidScriptSnafu, ReadScriptSnafu, WriteSnafu};
use clap::Args;
use snafu::ResultExt;
use std::ops::Range;
use std::path::Path;
use woadreach_simulation::{FaultKind, Script};

// No doc comment here: clap would print it as the description of the subcommand.
#[derive(Args)]
pub(super) struct ScriptArguments {
    /// A seed, or the path of a script
    script: String,
    /// Draws whole-tier scripts: 20 and 30 co-ordinators, and replicas that start together
    #[arg(long)]
    tier: bool,
}

impl ScriptArguments {
    /// Draws the script of the seed, or reads it from the file.
    pub(super) fn load(&self) -> Result<Script, CommandError> {
        load_script(&self.script, self.tier)
    }
}

/// Parses a range of seeds, `A..B`, without B.
pub(super) fn parse_seeds(text: &str) -> Result<Range<u64>, InvalidArgument> {
    let expected = || {
        InvalidArgument(format!(
            "expected A..B with A less than B, for example 0..1000; got {text}"
        ))
    };
    let (from, to) = text.split_once("..").ok_or_else(expected)?;
    match (from.parse(), to.parse()) {
        (Ok(from), Ok(to)) if from < to => Ok(from..to),
        _ => Err(expected()),
    }
}

/// Checks the name of a kind of fault.
pub(super) fn parse_fault_kind(text: &str) -> Result<String, InvalidArgument> {
    if FaultKind::NAMES.contains(&text) {
        Ok(text.to_string())
    } else {
        let names = FaultKind::NAMES.join(", ");
        Err(InvalidArgument(format!(
            "unknown kind of fault; expected one of {names}"
        )))
    }
}

/// Error for an argument that cannot be parsed: what was expected.
#[derive(Clone, Debug)]
pub(super) struct InvalidArgument(String);

impl std::fmt::Display for InvalidArgument {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for InvalidArgument {}

/// Draws the script of a seed: a whole-tier script if `tier`, else one with faults of the kinds in `only` (of all kinds
/// if empty) and with `seconds` under load.
pub(super) fn draw_script(seed: u64, tier: bool, only: &[String], seconds: Option<f64>) -> Script {
    if tier {
        Script::draw_tier(seed)
    } else {
        Script::draw(seed, only, seconds)
    }
}

/// Draws the script if the argument is a seed, else reads it from the file at this path.
pub(super) fn load_script(seed_or_file: &str, tier: bool) -> Result<Script, CommandError> {
    if let Ok(seed) = seed_or_file.parse() {
        return Ok(draw_script(seed, tier, &[], None));
    }
    let text =
        std::fs::read_to_string(seed_or_file).context(ReadScriptSnafu { path: seed_or_file })?;
    Script::read(seed_or_file, &text).context(InvalidScriptSnafu)
}

/// Writes a file, and replaces an existing one.
pub(super) fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).context(WriteSnafu { path })
}
