//! Logging to standard error, as text or JSON.

use std::time;

use crate::cli;

/// Installs the global logger.
///
/// # Errors
/// [`log::SetLoggerError`] if a logger is already installed.
pub fn init(format: cli::LogFormat, level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("toucanwall", level)
        .format(move |out, message, record| match format {
            cli::LogFormat::Text => {
                out.finish(format_args!("{} {:5} {message}", unix_time(), record.level()));
            }
            cli::LogFormat::Json => {
                let line = serde_json::json!({
                    "at_s": unix_time(),
                    "level": record.level().as_str().to_lowercase(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            }
        })
        .chain(std::io::stderr())
        .apply()
}

/// Returns the Unix time in seconds, with three decimals.
fn unix_time() -> String {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", since_epoch.as_secs(), since_epoch.subsec_millis())
}
