//! Structured logging to standard output, one JSON object per line.
//!
//! A dedicated thread writes the lines. When its queue is full, lines are dropped and counted, and
//! the number of dropped lines is logged with the next batch.

use std::io::Write as _;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use log::kv;

/// Capacity of the queue in lines: about a second of logging under load.
const QUEUE_MAX: usize = 4_096;

/// Maximum number of lines per second at level info and below. Allows several lines per request at
/// ten times the load of a small host. Warnings and errors explain failures and are not limited.
const INFO_LINES_MAX_PER_S: u64 = 2_000;

static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Installs the global logger; every line carries the host name.
///
/// # Errors
/// A logger is already installed.
pub fn init(host: &str, level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    let (sender, receiver) = mpsc::sync_channel::<String>(QUEUE_MAX);
    let host = host.to_owned();
    let writer_host = host.clone();
    thread::spawn(move || write_lines(&writer_host, &receiver));
    let rate_limiter = RateLimiter::default();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("toucanwall", level)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", format_line(&host, message, record)));
        })
        .filter(move |metadata| metadata.level() <= log::Level::Warn || rate_limiter.allow())
        .chain(fern::Output::call(move |record| {
            if sender.try_send(record.args().to_string()).is_err() {
                DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
            }
        }))
        .apply()
}

/// Counts the lines of the current second.
#[derive(Debug, Default)]
struct RateLimiter {
    second: atomic::AtomicU64,
    lines: atomic::AtomicU64,
}

impl RateLimiter {
    /// Returns whether another line may be written; counts it as dropped otherwise.
    fn allow(&self) -> bool {
        let since_epoch =
            time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        if self.second.swap(since_epoch.as_secs(), atomic::Ordering::Relaxed)
            != since_epoch.as_secs()
        {
            self.lines.store(0, atomic::Ordering::Relaxed);
        }
        let is_allowed = self.lines.fetch_add(1, atomic::Ordering::Relaxed) < INFO_LINES_MAX_PER_S;
        if !is_allowed {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
        is_allowed
    }
}

/// Returns the number of dropped lines since the start.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

fn write_lines(host: &str, receiver: &mpsc::Receiver<String>) {
    let mut reported = 0;
    while let Ok(first) = receiver.recv() {
        let mut text = first;
        text.push('\n');
        for next in receiver.try_iter().take(QUEUE_MAX) {
            text.push_str(&next);
            text.push('\n');
        }
        let dropped = dropped_lines();
        if dropped > reported {
            let unreported = dropped - reported;
            let mut line = base_fields(host, log::Level::Warn, "log lines dropped");
            line.insert("count".to_owned(), unreported.into());
            text.push_str(&serde_json::Value::Object(line).to_string());
            text.push('\n');
            reported = dropped;
        }
        let mut out = std::io::stdout().lock();
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            // Nothing reads standard output; only the count of dropped lines shows the failure.
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

fn format_line(host: &str, message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut fields = base_fields(host, record.level(), &message.to_string());
    if let Err(error) = record.key_values().visit(&mut FieldCollector(&mut fields)) {
        fields.insert("fields_error".to_owned(), error.to_string().into());
    }
    serde_json::Value::Object(fields).to_string()
}

/// Returns the fields that every line starts with.
fn base_fields(
    host: &str,
    level: log::Level,
    message: &str,
) -> serde_json::Map<String, serde_json::Value> {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let at_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    let mut fields = serde_json::Map::new();
    fields.insert("at_ms".to_owned(), at_ms.into());
    fields.insert("level".to_owned(), level.as_str().to_ascii_lowercase().into());
    fields.insert("host".to_owned(), host.into());
    fields.insert("message".to_owned(), message.into());
    fields
}

struct FieldCollector<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> kv::VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let mut field = FieldValue::default();
        value.visit(&mut field)?;
        // Absent optional values are omitted.
        if let Some(json) = field.0 {
            self.0.insert(key.as_str().to_owned(), json);
        }
        Ok(())
    }
}

/// Value as JSON; `None` for an absent optional value.
#[derive(Default)]
struct FieldValue(Option<serde_json::Value>);

impl kv::VisitValue<'_> for FieldValue {
    fn visit_any(&mut self, value: kv::Value<'_>) -> Result<(), kv::Error> {
        self.0 = Some(value.to_string().into());
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), kv::Error> {
        self.0 = None;
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), kv::Error> {
        self.0 = Some(value.into());
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), kv::Error> {
        self.0 = Some(value.into());
        Ok(())
    }
}
