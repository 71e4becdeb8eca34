//! The console's pages: plain forms that need no script and work with a keyboard.

use std::fmt::Write as _;

use serde_json::Value;
use toucanwall_coordination::config_replica;
use toucanwall_coordination::parts;
use toucanwall_document::finding;

use crate::fleet;
use crate::render;

use super::Fields;
use super::form;

const STYLE: &str = "body{font:16px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;\
padding:0 1rem;color:#1b1b1b}fieldset{margin:0 0 1rem;border:1px solid #999}label{display:grid;\
grid-template-columns:18rem 1fr;gap:.5rem;margin:.2rem 0}.finding{color:#a40000;margin:.1rem 0 \
.5rem 18.5rem}pre{background:#f3f3f3;padding:1rem;overflow:auto}button{font:inherit;padding:.4rem \
1rem}:focus{outline:3px solid #1a5fb4}table{border-collapse:collapse}td,th{border:1px solid #999;\
padding:.2rem .6rem;text-align:left}.bad{color:#a40000;font-weight:bold}";

/// The forms, with each finding beside its field.
#[must_use]
pub fn edit(
    revision: u64,
    document: &Value,
    fields: &Fields,
    findings: Option<&finding::Findings>,
) -> String {
    let mut body = String::new();
    if let Some(findings) = findings {
        put(
            &mut body,
            format_args!(
                "<p class=bad role=alert>{} findings; nothing was sent.</p>",
                findings.items.len()
            ),
        );
    }
    put(
        &mut body,
        format_args!("<p>Revision {revision} is what you look at. <a href=/hosts>Hosts</a></p>"),
    );
    body.push_str("<form method=post action=/preview>");
    put(&mut body, format_args!("<input type=hidden name=revision value={revision}>"));
    for section in form::SECTIONS {
        put_section(&mut body, section, &document[section], findings);
    }
    put_people(&mut body, fields);
    body.push_str("<button>Check and show the difference</button></form>");
    page("Edit", &body)
}

/// The difference, before anything is sent.
#[must_use]
pub fn preview(
    revision: u64,
    base: &config_replica::Snapshot,
    difference: &parts::Difference,
    is_stale: bool,
    yaml: &str,
    fields: &Fields,
) -> String {
    let mut body = String::new();
    if is_stale {
        let latest = base.revision;
        put(
            &mut body,
            format_args!(
                "<p class=bad role=alert>Conflict: revision {latest} is in force, you looked at {revision}. <a href=/>Start from it</a>.</p>"
            ),
        );
        return page("Conflict", &body);
    }
    let text = escape(&render::difference(&base.parts, difference));
    put(
        &mut body,
        format_args!("<h2>Difference against revision {revision}</h2><pre>{text}</pre>"),
    );
    body.push_str("<form method=post action=/apply>");
    put(&mut body, format_args!("<input type=hidden name=revision value={revision}>"));
    put_people(&mut body, fields);
    put(
        &mut body,
        format_args!(
            "<details><summary>The document</summary><textarea name=document rows=20 cols=90 readonly>{}</textarea></details>",
            escape(yaml)
        ),
    );
    body.push_str("<button>Put in force</button></form>");
    page("Difference", &body)
}

/// A change was accepted.
#[must_use]
pub fn accepted(revision: u64) -> String {
    let body = format!(
        "<p>Revision {revision} is accepted. <a href=/hosts>Which hosts have it in force</a></p>"
    );
    page("Accepted", &body)
}

/// Hosts and what they have in force.
#[must_use]
pub fn hosts(hosts: &[fleet::HostState]) -> String {
    let latest = hosts.iter().filter_map(|host| host.revision).max();
    let mut body = "<table><tr><th>Host<th>Data centre<th>State<th>Revision</tr>".to_owned();
    for host in hosts {
        let class = if host.revision == latest { "" } else { " class=bad" };
        let revision = host.revision.map_or("silent".to_owned(), |known| known.to_string());
        let (id, data_centre) = (escape(&host.id), escape(&host.data_centre));
        let status = escape(&host.status);
        put(
            &mut body,
            format_args!("<tr><td>{id}<td>{data_centre}<td>{status}<td{class}>{revision}</tr>"),
        );
    }
    body.push_str("</table><p><a href=/hosts>Look again</a> <a href=/>Edit</a></p>");
    page("Hosts", &body)
}

