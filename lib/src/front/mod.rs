//! Front ends: each combines the other modules for one kind of traffic.

pub mod packet;
