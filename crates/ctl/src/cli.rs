//! Command-line arguments. The doc comments are the help texts that clap prints.

use std::net;
use std::path;

use clap::Parser;

/// Checks, changes and shows what toucanwall has in force.
#[derive(Debug)]
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done, 1 findings, 2 wrong input, 3 conflict, 4 outcome unknown, \
                  5 platform or host unreachable, 6 not in force everywhere yet"
)]
pub struct Arguments {
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub enum Command {
    /// Check a document and print every finding.
    #[command(after_help = "Example:\n  toucanctl check kite-clubs.yaml")]
    Check {
        /// The document, in YAML or JSON.
        document: path::PathBuf,
    },
    /// Show what applying a document would change.
    #[command(after_help = "Example:\n  toucanctl diff kite-clubs.yaml --platform 127.0.0.1:7000")]
    Diff {
        /// The document, in YAML or JSON.
        document: path::PathBuf,
        /// The platform's store.
        #[arg(long)]
        platform: net::SocketAddr,
    },
    /// Put a document in force.
    #[command(
        after_help = "Example:\n  toucanctl apply kite-clubs.yaml --platform 127.0.0.1:7000 \
                            --author ama --reason 'Easter festival'"
    )]
    Apply(ApplyArguments),
    /// Serve the console of forms until it is ended.
    #[command(after_help = "Example:\n  toucanctl console --listen 127.0.0.1:7900 \
                            --platform 127.0.0.1:7000 --host 127.0.0.1:7300")]
    Console {
        /// Where browsers connect.
        #[arg(long)]
        listen: net::SocketAddr,
        /// The platform's store.
        #[arg(long)]
        platform: net::SocketAddr,
        /// The admin address of any host, to show which hosts have a change in force.
        #[arg(long)]
        host: Option<net::SocketAddr>,
    },
    /// Print the document in force.
    Show {
        /// The platform's store.
        #[arg(long)]
        platform: net::SocketAddr,
    },
    /// Show the hosts and which revision each has in force.
    #[command(after_help = "Example:\n  toucanctl status --host 127.0.0.1:7300")]
    Status {
        /// The admin address of any host.
        #[arg(long)]
        host: net::SocketAddr,
    },
    /// Show who changed what, when and why.
    Trail {
        /// The platform's store.
        #[arg(long)]
        platform: net::SocketAddr,
        /// Only changes after this revision.
        #[arg(long, default_value_t = 0)]
        after: u64,
        /// Print one JSON object a change.
        #[arg(long)]
        json: bool,
    },
    /// Tell what happened to a request on the users' platform, from the logs of its hosts.
    #[command(after_help = "Example:\n  toucanctl explain 42efdf7748eb46fc host-1.log host-2.log")]
    Explain {
        /// The request's id.
        request: String,
        /// Log files of hosts; the standard input if there are none.
        files: Vec<path::PathBuf>,
    },
    /// Draw a new key for an organisation and print it with its digest.
    Key,
    /// Print a completion script for a shell.
    Completion {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Put a document in force.
#[derive(Debug)]
#[derive(clap::Args)]
pub struct ApplyArguments {
    /// The document, in YAML or JSON.
    pub document: path::PathBuf,
    /// The platform's store.
    #[arg(long)]
    pub platform: net::SocketAddr,
    /// Who makes the change.
    #[arg(long)]
    pub author: String,
    /// Why.
    #[arg(long)]
    pub reason: String,
    /// The revision that you looked at; another one in force is a conflict.
    #[arg(long)]
    pub expect_revision: Option<u64>,
    /// Longest time to wait for the platform, in seconds.
    #[arg(long, default_value_t = 30)]
    pub timeout_s: u64,
    /// Wait until every live host has the change in force; the admin address of any host.
    #[arg(long)]
    pub wait_host: Option<net::SocketAddr>,
}
