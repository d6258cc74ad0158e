//! State of the packet front end that lives as long as the process.

pub mod admin;
pub mod control;
pub mod daemon;
pub mod decision_log;
pub mod evacuation_log;
pub mod metrics;
pub mod settings;
pub mod shared;
pub mod traffic_queues;
