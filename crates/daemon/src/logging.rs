//! Log lines on standard error, as text or JSON.

use std::time;

use crate::cli;

/// Sets the logger up.
///
/// # Errors
/// A logger was set up before.
pub fn set_up(format: cli::LogFormat, level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("toucanwall", level)
        .format(move |out, message, record| match format {
            cli::LogFormat::Text => {
                out.finish(format_args!("{} {:5} {message}", seconds(), record.level()));
            }
            cli::LogFormat::Json => {
                let line = serde_json::json!({
                    "at_s": seconds(),
                    "level": record.level().as_str().to_lowercase(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            }
        })
        .chain(std::io::stderr())
        .apply()
}

/// Seconds since the epoch, to the millisecond.
fn seconds() -> String {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", since.as_secs(), since.subsec_millis())
}
