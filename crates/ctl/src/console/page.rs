//! HTML pages of the console: plain forms that need no JavaScript and are usable by keyboard.

use std::fmt::Write as _;

use serde_json::Value;
use toucanwall_coordination::config_replica;
use toucanwall_coordination::parts;
use toucanwall_document::finding;

use crate::fleet;
use crate::render;

use super::FormFields;
use super::form;

const STYLE: &str = "body{font:16px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;\
padding:0 1rem;color:#1b1b1b}fieldset{margin:0 0 1rem;border:1px solid #999}label{display:grid;\
grid-template-columns:18rem 1fr;gap:.5rem;margin:.2rem 0}.finding{color:#a40000;margin:.1rem 0 \
.5rem 18.5rem}pre{background:#f3f3f3;padding:1rem;overflow:auto}button{font:inherit;padding:.4rem \
1rem}:focus{outline:3px solid #1a5fb4}table{border-collapse:collapse}td,th{border:1px solid #999;\
padding:.2rem .6rem;text-align:left}.bad{color:#a40000;font-weight:bold}";

/// Renders the form of the document, with each finding below its field.
#[must_use]
pub fn edit(
    revision: u64,
    document: &Value,
    fields: &FormFields,
    findings: Option<&finding::Findings>,
) -> String {
    let mut body = String::new();
    if let Some(findings) = findings {
        write_html(
            &mut body,
            format_args!(
                "<p class=bad role=alert>{} findings; nothing was changed.</p>",
                findings.items.len()
            ),
        );
    }
    write_html(
        &mut body,
        format_args!("<p>Editing revision {revision}. <a href=/hosts>Hosts</a></p>"),
    );
    body.push_str("<form method=post action=/preview>");
    write_html(&mut body, format_args!("<input type=hidden name=revision value={revision}>"));
    for section in form::SECTIONS {
        write_section(&mut body, section, &document[section], findings);
    }
    write_change_fields(&mut body, fields);
    body.push_str("<button>Check and preview</button></form>");
    html_page("Edit", &body)
}

/// Renders the difference that applying the document would make, or the conflict if the form is
/// based on a revision that is not in force.
#[must_use]
pub fn preview(
    revision: u64,
    base: &config_replica::Snapshot,
    difference: &parts::Difference,
    is_stale: bool,
    yaml: &str,
    fields: &FormFields,
) -> String {
    let mut body = String::new();
    if is_stale {
        let latest = base.revision;
        write_html(
            &mut body,
            format_args!(
                "<p class=bad role=alert>Conflict: revision {latest} is in force, but the form is based on revision {revision}. <a href=/>Edit the latest revision</a>.</p>"
            ),
        );
        return html_page("Conflict", &body);
    }
    let text = escape(&render::difference(&base.parts, difference));
    write_html(
        &mut body,
        format_args!("<h2>Difference against revision {revision}</h2><pre>{text}</pre>"),
    );
    body.push_str("<form method=post action=/apply>");
    write_html(&mut body, format_args!("<input type=hidden name=revision value={revision}>"));
    write_change_fields(&mut body, fields);
    write_html(
        &mut body,
        format_args!(
            "<details><summary>Document</summary><textarea name=document rows=20 cols=90 readonly>{}</textarea></details>",
            escape(yaml)
        ),
    );
    body.push_str("<button>Apply</button></form>");
    html_page("Difference", &body)
}

/// Renders the confirmation of an accepted change.
#[must_use]
pub fn accepted(revision: u64) -> String {
    let body = format!(
        "<p>Revision {revision} is accepted. <a href=/hosts>Show which hosts have it in force</a></p>"
    );
    html_page("Accepted", &body)
}

/// Renders the hosts with the revision that each has in force; revisions other than the highest
/// are highlighted.
#[must_use]
pub fn hosts(hosts: &[fleet::HostState]) -> String {
    let latest = hosts.iter().filter_map(|host| host.revision).max();
    let mut body = "<table><tr><th>Host<th>Data centre<th>State<th>Revision</tr>".to_owned();
    for host in hosts {
        let class = if host.revision == latest { "" } else { " class=bad" };
        let revision = host.revision.map_or("silent".to_owned(), |revision| revision.to_string());
        let (id, data_centre) = (escape(&host.id), escape(&host.data_centre));
        let status = escape(&host.status);
        write_html(
            &mut body,
            format_args!("<tr><td>{id}<td>{data_centre}<td>{status}<td{class}>{revision}</tr>"),
        );
    }
    body.push_str("</table><p><a href=/hosts>Refresh</a> <a href=/>Edit</a></p>");
    html_page("Hosts", &body)
}

