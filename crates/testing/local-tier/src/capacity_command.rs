//! `woadreach-tier capacity`: the tables and plots of `docs/CAPACITY.md` anew from the runs' files.

use clap::{Arg, ArgMatches, Command, value_parser};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use woadreach_local_tier::capacity::{CapacityError, fill, load, plots, tables};

/// The subcommand's name.
pub const NAME: &str = "capacity";

/// The subcommand's arguments.
pub fn command() -> Command {
    let path = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    Command::new(NAME)
        .about("Makes the tables and plots of the capacity page anew from the runs' files")
        .after_help("Example: woadreach-tier capacity --runs docs/capacity --page docs/CAPACITY.md")
        .arg(path(
            "runs",
            "docs/capacity",
            "Folder of the runs' files, and of the plots",
        ))
        .arg(path("page", "docs/CAPACITY.md", "The page"))
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let path = |name: &str| {
        arguments
            .get_one::<PathBuf>(name)
            .cloned()
            .unwrap_or_default()
    };
    match make(&path("runs"), &path("page")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woadreach-local-tier capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

fn make(folder: &Path, page: &Path) -> Result<(), CapacityError> {
    let runs = load(folder)?;
    for plot in plots(&runs) {
        write(&folder.join(plot.file), &plot.svg)?;
    }
    let file_error = |source| CapacityError::File {
        path: page.to_owned(),
        source,
    };
    let text = std::fs::read_to_string(page).map_err(file_error)?;
    write(page, &fill(&text, &tables(&runs)?)?)
}

fn write(path: &Path, text: &str) -> Result<(), CapacityError> {
    std::fs::write(path, text).map_err(|source| CapacityError::File {
        path: path.to_owned(),
        source,
    })
}
