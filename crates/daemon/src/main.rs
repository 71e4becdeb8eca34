//! The daemon of an entry host.

mod admin;
mod answer;
mod backend;
mod cli;
mod control;
mod forward;
mod front;
mod logging;
mod metrics;
mod peers;
mod rating;
mod run;
mod sse;

use std::process;

use clap::Parser as _;

fn main() -> process::ExitCode {
    let arguments = cli::Arguments::parse();
    match run::run(&arguments) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("toucanwall: {error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}
