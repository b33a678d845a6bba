//! `woadreach faults mutations`: disables known defences one at a time, and reports how many seeds it
//! takes until a rule breaks.

use super::script::parse_seeds;
use crate::output::Format;
use clap::Args;
use std::ops::Range;
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct Arguments {
    /// Range of seeds; B is excluded
    #[arg(long, value_parser = parse_seeds, value_name = "A..B", default_value = "0..10000")]
    seeds: Range<u64>,
    /// Tests only these mutations
    #[arg(long, value_delimiter = ',', value_name = "MUTATION,..")]
    only: Vec<String>,
    /// Number of threads [default: one for each core]
    #[arg(long)]
    jobs: Option<usize>,
    /// Writes the smallest script that exposes each mutation to this folder
    #[arg(long, value_name = "FOLDER")]
    scripts: Option<PathBuf>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

#[cfg(not(feature = "mutations"))]
pub(super) use disabled::execute;
#[cfg(feature = "mutations")]
pub(super) use enabled::execute;

#[cfg(not(feature = "mutations"))]
mod disabled {
    use super::Arguments;
    use crate::Finding;
    use crate::error::CommandError;

    /// Returns an error: this build does not have the feature `mutations`.
    pub(crate) fn execute(_: &Arguments) -> Result<Finding, CommandError> {
        Err(CommandError::NoMutations)
    }
}

#[cfg(feature = "mutations")]
mod enabled {
    use super::super::parallel::play_all;
    use super::super::script::write_file;
    use super::Arguments;
    use crate::Finding;
    use crate::error::{CommandError, UnknownMutationSnafu, WriteSnafu};
    use crate::output::{Format, to_json};
    use snafu::{ResultExt, ensure};
    use std::collections::BTreeMap;
    use std::path::Path;
    use woadreach_simulation::mutations::{Hunted, hunt, names};

    /// Plays seeds under each mutation and prints the first seed that breaks a rule.
    pub(crate) fn execute(arguments: &Arguments) -> Result<Finding, CommandError> {
        let names = chosen_names(&arguments.only)?;
        let found = play_all(0..names.len() as u64, arguments.jobs, |index| {
            let name = names.get(index as usize)?;
            hunt(name, arguments.seeds.clone(), arguments.scripts.is_some())
        })?;
        let found: BTreeMap<&str, Hunted> = found
            .into_values()
            .map(|hunted| (hunted.mutation, hunted))
            .collect();
        if let Some(folder) = &arguments.scripts {
            write_scripts(folder, &found)?;
        }
        match arguments.format {
            Format::Json => println!("{}", to_json(&found.values().collect::<Vec<_>>())),
            Format::Text => found.values().for_each(print),
        }
        Ok(if found.values().all(|hunted| hunted.seed.is_some()) {
            Finding::NoProblem
        } else {
            Finding::Problem
        })
    }

    fn chosen_names(only: &[String]) -> Result<Vec<&'static str>, CommandError> {
        let names: Vec<&str> = names()
            .into_iter()
            .filter(|name| only.is_empty() || only.iter().any(|chosen| chosen == name))
            .collect();
        for name in only {
            ensure!(
                names.contains(&name.as_str()),
                UnknownMutationSnafu { name }
            );
        }
        Ok(names)
    }

    fn write_scripts(folder: &Path, found: &BTreeMap<&str, Hunted>) -> Result<(), CommandError> {
        std::fs::create_dir_all(folder).context(WriteSnafu { path: folder })?;
        for (name, hunted) in found {
            if let Some(small) = &hunted.small {
                write_file(&folder.join(format!("{name}.toml")), &small.script.text())?;
            }
        }
        Ok(())
    }

    fn print(hunted: &Hunted) {
        let seed = hunted.seed.map_or("-".into(), |seed| seed.to_string());
        let rule = hunted.rule.as_deref().unwrap_or("not found");
        println!(
            "{:<26}after {:>5} seeds, seed {seed:>5}: {rule:<42} {}",
            hunted.mutation, hunted.after, hunted.defence
        );
    }
}
