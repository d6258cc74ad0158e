//! State that lives as long as a caller's flow.

pub mod arrival;
pub mod channel;
pub mod channels;
pub mod claims;
pub mod credit;
pub mod directory;
pub mod door;
pub mod flow;
pub mod flows;
pub mod handover;
pub mod hints;
pub mod lookup;
pub mod owed;
pub mod placing;
pub mod redirect;
pub mod router;
pub mod search;
pub mod segment;
pub mod served;
pub mod settling;
pub mod stamp;
pub mod standing;
pub mod unrouted;
