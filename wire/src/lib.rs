//! Encodings of lagoonhollow's messages, all from library codecs.
//!
//! Nothing here decides anything: bytes go to typed messages and back.

pub mod backend;
pub mod caller;
pub mod coap;
pub mod control;
pub mod relay;
pub mod seal;
