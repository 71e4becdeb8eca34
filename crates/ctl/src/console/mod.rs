//! A web console whose forms edit the configuration document.
//!
//! The server keeps no state between two pages: the forms carry it. A form carries the revision
//! that it was rendered from, so that a change by another operator in the meantime is reported as
//! a conflict.

mod form;
mod page;

use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use poem::EndpointExt as _;
use poem::IntoEndpoint as _;
use poem::listener::Listener as _;
use poem::web;
use toucanwall_document::check;
use toucanwall_document::finding;
use toucanwall_document::node;
use toucanwall_document::parts;
use toucanwall_platform::Client;
use toucanwall_platform::configuration;

use crate::commands;
use crate::error;
use crate::fleet;

/// Longest time to wait for the platform to accept a change, in seconds.
const APPLY_TIMEOUT_S: u64 = 15;

/// State shared by the request handlers.
#[derive(Debug, Clone)]
struct ConsoleState {
    client: Client,
    /// Admin address of any host, from which the console learns about all hosts.
    host: Option<net::SocketAddr>,
}

/// Form fields by name.
type FormFields = collections::BTreeMap<String, String>;

/// Serves the console until the process ends.
///
/// # Errors
/// The address is in use or does not belong to this machine.
pub async fn serve(
    listen: net::SocketAddr,
    client: Client,
    host: Option<net::SocketAddr>,
) -> Result<(), error::CommandError> {
    let acceptor = poem::listener::TcpListener::bind(listen)
        .into_acceptor()
        .await
        .map_err(error::CommandError::Console)?;
    let routes = poem::Route::new()
        .at("/", poem::get(edit))
        .at("/preview", poem::post(preview))
        .at("/apply", poem::post(apply))
        .at("/hosts", poem::get(hosts))
        .data(Arc::new(ConsoleState { client, host }));
    println!("the console is at http://{listen}/");
    poem::Server::new_with_acceptor(acceptor)
        .run(routes.into_endpoint())
        .await
        .map_err(error::CommandError::Console)
}

#[poem::handler]
async fn edit(web::Data(console): web::Data<&Arc<ConsoleState>>) -> web::Html<String> {
    match configuration::load(&console.client).await {
        Ok(snapshot) => {
            let document = form::document_from_parts(&snapshot.parts);
            web::Html(page::edit(snapshot.revision, &document, &FormFields::new(), None))
        }
        Err(error) => web::Html(page::error(&error.to_string())),
    }
}

#[poem::handler]
async fn preview(
    web::Form(fields): web::Form<FormFields>,
    web::Data(console): web::Data<&Arc<ConsoleState>>,
) -> web::Html<String> {
    let revision = base_revision(&fields);
    let document = form::document_from_form(&fields);
    match check::check_node("form", &node::Node::from(document.clone())) {
        Err(findings) => web::Html(page::edit(revision, &document, &fields, Some(&findings))),
        Ok(checked) => match configuration::load(&console.client).await {
            Ok(base) => {
                let parts = parts::split(&checked);
                let difference = base.parts.difference_to(&parts);
                let is_stale = base.revision != revision;
                let yaml = checked.to_yaml();
                web::Html(page::preview(revision, &base, &difference, is_stale, &yaml, &fields))
            }
            Err(error) => web::Html(page::error(&error.to_string())),
        },
    }
}

#[poem::handler]
async fn apply(
    web::Form(fields): web::Form<FormFields>,
    web::Data(console): web::Data<&Arc<ConsoleState>>,
) -> web::Html<String> {
    match try_apply(console, &fields).await {
        Ok(Some(revision)) => web::Html(page::accepted(revision)),
        Ok(None) => web::Html(page::error("no changes")),
        Err(error) => web::Html(page::error(&error.to_string())),
    }
}

#[poem::handler]
async fn hosts(web::Data(console): web::Data<&Arc<ConsoleState>>) -> web::Html<String> {
    let Some(host) = console.host else {
        return web::Html(page::error("start the console with --host to see the hosts"));
    };
    match fleet::fetch_hosts(host).await {
        Ok(hosts) => web::Html(page::hosts(&hosts)),
        Err(error) => web::Html(page::error(&error.to_string())),
    }
}

async fn try_apply(
    console: &ConsoleState,
    fields: &FormFields,
) -> Result<Option<u64>, error::CommandError> {
    let author = required_field(fields, "author")?;
    let reason = required_field(fields, "reason")?;
    let text = fields.get("document").map(String::as_str).unwrap_or_default();
    let document = check::check("form", text)?;
    let base = configuration::load(&console.client).await?;
    let expected = base_revision(fields);
    if base.revision != expected {
        return Err(error::CommandError::StaleRevision { expected, latest: base.revision });
    }
    let timeout = time::Duration::from_secs(APPLY_TIMEOUT_S);
    commands::propose(&console.client, base, parts::split(&document), author, reason, timeout).await
}

fn required_field<'a>(fields: &'a FormFields, name: &str) -> Result<&'a str, error::CommandError> {
    if let Some(text) = fields.get(name).map(|text| text.trim()).filter(|text| !text.is_empty()) {
        Ok(text)
    } else {
        let mut findings = finding::Findings::new("form");
        findings.add(finding::Position::default(), name, "this field is missing");
        Err(error::CommandError::Findings(findings))
    }
}

fn base_revision(fields: &FormFields) -> u64 {
    fields.get("revision").and_then(|text| text.parse().ok()).unwrap_or(0)
}
