//! Knowledge of routes and backend servers in the packet front end.

pub mod exchange;
pub mod follow;
pub mod knowledge;
