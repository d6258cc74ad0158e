//! Traffic threads of the packet front end.

pub mod agent;
pub mod entry;
pub mod executor;
pub mod keep_alive;
