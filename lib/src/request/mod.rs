//! State that lives as long as one request.

pub mod admission;
pub mod answer;
pub mod cold_period;
pub mod costs;
pub mod delegation;
pub mod exchange;
pub mod exchanges;
pub mod execution;
pub mod fair_shares;
pub mod freshness;
pub mod grant;
pub mod key;
pub mod load_meter;
pub mod local_witness;
pub mod message;
pub mod pace;
pub mod request_queue;
pub mod requests;
pub mod retry_budget;
pub mod token;
pub mod vote_set;
pub mod warm_up;
pub mod witness;
pub mod work_times;