/// Something went wrong.
#[must_use]
pub fn problem(text: &str) -> String {
    let body = format!("<p class=bad role=alert>{}</p><p><a href=/>Back</a></p>", escape(text));
    page("Not done", &body)
}

fn page(title: &str, body: &str) -> String {
    format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>toucanwall: {title}</title>\
         <style>{STYLE}</style><main><h1>{title}</h1>{body}</main></html>"
    )
}

fn put_section(
    out: &mut String,
    section: &str,
    entries: &Value,
    findings: Option<&finding::Findings>,
) {
    put(out, format_args!("<h2>{section}</h2>"));
    for (name, entry) in entries.as_object().into_iter().flatten() {
        let path = format!("{section}/{name}");
        put(out, format_args!("<fieldset><legend>{}</legend>", escape(name)));
        put_findings(out, &path, findings, true);
        for (field, kind) in form::fields_of(section, false) {
            put_field(out, section, &format!("{path}/{field}"), *kind, &entry[*field], findings);
        }
        put_remove(out, &path);
        out.push_str("</fieldset>");
    }
    put_new(out, section);
}

fn put_field(
    out: &mut String,
    section: &str,
    path: &str,
    kind: form::Kind,
    value: &Value,
    findings: Option<&finding::Findings>,
) {
    if kind != form::Kind::Entries {
        put_input(out, path, kind, value, findings);
        return;
    }
    put_findings(out, path, findings, true);
    for (name, entry) in value.as_object().into_iter().flatten() {
        let path = format!("{path}/{name}");
        let nested = form::fields_of(section, true);
        if nested.is_empty() {
            put_input(out, &path, form::Kind::List, entry, findings);
        } else {
            put_findings(out, &path, findings, true);
        }
        for (field, kind) in nested {
            put_input(out, &format!("{path}/{field}"), *kind, &entry[*field], findings);
        }
        put_remove(out, &path);
    }
    put_new(out, path);
}

fn put_input(
    out: &mut String,
    path: &str,
    kind: form::Kind,
    value: &Value,
    findings: Option<&finding::Findings>,
) {
    let name = escape(path);
    let label = escape(path.split_once('/').map_or(path, |(_, rest)| rest));
    let text = escape(&text_of(value));
    if kind == form::Kind::Flag {
        let (yes, no) = if text == "true" { (" selected", "") } else { ("", " selected") };
        put(
            out,
            format_args!(
                "<label>{label}<select name=\"{name}\"><option{no}>false<option{yes}>true</select></label>"
            ),
        );
    } else {
        put(out, format_args!("<label>{label}<input name=\"{name}\" value=\"{text}\"></label>"));
    }
    put_findings(out, path, findings, false);
}

/// Findings of a field; those of an entry are shown above its fields.
fn put_findings(
    out: &mut String,
    path: &str,
    findings: Option<&finding::Findings>,
    is_entry: bool,
) {
    let dotted = path.replace('/', ".");
    for finding in findings.into_iter().flat_map(|findings| &findings.items) {
        let is_below = is_entry
            && finding.field.strip_prefix(&dotted).is_some_and(|rest| rest.starts_with('.'))
            && finding.problem.contains("missing");
        if finding.field == dotted || is_below {
            let (problem, hint) = (escape(&finding.problem), escape(&finding.hint));
            let field = escape(&finding.field);
            put(out, format_args!("<p class=finding role=alert>{field}: {problem}. {hint}</p>"));
        }
    }
}

fn put_people(out: &mut String, fields: &Fields) {
    for (name, label) in [("author", "Who changes it"), ("reason", "Why")] {
        let value = escape(fields.get(name).map(String::as_str).unwrap_or_default());
        put(
            out,
            format_args!("<label>{label}<input name={name} value=\"{value}\" required></label>"),
        );
    }
}

fn put_new(out: &mut String, path: &str) {
    let name = escape(path);
    put(out, format_args!("<label>New name in {name}<input name=\"new/{name}\"></label>"));
}

fn put_remove(out: &mut String, path: &str) {
    let name = escape(path);
    put(
        out,
        format_args!("<label>Remove {name}<input type=checkbox name=\"remove/{name}\"></label>"),
    );
}

fn text_of(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(text_of).collect::<Vec<String>>().join(", "),
        other => other.to_string(),
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn put(out: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    out.write_fmt(text).unwrap_or_default();
}
