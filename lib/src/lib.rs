//! Decision logic of the lagoonhollow load balancer.
//!
//! Nothing here opens a socket, reads a clock or draws a random number: time and
//! randomness are passed in, and every decision returns the actions for its caller
//! to carry out. The folders follow life spans: state that lives for a request, a
//! connection, a version of the manifest, or the whole process. Shorter-lived state
//! may use longer-lived state. `value/` is used by all of them, and `front/`
//! assembles them for one front end.

pub mod connection;
pub mod front;
pub mod process;
pub mod request;
pub mod value;
pub mod version;
