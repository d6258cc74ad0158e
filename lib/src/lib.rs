//! Decisions of the lagoonhollow load balancer.
//!
//! Nothing here opens a socket, reads a clock or draws a random number: time and
//! randomness are passed in, and every decision returns the actions its caller
//! has to carry out. The folders follow life spans: what lives for a request, a
//! connection, a version of the manifest, or the whole process. What lives
//! shorter uses what lives longer; `value/` is below all of them, and `front/`
//! above, where the parts are put together for one front end.

pub mod connection;
pub mod front;
pub mod process;
pub mod request;
pub mod value;
pub mod version;
