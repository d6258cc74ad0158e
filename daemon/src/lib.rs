//! The lagoonhollow daemon: sockets, clocks and threads around the decisions
//! of `lagoonhollow-lib`.
//!
//! One control thread holds what concerns the process and its version; traffic
//! threads own their sockets and flows and share only immutable versions.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
