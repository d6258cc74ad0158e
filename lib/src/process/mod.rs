//! State that lives as long as the process.

pub mod action;
pub mod agent;
pub mod context;
pub mod explained;
pub mod gauges;
pub mod gossip;
pub mod health;
pub mod heartbeat;
pub mod life;
pub mod live;
pub mod message;
pub mod neighbours;
pub mod notice;
pub mod peers;
pub mod recovery;
pub mod registry;
pub mod rumors;
pub mod safeguard;
pub mod view;
pub mod vitals;
pub mod wakeup;
