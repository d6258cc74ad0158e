//! A fleet of the packet front end under virtual time: callers, entries, agents
//! and backend servers on a network that loses and delays.

pub mod backend;
pub mod caller;
pub mod checks;
pub mod live;
pub mod monitor;
pub mod node;
pub mod site;
pub mod store;
pub mod tcp_proxy;
pub mod udp_proxy;
pub mod wire;
pub mod world;
