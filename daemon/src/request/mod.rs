//! State that lives as long as one request.

pub mod backend_socket;
pub mod health;
