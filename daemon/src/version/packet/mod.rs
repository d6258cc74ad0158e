//! Knowledge of routes and backend servers in the packet front end.

pub mod follow;
pub mod knowledge;
pub mod knowledge_delta;
pub mod pull;
pub mod read;
