//! Values without a life span of their own, which all other folders use.

pub mod findings;
pub mod incarnation;
pub mod moment;
pub mod name;
pub mod reason;
pub mod tally;
pub mod wall_time;
