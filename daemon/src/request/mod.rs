//! State that lives as long as one request.

pub mod backend;
pub mod health;
