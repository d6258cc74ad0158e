//! State that lives as long as one version of the manifest.

pub mod packet;
pub mod platform;
pub mod versions;
pub mod watch;
