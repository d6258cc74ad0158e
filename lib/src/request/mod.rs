//! State that lives as long as one request.

pub mod admission;
pub mod answer;
pub mod ballot;
pub mod budget;
pub mod cost;
pub mod exchange;
pub mod exchanges;
pub mod freshness;
pub mod grant;
pub mod key;
pub mod lending;
pub mod message;
pub mod pace;
pub mod requests;
pub mod run;
pub mod token;
pub mod votes;
pub mod waiting;
pub mod witness;
