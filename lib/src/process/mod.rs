//! State that lives as long as the process.

pub mod action;
pub mod agent;
pub mod context;
pub mod explained;
pub mod gauges;
pub mod gossip;
pub mod health;
pub mod heartbeat;
pub mod incarnation;
pub mod life;
pub mod live;
pub mod message;
pub mod moment;
pub mod name;
pub mod notice;
pub mod peers;
pub mod reason;
pub mod recovery;
pub mod rumors;
pub mod safeguard;
pub mod tally;
pub mod wakeup;
