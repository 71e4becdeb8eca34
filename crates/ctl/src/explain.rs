//! Timeline of one request, merged from the log lines of several hosts.

use std::collections;
use std::fs;
use std::io;
use std::path;

use serde::Deserialize;
use serde_json::Value;

use crate::error;

/// Time before the first and after the last line of a request in which lines about its hosts and
/// servers are included, in milliseconds. A failed server is excluded from routing, or its entry
/// is removed, within seconds.
const CONTEXT_WINDOW_MS: u64 = 5_000;
/// Log messages about hosts and servers that affect requests but carry no request id.
const CONTEXT_MESSAGES: [&str; 8] = [
    "server left out for a while",
    "server says that it is leaving",
    "server entry",
    "server entry vanished",
    "store lost",
    "store reached",
    "relay left",
    "host leaves",
];

/// A log line.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
struct LogLine {
    /// Wall-clock time of the host, in milliseconds since the Unix epoch.
    at_ms: u64,
    host: String,
    message: String,
    #[serde(flatten)]
    fields: collections::BTreeMap<String, Value>,
}

/// Prints the timeline of a request from log files, or from the standard input if there are none.
///
/// # Errors
/// A file cannot be read, or no log line contains the request's id.
pub fn explain(request: &str, files: &[path::PathBuf]) -> Result<(), error::CommandError> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    if files.is_empty() {
        let input = path::Path::new("standard input");
        skipped += read_lines(input, io::stdin().lock(), &mut lines)?;
    }
    for file in files {
        let opened = fs::File::open(file)
            .map_err(|error| error::CommandError::File { path: file.clone(), error })?;
        skipped += read_lines(file, io::BufReader::new(opened), &mut lines)?;
    }
    if skipped > 0 {
        eprintln!("{skipped} lines are not log lines and were skipped");
    }
    let timeline = collect_timeline(request, lines);
    if timeline.is_empty() {
        return Err(error::CommandError::RequestNotFound { request: request.to_owned() });
    }
    print!("{}", render_timeline(request, &timeline));
    Ok(())
}

/// Reads log lines from `source` and returns the number of lines that are not log lines.
fn read_lines<R>(
    source: &path::Path,
    reader: R,
    lines: &mut Vec<LogLine>,
) -> Result<usize, error::CommandError>
where
    R: io::BufRead,
{
    let mut skipped = 0;
    for text in reader.lines() {
        let text =
            text.map_err(|error| error::CommandError::File { path: source.to_owned(), error })?;
        match serde_json::from_str(&text) {
            Ok(line) => lines.push(line),
            Err(_) => skipped += 1,
        }
    }
    Ok(skipped)
}

/// Collects the lines that concern a request, ordered by time.
fn collect_timeline(request: &str, mut lines: Vec<LogLine>) -> Vec<LogLine> {
    lines.sort_by_key(|line| line.at_ms);
    let matching: Vec<&LogLine> = lines.iter().filter(|line| line.is_about(request)).collect();
    let (Some(first), Some(last)) = (matching.first(), matching.last()) else { return Vec::new() };
    let from_ms = first.at_ms.saturating_sub(CONTEXT_WINDOW_MS);
    let until_ms = last.at_ms + CONTEXT_WINDOW_MS;
    let hosts: collections::BTreeSet<String> =
        matching.iter().map(|line| line.host.clone()).collect();
    let servers: collections::BTreeSet<String> =
        matching.iter().filter_map(|line| line.field_text("server")).collect();
    let is_relevant = |line: &LogLine| {
        let is_in_window = (from_ms..=until_ms).contains(&line.at_ms);
        let is_context = CONTEXT_MESSAGES.contains(&line.message.as_str());
        let is_involved = line
            .field_text("server")
            .map_or_else(|| hosts.contains(&line.host), |server| servers.contains(&server));
        line.is_about(request) || (is_in_window && is_context && is_involved)
    };
    lines.into_iter().filter(is_relevant).collect()
}

