//! One request's story, told from the log lines of several hosts.

use std::collections;
use std::fs;
use std::io;
use std::path;

use serde::Deserialize;
use serde_json::Value;

use crate::error;

/// Time around a request in which lines about its hosts and servers belong to its story, in
/// milliseconds: a server that fails is left out, or its entry vanishes, within seconds.
const AROUND_MS: u64 = 5_000;
/// Lines about hosts and servers that concern requests without naming them.
const SURROUNDINGS: [&str; 7] = [
    "server left out for a while",
    "server entry",
    "server entry vanished",
    "store lost",
    "store reached",
    "relay left",
    "host leaves",
];

/// One log line.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
struct Line {
    /// Time of day of the host, in milliseconds since the epoch.
    at_ms: u64,
    host: String,
    message: String,
    #[serde(flatten)]
    fields: collections::BTreeMap<String, Value>,
}

/// Prints a request's story from log files, or from the standard input if there are none.
///
/// # Errors
/// A file cannot be read, or no line names the request.
pub fn explain(request: &str, files: &[path::PathBuf]) -> Result<(), error::CommandError> {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    if files.is_empty() {
        let input = path::Path::new("standard input");
        unreadable += read(input, io::stdin().lock(), &mut lines)?;
    }
    for file in files {
        let opened = fs::File::open(file)
            .map_err(|error| error::CommandError::File { path: file.clone(), error })?;
        unreadable += read(file, io::BufReader::new(opened), &mut lines)?;
    }
    if unreadable > 0 {
        eprintln!("{unreadable} lines are no log lines and were left out");
    }
    let story = story(request, lines);
    if story.is_empty() {
        return Err(error::CommandError::NoRequest { request: request.to_owned() });
    }
    print!("{}", tell(request, &story));
    Ok(())
}

/// Reads log lines; returns how many lines were none.
fn read<R>(
    source: &path::Path,
    reader: R,
    lines: &mut Vec<Line>,
) -> Result<usize, error::CommandError>
where
    R: io::BufRead,
{
    let mut unreadable = 0;
    for text in reader.lines() {
        let text =
            text.map_err(|error| error::CommandError::File { path: source.to_owned(), error })?;
        match serde_json::from_str(&text) {
            Ok(line) => lines.push(line),
            Err(_) => unreadable += 1,
        }
    }
    Ok(unreadable)
}

/// The lines that belong to a request, in their order.
fn story(request: &str, mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort_by_key(|line| line.at_ms);
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_about(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let from_ms = first.at_ms.saturating_sub(AROUND_MS);
    let until_ms = last.at_ms + AROUND_MS;
    let hosts: collections::BTreeSet<String> = own.iter().map(|line| line.host.clone()).collect();
    let servers: collections::BTreeSet<String> =
        own.iter().filter_map(|line| line.text("server")).collect();
    let belongs = |line: &Line| {
        let is_near = (from_ms..=until_ms).contains(&line.at_ms);
        let is_surrounding = SURROUNDINGS.contains(&line.message.as_str());
        let concerns = line
            .text("server")
            .map_or_else(|| hosts.contains(&line.host), |server| servers.contains(&server));
        line.is_about(request) || (is_near && is_surrounding && concerns)
    };
    lines.into_iter().filter(belongs).collect()
}

/// A story as text: one line a step, with the time since the first step of the request.
fn tell(request: &str, story: &[Line]) -> String {
    let start_ms = story.iter().find(|line| line.is_about(request)).map_or(0, |line| line.at_ms);
    let steps = story.iter().map(|line| {
        let since_ms = i128::from(line.at_ms) - i128::from(start_ms);
        let mark = if line.is_about(request) { ' ' } else { '*' };
        format!("{since_ms:>7} ms {mark} {}: {}\n", line.host, line.sentence())
    });
    let mut text: String = steps.collect();
    if story.iter().any(|line| !line.is_about(request)) {
        text.push_str("* about the hosts and servers of the request, not the request itself\n");
    }
    text
}

impl Line {
    fn is_about(&self, request: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(request)
    }

    fn text(&self, field: &str) -> Option<String> {
        self.fields.get(field).map(|value| match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        })
    }

    fn sentence(&self) -> String {
        let field = |name: &str| self.text(name).unwrap_or_else(|| "unknown".to_owned());
        match self.message.as_str() {
            "sent" => self.sent(),
            "attempt failed" | "resumption failed" => format!(
                "{} {} at server {}: {} ({} ms were left)",
                self.message,
                field("attempt"),
                field("server"),
                field("why"),
                field("left_ms")
            ),
            "escalated to a larger model" => {
                format!(
                    "the answer of server {} was doubted; {} is asked",
                    field("server"),
                    field("why")
                )
            }
            "answered" => {
                format!("answered with status {} after {} ms", field("status"), field("took_ms"))
            }
            "stream begun" => format!("first event passed on after {} ms", field("first_event_ms")),
            "stream interrupted" => {
                format!("stream interrupted after event {}: {}", field("last_event"), field("why"))
            }
            "stream ended" => format!(
                "stream complete, last event {}, longest pause {} ms",
                field("last_event"),
                field("longest_pause_ms")
            ),
            "stream broken off" => format!("stream broken off: {}", field("why")),
            "refused: not run" => self.refused(),
            "failed: it may have run" => format!(
                "failed with status {} after {} ms, it may have run: {}",
                field("status"),
                field("took_ms"),
                field("why")
            ),
            _ => self.other(),
        }
    }

    fn sent(&self) -> String {
        let field = |name: &str| self.text(name).unwrap_or_else(|| "unknown".to_owned());
        let model = self.text("model").map(|model| format!(", model {model}")).unwrap_or_default();
        let side =
            self.text("side").map(|side| format!(", {side} in a roll-out")).unwrap_or_default();
        format!(
            "attempt {} goes to server {} (version {}{model}{side}) with {} ms left, by \
             configuration {}, view {} ms old",
            field("attempt"),
            field("server"),
            field("version"),
            field("left_ms"),
            field("configuration"),
            field("view_age_ms")
        )
    }

    fn refused(&self) -> String {
        let field = |name: &str| self.text(name).unwrap_or_else(|| "unknown".to_owned());
        let back = self
            .text("retry_after_ms")
            .map(|ms| format!(", to come back in {ms} ms"))
            .unwrap_or_default();
        format!("refused with status {}, not run{back}: {}", field("status"), field("why"))
    }

    /// The message and its fields as they are.
    fn other(&self) -> String {
        let fields =
            self.fields.iter().filter(|(name, _)| !["level", "request"].contains(&name.as_str()));
        let fields: Vec<_> = fields.map(|(name, value)| format!("{name} {value}")).collect();
        if fields.is_empty() {
            return self.message.clone();
        }
        format!("{} ({})", self.message, fields.join(", "))
    }
}
