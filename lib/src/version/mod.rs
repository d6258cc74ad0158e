//! State that lives as long as one version of the manifest.

pub mod backend;
pub mod doc;
pub mod findings;
pub mod index;
pub mod joint;
pub mod manifest;
pub mod membership;
pub mod path;
pub mod rank;
