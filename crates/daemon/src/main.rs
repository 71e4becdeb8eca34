//! The `toucanwall` daemon, which runs an entry host.

mod admin;
mod backend;
mod caller_api;
mod cli;
mod control;
mod forward;
mod logging;
mod metrics;
mod peers;
mod rating;
mod response;
mod run;
mod sse;

use std::process;

use clap::Parser as _;

fn main() -> process::ExitCode {
    let arguments = cli::Arguments::parse();
    let (result, code) = match &arguments.command {
        Some(cli::Command::Gateway { log_level }) => {
            let result = toucanwall_gateway::run(*log_level);
            let code = result.as_ref().err().map_or(0, toucanwall_gateway::RunError::exit_code);
            (result.map_err(|error| error.to_string()), code)
        }
        None => {
            let result = run::run(&arguments);
            let code = result.as_ref().err().map_or(0, run::RunError::exit_code);
            (result.map_err(|error| error.to_string()), code)
        }
    };
    if let Err(error) = result {
        eprintln!("toucanwall: {error}");
    }
    process::ExitCode::from(code)
}
