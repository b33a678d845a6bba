//! Entry point of `woadreach-control`: parses the command line, starts logging, and runs the role.

use std::process::ExitCode;

use woadreach_control::command_line::{Arguments, Role, parse};
use woadreach_control::error::RoleError;
use woadreach_control::{core_role, logging, storage_role};
use woadreach_settings::NodeSettings;

fn main() -> ExitCode {
    let arguments = match parse(std::env::args_os()) {
        Ok(arguments) => arguments,
        Err(error) => error.exit(),
    };
    logging::start(arguments.log_format, &arguments.log_filter);
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woadreach-control: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), RoleError> {
    let settings =
        NodeSettings::load_from_environment().map_err(|source| RoleError::Settings { source })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| RoleError::Runtime { source })?;
    match arguments.role {
        Role::Core => runtime.block_on(core_role::run(settings)),
        Role::Storage => runtime
            .block_on(storage_role::run(settings))
            .map_err(|source| RoleError::Storage { source }),
    }
}
