//! The arguments that name seeds, scripts and kinds of faults, and the scripts that they stand for.

use crate::error::{CommandError, InvalidScriptSnafu, ReadScriptSnafu, WriteSnafu};
use clap::Args;
use snafu::ResultExt;
use std::ops::Range;
use std::path::Path;
use woadreach_simulation::{FaultKind, Script};

// Without a doc comment: clap would print it as the description of the subcommand.
#[derive(Args)]
pub(super) struct ScriptArguments {
    /// A seed, or the file of a script
    script: String,
    /// Days of a whole tier: 20 and 30 co-ordinators, and replicas that start together
    #[arg(long)]
    tier: bool,
}

impl ScriptArguments {
    /// The script of the seed, or the one in the file.
    pub(super) fn script(&self) -> Result<Script, CommandError> {
        script(&self.script, self.tier)
    }
}

/// Reads a range of seeds, `A..B`.
pub(super) fn seeds(text: &str) -> Result<Range<u64>, InvalidArgument> {
    let expected = || {
        InvalidArgument(format!(
            "expected A..B with A before B, as in 0..1000, and not {text}"
        ))
    };
    let (from, to) = text.split_once("..").ok_or_else(expected)?;
    match (from.parse(), to.parse()) {
        (Ok(from), Ok(to)) if from < to => Ok(from..to),
        _ => Err(expected()),
    }
}

/// Reads the name of a kind of fault.
pub(super) fn kind(text: &str) -> Result<String, InvalidArgument> {
    if FaultKind::NAMES.contains(&text) {
        Ok(text.to_string())
    } else {
        let names = FaultKind::NAMES.join(", ");
        Err(InvalidArgument(format!("no such kind; there are {names}")))
    }
}

/// Why an argument can't be read.
#[derive(Clone, Debug)]
pub(super) struct InvalidArgument(String);

impl std::fmt::Display for InvalidArgument {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for InvalidArgument {}

/// A seed's script: of its ordinary day, or of its day of a whole tier.
pub(super) fn drawn(seed: u64, tier: bool, only: &[String], seconds: Option<f64>) -> Script {
    if tier {
        Script::draw_tier(seed)
    } else {
        Script::draw(seed, only, seconds)
    }
}

/// The script of a seed, or the one in a file.
pub(super) fn script(seed_or_file: &str, tier: bool) -> Result<Script, CommandError> {
    if let Ok(seed) = seed_or_file.parse() {
        return Ok(drawn(seed, tier, &[], None));
    }
    let text =
        std::fs::read_to_string(seed_or_file).context(ReadScriptSnafu { path: seed_or_file })?;
    Script::read(seed_or_file, &text).context(InvalidScriptSnafu)
}

/// Writes a file, in place of one that is there.
pub(super) fn write(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).context(WriteSnafu { path })
}
