//! State that lives as long as a caller's flow.

pub mod arrival;
pub mod candidate;
pub mod channel;
pub mod channel_manager;
pub mod channels;
pub mod claims;
pub mod delayed_acks;
pub mod directory;
pub mod flow;
pub mod flows;
pub mod forwarder;
pub mod handover;
pub mod hints;
pub mod lookup;
pub mod ownership;
pub mod placement;
pub mod reconciliation;
pub mod redirect;
pub mod router;
pub mod search;
pub mod searches;
pub mod segment;
pub mod served_flows;
pub mod suspicion;
pub mod unresolved;
pub mod unrouted;