/// Renders an error message.
#[must_use]
pub fn error(message: &str) -> String {
    let body = format!("<p class=bad role=alert>{}</p><p><a href=/>Back</a></p>", escape(message));
    html_page("Error", &body)
}

fn html_page(title: &str, body: &str) -> String {
    format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>toucanwall: {title}</title>\
         <style>{STYLE}</style><main><h1>{title}</h1>{body}</main></html>"
    )
}

fn write_section(
    out: &mut String,
    section: &str,
    entries: &Value,
    findings: Option<&finding::Findings>,
) {
    write_html(out, format_args!("<h2>{section}</h2>"));
    for (name, entry) in entries.as_object().into_iter().flatten() {
        let path = format!("{section}/{name}");
        write_html(out, format_args!("<fieldset><legend>{}</legend>", escape(name)));
        write_findings(out, &path, findings, true);
        for (field, kind) in form::entry_fields(section, false) {
            write_field(out, section, &format!("{path}/{field}"), *kind, &entry[*field], findings);
        }
        write_remove_checkbox(out, &path);
        out.push_str("</fieldset>");
    }
    write_new_entry_field(out, section);
}

fn write_field(
    out: &mut String,
    section: &str,
    path: &str,
    kind: form::Kind,
    value: &Value,
    findings: Option<&finding::Findings>,
) {
    if kind != form::Kind::Entries {
        write_input(out, path, kind, value, findings);
        return;
    }
    write_findings(out, path, findings, true);
    for (name, entry) in value.as_object().into_iter().flatten() {
        let path = format!("{path}/{name}");
        let nested_fields = form::entry_fields(section, true);
        if nested_fields.is_empty() {
            write_input(out, &path, form::Kind::List, entry, findings);
        } else {
            write_findings(out, &path, findings, true);
        }
        for (field, kind) in nested_fields {
            write_input(out, &format!("{path}/{field}"), *kind, &entry[*field], findings);
        }
        write_remove_checkbox(out, &path);
    }
    write_new_entry_field(out, path);
}

fn write_input(
    out: &mut String,
    path: &str,
    kind: form::Kind,
    value: &Value,
    findings: Option<&finding::Findings>,
) {
    let name = escape(path);
    let label = escape(path.split_once('/').map_or(path, |(_, rest)| rest));
    let text = escape(&input_text(value));
    if kind == form::Kind::Bool {
        let (if_true, if_false) =
            if text == "true" { (" selected", "") } else { ("", " selected") };
        write_html(
            out,
            format_args!(
                "<label>{label}<select name=\"{name}\"><option{if_false}>false<option{if_true}>true</select></label>"
            ),
        );
    } else {
        write_html(
            out,
            format_args!("<label>{label}<input name=\"{name}\" value=\"{text}\"></label>"),
        );
    }
    write_findings(out, path, findings, false);
}

/// Writes the findings of a path. For an entry these include its missing fields.
fn write_findings(
    out: &mut String,
    path: &str,
    findings: Option<&finding::Findings>,
    includes_missing_fields: bool,
) {
    let field_path = path.replace('/', ".");
    for finding in findings.into_iter().flat_map(|findings| &findings.items) {
        let is_missing_field = includes_missing_fields
            && finding.field.strip_prefix(&field_path).is_some_and(|rest| rest.starts_with('.'))
            && finding.problem.contains("missing");
        if finding.field == field_path || is_missing_field {
            let (problem, hint) = (escape(&finding.problem), escape(&finding.hint));
            let field = escape(&finding.field);
            write_html(
                out,
                format_args!("<p class=finding role=alert>{field}: {problem}. {hint}</p>"),
            );
        }
    }
}

fn write_change_fields(out: &mut String, fields: &FormFields) {
    for (name, label) in [("author", "Author"), ("reason", "Reason")] {
        let value = escape(fields.get(name).map(String::as_str).unwrap_or_default());
        write_html(
            out,
            format_args!("<label>{label}<input name={name} value=\"{value}\" required></label>"),
        );
    }
}

fn write_new_entry_field(out: &mut String, path: &str) {
    let name = escape(path);
    write_html(out, format_args!("<label>New entry in {name}<input name=\"new/{name}\"></label>"));
}

fn write_remove_checkbox(out: &mut String, path: &str) {
    let name = escape(path);
    write_html(
        out,
        format_args!("<label>Remove {name}<input type=checkbox name=\"remove/{name}\"></label>"),
    );
}

fn input_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(input_text).collect::<Vec<String>>().join(", "),
        other => other.to_string(),
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn write_html(out: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    out.write_fmt(text).unwrap_or_default();
}
