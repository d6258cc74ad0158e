//! State that lives as long as one version of what operators publish.

pub mod backend;
pub mod config_check;
pub mod config_diff;
pub mod doc;
pub mod evacuations;
pub mod index;
pub mod joint_membership;
pub mod manifest;
pub mod member;
pub mod membership;
pub mod path_rule;
pub mod ranking;
pub mod revision;
pub mod roster;
pub mod route;
pub mod routes;
pub mod routes_history;
pub mod routes_update;
pub mod run;
pub mod service;
