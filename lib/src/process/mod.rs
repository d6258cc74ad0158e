//! State that lives as long as the process.

pub mod action;
pub mod agent;
pub mod confirmation;
pub mod context;
pub mod flow_location;
pub mod gauges;
pub mod gossip;
pub mod health;
pub mod heartbeat;
pub mod lifecycle;
pub mod live_vms;
pub mod liveness;
pub mod message;
pub mod neighbours;
pub mod notice;
pub mod observers;
pub mod own_entry;
pub mod pause_detector;
pub mod peers;
pub mod recovery;
pub mod registry;
pub mod rumors;
pub mod safeguard;
pub mod view;
