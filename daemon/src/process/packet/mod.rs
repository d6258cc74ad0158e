//! The process of the packet front end.

pub mod admin;
pub mod bridge;
pub mod control;
pub mod daemon;
pub mod metrics;
pub mod recorder;
pub mod settings;
pub mod shared;
