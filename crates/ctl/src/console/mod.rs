//! A web console of forms whose output is one validated document.
//!
//! Nothing is kept between two pages but what the forms themselves carry. A proposal names
//! the revision that its author saw, so that somebody else's change is a conflict.

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

/// Longest time to wait for the platform, in seconds.
const APPLY_S: u64 = 15;

/// What the pages share.
#[derive(Debug, Clone)]
struct Console {
    client: Client,
    host: Option<net::SocketAddr>,
}

/// Form fields by name.
type Fields = collections::BTreeMap<String, String>;

/// Serves the console until it is ended.
///
/// # Errors
/// The address is in use or not one of this machine.
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
        .data(Arc::new(Console { client, host }));
    println!("the console is at http://{listen}/");
    poem::Server::new_with_acceptor(acceptor)
        .run(routes.into_endpoint())
        .await
        .map_err(error::CommandError::Console)
}

#[poem::handler]
async fn edit(web::Data(console): web::Data<&Arc<Console>>) -> web::Html<String> {
    match configuration::load(&console.client).await {
        Ok(snapshot) => {
            let document = form::document_of(&snapshot.parts);
            web::Html(page::edit(snapshot.revision, &document, &Fields::new(), None))
        }
        Err(error) => web::Html(page::problem(&error.to_string())),
    }
}

#[poem::handler]
async fn preview(
    web::Form(fields): web::Form<Fields>,
    web::Data(console): web::Data<&Arc<Console>>,
) -> web::Html<String> {
    let revision = revision_of(&fields);
    let document = form::document_from(&fields);
    match check::check_node("form", &node::Node::from(document.clone())) {
        Err(findings) => web::Html(page::edit(revision, &document, &fields, Some(&findings))),
        Ok(checked) => match configuration::load(&console.client).await {
            Ok(base) => {
                let cut = parts::split(&checked);
                let difference = base.parts.difference_to(&cut);
                let is_stale = base.revision != revision;
                let yaml = checked.to_yaml();
                web::Html(page::preview(revision, &base, &difference, is_stale, &yaml, &fields))
            }
            Err(error) => web::Html(page::problem(&error.to_string())),
        },
    }
}

#[poem::handler]
async fn apply(
    web::Form(fields): web::Form<Fields>,
    web::Data(console): web::Data<&Arc<Console>>,
) -> web::Html<String> {
    match try_apply(console, &fields).await {
        Ok(Some(revision)) => web::Html(page::accepted(revision)),
        Ok(None) => web::Html(page::problem("nothing changes")),
        Err(error) => web::Html(page::problem(&error.to_string())),
    }
}

#[poem::handler]
async fn hosts(web::Data(console): web::Data<&Arc<Console>>) -> web::Html<String> {
    let Some(host) = console.host else {
        return web::Html(page::problem("start the console with --host to see the hosts"));
    };
    match fleet::hosts(host).await {
        Ok(hosts) => web::Html(page::hosts(&hosts)),
        Err(error) => web::Html(page::problem(&error.to_string())),
    }
}

async fn try_apply(console: &Console, fields: &Fields) -> Result<Option<u64>, error::CommandError> {
    let author = required(fields, "author")?;
    let reason = required(fields, "reason")?;
    let text = fields.get("document").map(String::as_str).unwrap_or_default();
    let document = check::check("form", text)?;
    let base = configuration::load(&console.client).await?;
    let expected = revision_of(fields);
    if base.revision != expected {
        return Err(error::CommandError::Stale { expected, latest: base.revision });
    }
    let limit = time::Duration::from_secs(APPLY_S);
    commands::propose(&console.client, base, parts::split(&document), author, reason, limit).await
}

fn required<'a>(fields: &'a Fields, name: &str) -> Result<&'a str, error::CommandError> {
    if let Some(text) = fields.get(name).map(|text| text.trim()).filter(|text| !text.is_empty()) {
        Ok(text)
    } else {
        let mut findings = finding::Findings::new("form");
        findings.add(finding::Position::default(), name, "this field is missing");
        Err(error::CommandError::Findings(findings))
    }
}

fn revision_of(fields: &Fields) -> u64 {
    fields.get("revision").and_then(|text| text.parse().ok()).unwrap_or(0)
}
