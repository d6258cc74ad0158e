//! The packet front end: the bytes inside a flow belong to its two ends, and
//! its packets mark where it opens and closes.
//!
//! An entry takes callers' packets and sends each to the agent that owns its
//! flow, if it remembers that, or to the flow's home, an agent of the service
//! that the flow's hash names. The home keeps the owners that were claimed there
//! and places flows that open. What a backend server sends goes from its agent
//! straight to the caller.

pub mod action;
pub mod agent;
pub mod context;
pub mod entry;
pub mod event;
pub mod home;
pub mod local_backend;
pub mod message;
pub mod placer;
