//! `woadreach status`: reads the metrics pages of all machines that a file names, and prints what they say.
//!
//! - `machines.rs`: the file and its checks.
//! - `fetch.rs`: reads the pages over HTTP, many at once.
//! - `parsed_page.rs`: the samples of a page.
//! - `judgement.rs`: what in the figures of one machine, or beside those of the others, needs attention.
//! - `table.rs`: the printed table.

mod fetch;
mod judgement;
pub(crate) mod machines;
mod parsed_page;
mod table;

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;
use snafu::ResultExt;

use crate::Finding;
use crate::error::{CommandError, JsonSnafu, RuntimeSnafu, StatusFileSnafu};
use crate::output::Format;
use judgement::{Role, judge};
use machines::MachineList;
use parsed_page::ParsedPage;

/// Reads the state of a tier's machines from their metrics pages
#[derive(Args)]
#[command(
    after_help = "The file (TOML):\n  timeout_ms = 1000\n  [[machine]]\n  name = \"core-1\"\n  \
                  metrics = \"10.1.0.41:7381\"\n\n\
                  Exit code 1 if a machine cannot be read or needs attention."
)]
pub(crate) struct StatusArguments {
    /// File that names the machines and the addresses of their metrics pages
    #[arg(value_name = "FILE")]
    machines: PathBuf,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// What was read of one machine.
#[derive(Debug, Serialize)]
struct MachineStatus {
    name: String,
    metrics: String,
    /// What the machine is, by its figures.
    role: Option<Role>,
    /// Why its page could not be read.
    error: Option<String>,
    /// What needs attention.
    remarks: Vec<String>,
    /// Every sample of the page by its name and labels.
    #[serde(rename = "figures")]
    page: ParsedPage,
}

impl MachineStatus {
    fn needs_attention(&self) -> bool {
        self.error.is_some() || !self.remarks.is_empty()
    }
}

/// Reads all machines and prints what they say.
pub(crate) fn execute(arguments: StatusArguments) -> Result<Finding, CommandError> {
    let list = MachineList::load(&arguments.machines).context(StatusFileSnafu)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let pages = runtime.block_on(fetch::fetch_all(&list));
    let mut statuses: Vec<MachineStatus> = list
        .machines
        .iter()
        .zip(pages)
        .map(|(machine, page)| {
            let (page, error) = match page {
                Ok(page) => (page, None),
                Err(error) => (ParsedPage::default(), Some(error.to_string())),
            };
            MachineStatus {
                name: machine.name.clone(),
                metrics: machine.metrics.to_string(),
                role: Role::of(&page),
                error,
                remarks: Vec::new(),
                page,
            }
        })
        .collect();
    judge(&mut statuses);
    match arguments.format {
        Format::Text => print!("{}", table::render(&statuses)),
        Format::Json => {
            let json = serde_json::to_string_pretty(&statuses).context(JsonSnafu)?;
            println!("{json}");
        }
    }
    Ok(if statuses.iter().any(MachineStatus::needs_attention) {
        Finding::Something
    } else {
        Finding::Nothing
    })
}
