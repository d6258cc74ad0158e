//! Structured logs: one line an event, as key=value pairs.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use spdlog::Logger;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::StdStreamSink;

use super::settings::Level;

/// The log can't be opened.
#[derive(Debug, Display, Error, From)]
#[display("can't open the log: {_0}")]
pub struct LogError(spdlog::Error);

/// Opens the process's log on standard error.
///
/// # Errors
///
/// Returns an error if the sink can't be built.
pub fn open(level: Level) -> Result<(), LogError> {
    let formatter = PatternFormatter::new(pattern!(
        "time={date}T{time}.{millisecond} level={level} event={payload} {kv}{eol}"
    ));
    let sink = StdStreamSink::builder().stderr().formatter(formatter).build_arc()?;
    let filter = spdlog::LevelFilter::MoreSevereEqual(match level {
        Level::Error => spdlog::Level::Error,
        Level::Warn => spdlog::Level::Warn,
        Level::Info => spdlog::Level::Info,
        Level::Debug => spdlog::Level::Debug,
    });
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
