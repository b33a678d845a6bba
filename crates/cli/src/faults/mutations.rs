//! `woadreach faults mutations`: switches known defences off, and says after how many seeds each is missed.

use super::script::seeds;
use crate::output::Format;
use clap::Args;
use std::ops::Range;
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct Arguments {
    /// From the first to before the last
    #[arg(long, value_parser = seeds, value_name = "A..B", default_value = "0..10000")]
    seeds: Range<u64>,
    /// These only
    #[arg(long, value_delimiter = ',', value_name = "MUTATION,..")]
    only: Vec<String>,
    /// Threads; the cores of this machine if not given
    #[arg(long)]
    jobs: Option<usize>,
    /// Writes the smallest script that shows each to this folder
    #[arg(long, value_name = "FOLDER")]
    scripts: Option<PathBuf>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

#[cfg(feature = "mutations")]
pub(super) use hunting::execute;
#[cfg(not(feature = "mutations"))]
pub(super) use without_mutations::execute;

#[cfg(not(feature = "mutations"))]
mod without_mutations {
    use super::Arguments;
    use crate::Finding;
    use crate::error::CommandError;

    /// Fails, since this build has no mutations.
    pub(crate) fn execute(_: &Arguments) -> Result<Finding, CommandError> {
        Err(CommandError::NoMutations)
    }
}

#[cfg(feature = "mutations")]
mod hunting {
    use super::super::parallel::play_all;
    use super::super::script::write;
    use super::Arguments;
    use crate::Finding;
    use crate::error::{CommandError, UnknownMutationSnafu, WriteSnafu};
    use crate::output::{Format, json};
    use snafu::{ResultExt, ensure};
    use std::collections::BTreeMap;
    use std::path::Path;
    use woadreach_simulation::mutations::{Hunted, hunt, names};

    /// Hunts each mutation and prints which seed has found it.
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
            Format::Json => println!("{}", json(&found.values().collect::<Vec<_>>())),
            Format::Text => found.values().for_each(print),
        }
        Ok(if found.values().all(|hunted| hunted.seed.is_some()) {
            Finding::Nothing
        } else {
            Finding::Something
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
                write(&folder.join(format!("{name}.toml")), &small.script.text())?;
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
