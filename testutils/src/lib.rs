//! Test doubles of the systems around lagoonhollow, for its tests, benches and demo.

pub mod backend;
pub mod caller;
pub mod docs;
pub mod fabric;
pub mod fleet;
pub mod loopback;
pub mod packets;
pub mod platform;
pub mod property;
pub mod world;
