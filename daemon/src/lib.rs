//! The lagoonhollow daemon: the sockets, clocks and threads that feed the
//! decision logic of `lagoonhollow-lib` and carry out its decisions.
//!
//! One control thread holds the state of the process and the manifest version in
//! force. Traffic threads own their sockets and flows and share only immutable
//! versions.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
