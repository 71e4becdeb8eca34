//! The commands.

use std::fs;
use std::path;
use std::sync::Arc;
use std::time;

use clap::CommandFactory as _;
use rand::RngExt as _;
use toucanwall_coordination::config_replica;
use toucanwall_coordination::parts;
use toucanwall_document::check;
use toucanwall_document::parts as document_parts;
use toucanwall_platform::Client;
use toucanwall_platform::configuration;

use crate::cli;
use crate::console;
use crate::error;
use crate::explain;
use crate::fleet;
use crate::render;

/// Bytes of a drawn key.
const KEY_BYTES: usize = 24;

/// Runs a command.
///
/// # Errors
/// [`error::CommandError`] with the exit code.
pub async fn run(arguments: cli::Arguments) -> Result<(), error::CommandError> {
    match arguments.command {
        cli::Command::Check { document } => check_document(&document),
        cli::Command::Diff { document, platform } => diff(&document, Client::new(platform)).await,
        cli::Command::Apply(apply) => apply_document(apply).await,
        cli::Command::Console { listen, platform, host } => {
            console::serve(listen, Client::new(platform), host).await
        }
        cli::Command::Show { platform } => show(Client::new(platform)).await,
        cli::Command::Status { host } => status(host).await,
        cli::Command::Trail { platform, after, json } => {
            trail(Client::new(platform), after, json).await
        }
        cli::Command::Explain { request, files } => explain::explain(&request, &files),
        cli::Command::Key => {
            draw_key();
            Ok(())
        }
        cli::Command::Completion { shell } => {
            let mut command = cli::Arguments::command();
            clap_complete::generate(shell, &mut command, "toucanctl", &mut std::io::stdout());
            Ok(())
        }
    }
}

/// Reads and checks a document.
///
/// # Errors
/// The file cannot be read, or has findings.
pub fn read_document(file: &path::Path) -> Result<parts::Parts, error::CommandError> {
    let text = fs::read_to_string(file)
        .map_err(|error| error::CommandError::File { path: file.to_owned(), error })?;
    let document = check::check(&file.display().to_string(), &text)?;
    Ok(document_parts::split(&document))
}

/// Proposes a value and reports what became of it.
///
/// # Errors
/// A conflict, or an outcome that is not known.
pub async fn propose(
    client: &Client,
    base: config_replica::Snapshot,
    parts: parts::Parts,
    author: &str,
    reason: &str,
    limit: time::Duration,
) -> Result<Option<u64>, error::CommandError> {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let proposal = configuration::Proposal {
        base,
        parts,
        author: Arc::from(author),
        reason: Arc::from(reason),
        at_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        nonce: rand::rng().random(),
    };
    match configuration::append(client, &proposal, limit).await {
        configuration::Outcome::Accepted(revision) => Ok(Some(revision)),
        configuration::Outcome::Unchanged => Ok(None),
        configuration::Outcome::Conflict(change) => Err(error::CommandError::Conflict(change)),
        configuration::Outcome::Unknown => Err(error::CommandError::Unknown),
    }
}

fn check_document(file: &path::Path) -> Result<(), error::CommandError> {
    let parts = read_document(file)?;
    println!("{}: no findings, {} entries", file.display(), parts.0.len());
    Ok(())
}

async fn diff(file: &path::Path, client: Client) -> Result<(), error::CommandError> {
    let parts = read_document(file)?;
    let base = configuration::load(&client).await?;
    let difference = base.parts.difference_to(&parts);
    println!("against revision {}:", base.revision);
    print!("{}", render::difference(&base.parts, &difference));
    Ok(())
}

async fn apply_document(apply: cli::Apply) -> Result<(), error::CommandError> {
    let parts = read_document(&apply.document)?;
    let client = Client::new(apply.platform);
    let base = configuration::load(&client).await?;
    if let Some(expected) = apply.expect_revision
        && expected != base.revision
    {
        return Err(error::CommandError::Stale { expected, latest: base.revision });
    }
    print!("{}", render::difference(&base.parts, &base.parts.difference_to(&parts)));
    let in_force = base.revision;
    let limit = time::Duration::from_secs(apply.timeout_s);
    let accepted = propose(&client, base, parts, &apply.author, &apply.reason, limit).await?;
    let revision = if let Some(revision) = accepted {
        println!("revision {revision} is accepted");
        revision
    } else {
        println!("nothing changes; revision {in_force} stays");
        in_force
    };
    match apply.wait_host {
        Some(host) => fleet::wait_in_force(host, revision, limit).await,
        None => Ok(()),
    }
}

async fn show(client: Client) -> Result<(), error::CommandError> {
    let snapshot = configuration::load(&client).await?;
    let document = document_parts::join(&snapshot.parts)?;
    println!("# revision {}", snapshot.revision);
    print!("{}", document.to_yaml());
    Ok(())
}

async fn status(host: std::net::SocketAddr) -> Result<(), error::CommandError> {
    let hosts = fleet::hosts(host).await?;
    print!("{}", render::hosts(&hosts));
    Ok(())
}

async fn trail(client: Client, after: u64, json: bool) -> Result<(), error::CommandError> {
    let mut after = after;
    loop {
        let changes = configuration::changes_after(&client, after).await?;
        let Some(last) = changes.last() else {
            return Ok(());
        };
        after = last.revision;
        for change in &changes {
            print!("{}", if json { render::change_json(change) } else { render::change(change) });
        }
    }
}

fn draw_key() {
    use sha2::Digest as _;
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    let key = format!("tw-{}", hex::encode(bytes));
    let digest = hex::encode(sha2::Sha256::digest(key.as_bytes()));
    println!("key: {key}\nkey_sha256: {digest}");
}
