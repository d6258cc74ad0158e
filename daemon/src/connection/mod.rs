//! State that lives as long as a flow or a connection between processes.

pub mod agent;
pub mod endpoint;
pub mod entry;
pub mod identity;
pub mod link;
pub mod listener;
pub mod packet;