/// Renders a timeline, one line per log line, with the time since the first line of the request.
fn render_timeline(request: &str, timeline: &[LogLine]) -> String {
    let start_ms = timeline.iter().find(|line| line.is_about(request)).map_or(0, |line| line.at_ms);
    let entries = timeline.iter().map(|line| {
        let offset_ms = i128::from(line.at_ms) - i128::from(start_ms);
        let marker = if line.is_about(request) { ' ' } else { '*' };
        format!("{offset_ms:>7} ms {marker} {}: {}\n", line.host, line.description())
    });
    let mut text: String = entries.collect();
    if timeline.iter().any(|line| !line.is_about(request)) {
        text.push_str("* about a host or server of the request, not the request itself\n");
    }
    text
}

impl LogLine {
    fn is_about(&self, request: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(request)
    }

    fn field_text(&self, field: &str) -> Option<String> {
        self.fields.get(field).map(|value| match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        })
    }

    fn description(&self) -> String {
        let field = |name: &str| self.field_text(name).unwrap_or_else(|| "unknown".to_owned());
        match self.message.as_str() {
            "sent" => self.sent_description(),
            "attempt failed" | "resumption failed" => format!(
                "{} {} at server {}: {} ({} ms left)",
                self.message,
                field("attempt"),
                field("server"),
                field("why"),
                field("left_ms")
            ),
            "escalated to a larger model" => {
                format!(
                    "low confidence in the response of server {}; escalated to model {}",
                    field("server"),
                    field("why")
                )
            }
            "answered" => {
                format!("response with status {} after {} ms", field("status"), field("took_ms"))
            }
            "stream begun" => format!("first event forwarded after {} ms", field("first_event_ms")),
            "stream interrupted" => {
                format!("stream interrupted after event {}: {}", field("last_event"), field("why"))
            }
            "in flight when the server ended" => format!(
                "server {} ended {} ms after the request was sent; parts of the prompt: {}",
                field("server"),
                field("sent_before_ms"),
                field("parts")
            ),
            "stream ended" => format!(
                "stream complete, last event {}, longest pause {} ms",
                field("last_event"),
                field("longest_pause_ms")
            ),
            "stream broken off" => format!("stream aborted: {}", field("why")),
            "refused: not run" => self.refused_description(),
            "failed: it may have run" => format!(
                "failed with status {} after {} ms, may have been executed: {}",
                field("status"),
                field("took_ms"),
                field("why")
            ),
            _ => self.raw_description(),
        }
    }

    fn sent_description(&self) -> String {
        let field = |name: &str| self.field_text(name).unwrap_or_else(|| "unknown".to_owned());
        let model =
            self.field_text("model").map(|model| format!(", model {model}")).unwrap_or_default();
        let side = self
            .field_text("side")
            .map(|side| format!(", roll-out side {side}"))
            .unwrap_or_default();
        format!(
            "attempt {} sent to server {} (version {}{model}{side}), {} ms left, configuration \
             version {}, routing view {} ms old",
            field("attempt"),
            field("server"),
            field("version"),
            field("left_ms"),
            field("configuration"),
            field("view_age_ms")
        )
    }

    fn refused_description(&self) -> String {
        let field = |name: &str| self.field_text(name).unwrap_or_else(|| "unknown".to_owned());
        let retry = self
            .field_text("retry_after_ms")
            .map(|ms| format!(", retry after {ms} ms"))
            .unwrap_or_default();
        format!("refused with status {}, not executed{retry}: {}", field("status"), field("why"))
    }

    /// Renders the message and its fields verbatim, without the log level and the request id.
    fn raw_description(&self) -> String {
        let fields =
            self.fields.iter().filter(|(name, _)| !["level", "request"].contains(&name.as_str()));
        let fields: Vec<_> = fields.map(|(name, value)| format!("{name} {value}")).collect();
        if fields.is_empty() {
            return self.message.clone();
        }
        format!("{} ({})", self.message, fields.join(", "))
    }
}
