//! Test doubles for the packet front end: a fleet simulated in virtual time, and
//! callers, backend servers, a store and fault-injecting proxies for real processes.

pub mod backend;
pub mod caller;
pub mod checks;
pub mod live;
pub mod monitor;
pub mod narrow_link;
pub mod node;
pub mod odd_entries;
pub mod power;
pub mod site;
pub mod store;
pub mod tcp_proxy;
pub mod udp_proxy;
pub mod wire;
pub mod world;
