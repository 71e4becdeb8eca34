//! `toucanctl`, the operators' command-line tool: checks, applies and shows configurations.

mod cli;
mod commands;
mod console;
mod error;
mod explain;
mod fleet;
mod render;

use std::process;

use clap::Parser as _;

#[tokio::main]
async fn main() -> process::ExitCode {
    let arguments = cli::Arguments::parse();
    match commands::run(arguments).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}
