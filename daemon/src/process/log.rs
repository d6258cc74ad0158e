//! Structured log: one line per event, as key=value pairs.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use spdlog::Logger;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::WriteSink;

use super::log_queue::LogQueue;
use super::settings::Level;

/// Why the log can't be opened.
#[derive(Debug, Display, Error, From)]
#[display("can't open the log: {_0}")]
pub enum LogError {
    /// The sink can't be built.
    Sink(spdlog::Error),
    /// The writer thread can't be started.
    Thread(std::io::Error),
}

/// Opens the process's log on standard output. Writing a line never blocks.
///
/// # Errors
///
/// Returns an error if the sink can't be built or the writer thread can't be started.
pub fn open(level: Level) -> Result<(), LogError> {
    let formatter = PatternFormatter::new(pattern!(
        "time={date}T{time}.{millisecond} level={level} event={payload} {kv}{eol}"
    ));
    let queue = LogQueue::spawn(std::io::stdout())?;
    let sink = WriteSink::builder().formatter(formatter).target(queue).build_arc()?;
    let logger = Logger::builder().sink(sink).level_filter(filter(level)).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Changes the least severe level that is logged.
pub fn set_level(level: Level) {
    spdlog::default_logger().set_level_filter(filter(level));
}

fn filter(level: Level) -> spdlog::LevelFilter {
    spdlog::LevelFilter::MoreSevereEqual(match level {
        Level::Error => spdlog::Level::Error,
        Level::Warn => spdlog::Level::Warn,
        Level::Info => spdlog::Level::Info,
        Level::Debug => spdlog::Level::Debug,
    })
}
