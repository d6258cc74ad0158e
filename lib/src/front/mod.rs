//! The parts put together, for one front end each.

pub mod packet;
