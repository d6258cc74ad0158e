//! State that lives as long as a caller's flow.

pub mod arrival;
pub mod channel;
pub mod channels;
pub mod claims;
pub mod credit;
pub mod door;
pub mod flow;
pub mod flows;
pub mod handover;
pub mod lookup;
pub mod owed;
pub mod redirect;
pub mod router;
pub mod settling;
pub mod stamp;
pub mod standing;
