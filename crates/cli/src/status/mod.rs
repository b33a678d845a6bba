//! `woadreach status`: reads the metrics pages of all machines in a list, and prints their state.
//!
//! - `machines.rs`: the machine list and its checks.
//! - `fetch.rs`: reads the pages over HTTP, concurrently.
//! - `parsed_page.rs`: the samples of a page.
//! - `remarks.rs`: conditions that need attention, from the metrics of one machine or compared with the other machines.
//! - `table.rs`: the printed table.

mod fetch;
pub(crate) mod machines;
mod parsed_page;
mod remarks;
mod table;

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;
use snafu::ResultExt;

use crate::Finding;
use crate::error::{CommandError, JsonSnafu, RuntimeSnafu, StatusFileSnafu};
use crate::output::Format;
use machines::MachineList;
use parsed_page::ParsedPage;
use remarks::{Role, set_remarks};

/// Prints the state of a tier's machines, from their metrics pages
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

/// State of one machine, from its metrics page.
#[derive(Debug, Serialize)]
struct MachineStatus {
    name: String,
    /// Address of the metrics page.
    metrics: String,
    /// `None` if the page was not read or has no metric that is specific to a role.
    role: Option<Role>,
    /// Why the page could not be read; `None` if it was read.
    error: Option<String>,
    /// Conditions that need attention.
    remarks: Vec<String>,
    /// All samples of the page by name and labels; empty if it was not read.
    #[serde(rename = "figures")]
    page: ParsedPage,
}

impl MachineStatus {
    fn needs_attention(&self) -> bool {
        self.error.is_some() || !self.remarks.is_empty()
    }
}

/// Reads the pages of all machines in the list and prints their state.
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
    set_remarks(&mut statuses);
    match arguments.format {
        Format::Text => print!("{}", table::render(&statuses)),
        Format::Json => {
            let json = serde_json::to_string_pretty(&statuses).context(JsonSnafu)?;
            println!("{json}");
        }
    }
    Ok(if statuses.iter().any(MachineStatus::needs_attention) {
        Finding::Problem
    } else {
        Finding::NoProblem
    })
}
