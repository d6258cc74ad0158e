//! State that lives as long as a flow or a connection between processes.

pub mod agent;
pub mod control_endpoint;
pub mod entry;
pub mod link;
pub mod listener;
pub mod packet;
pub mod tls_identity;
