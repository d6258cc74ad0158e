//! State that lives as long as the process.

pub mod admin;
pub mod clock;
pub mod configuration;
pub mod control;
pub mod daemon;
pub mod ini;
pub mod log;
pub mod log_queue;
pub mod metrics;
pub mod packet;
pub mod report_handler;
pub mod settings;
pub mod settings_reader;
pub mod status;
pub mod traffic_queues;
