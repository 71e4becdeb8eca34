//! Command-line arguments.

use std::path;

use clap::Parser;
use clap::Subcommand;

/// Entry host of toucanwall: routes requests to allowed versions, once, at the right cost.
#[derive(Debug, Clone)]
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  toucanwall --settings host.yaml\n  toucanwall --settings host.yaml --check\n  toucanwall gateway",
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
pub struct Arguments {
    /// Subcommand; without one, the daemon runs a host with the given settings file.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Settings file, in YAML.
    #[arg(long, required = true)]
    pub settings: Option<path::PathBuf>,
    /// Check the settings, print every finding and exit.
    #[arg(long)]
    pub check: bool,
    /// Form of the log lines.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Least level that is logged.
    #[arg(long, default_value = "info")]
    pub log_level: log::LevelFilter,
}

/// Subcommands.
#[derive(Debug, Clone)]
#[derive(Subcommand)]
pub enum Command {
    /// A host on the users' platform, with the settings file that the platform names.
    Gateway {
        /// Least level that is logged.
        #[arg(long, default_value = "info")]
        log_level: log::LevelFilter,
    },
}

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(clap::ValueEnum)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}
