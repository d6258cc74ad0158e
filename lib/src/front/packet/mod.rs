//! The packet front end, for protocols whose packets mark where a flow opens
//! and closes. The payload is opaque to it.
//!
//! An entry receives the packets of callers and sends each to the agent that
//! owns its flow. If it does not know the owner, it sends the packet to the
//! flow's home, an agent of the service that is selected by the flow's hash.
//! The home records the owners of flows and places new flows. Packets of a
//! backend server go from its agent directly to the caller.

pub mod action;
pub mod agent;
pub mod backend_health;
pub mod context;
pub mod decline;
pub mod entry;
pub mod event;
pub mod gate;
pub mod home;
pub mod local_backend;
pub mod message;
pub mod placer;
pub mod probes;
pub mod run_exchange;
pub mod shortage;
pub mod unsure_answers;
pub mod version_queries;
pub mod waiting;
