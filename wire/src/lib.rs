//! Encodings of lagoonhollow's messages, all with codecs from libraries, and transfers
//! of long answers.
//!
//! The crate converts between bytes and typed messages and makes no decisions.

pub mod backend;
pub mod caller;
pub mod chunks;
pub mod coap;
pub mod control;
pub mod relay;
pub mod seal;
pub mod transfer;
pub mod transfer_error;
