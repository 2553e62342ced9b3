//! The decisions of heatherring: state machines without input or output.
//!
//! Nothing in this crate opens a socket or a file, reads a clock or draws ambient
//! randomness. Time comes in as an argument, randomness as a seed, and what is to be
//! done goes out as values, so that every decision can be replayed in a test.

pub mod action_backup;
pub mod action_primary;
pub mod action_record;
pub mod action_store;
pub mod admission;
pub mod announcement;
pub mod audit;
pub mod client_block_table;
pub mod clock;
pub mod command;
mod config_document;
pub mod config_fault;
pub mod config_path;
pub mod config_schema;
pub mod config_text;
pub mod control_state;
pub mod drain;
pub mod encoding;
pub mod entry_lease;
pub mod id;
pub mod link_budget;
pub mod list_delta;
pub mod load_digest;
pub mod lookup;
pub mod manifest;
pub mod manifest_check;
pub mod manifest_delta;
pub mod manifest_summary;
pub mod manifest_text;
pub mod nearest_name;
pub mod outcome;
pub mod ownership;
pub mod raft;
pub mod raft_config;
pub mod raft_effects;
mod raft_election;
mod raft_follower;
mod raft_leader;
mod raft_log;
mod raft_membership;
pub mod raft_message;
mod raft_pending;
mod raft_progress;
mod raft_replication;
pub mod retry_budget;
pub mod session_tracker;
pub mod settings;
pub mod settings_check;
pub mod settings_text;
pub mod steering;
pub mod submission_history;
pub mod ticket;
pub mod view;
pub mod view_log;
pub mod wall_anchor;
