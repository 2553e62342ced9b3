//! Sockets, files and timers around the decisions of heatherring.
//!
//! Each task owns its sockets and its state; tasks communicate by messages. `heatherring-lib`
//! makes the decisions without I/O; this crate carries them out.

pub mod credential;
pub mod peer_security;
pub mod verified_caller;

/// Code generated from `server/proto/heatherring.proto` by `tools/proto-gen`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/heatherring.v1.rs"]
pub mod proto;

pub mod action_answer;
pub mod action_path;
pub mod action_peer;
pub mod action_run;
pub mod action_task;
pub mod admission_handle;
pub mod admission_task;
pub mod announce_listener;
pub mod announcement_batch;
pub mod answer_body;
pub mod backend_pool;
pub mod caller_listener;
pub mod cold_querier;
pub mod control_format;
pub mod control_listeners;
pub mod control_node;
pub mod control_process;
pub mod control_session;
pub mod crash_tracker;
pub mod data_folder;
pub mod decision_recorder;
pub mod decision_task;
pub mod demo;
pub mod demo_backend_server;
mod direct_admission;
pub mod direct_context;
pub mod direct_path;
pub mod direct_process;
pub mod direct_send;
mod disk_writer;
pub mod dispatch_task;
pub mod dispatcher;
pub mod entry_context;
pub mod entry_directory;
pub mod entry_metrics;
pub mod entry_process;
pub mod entry_servers;
pub mod entry_state;
pub mod entry_status;
pub mod explain_client;
pub mod explain_query;
pub mod explain_report;
pub mod fleet_control;
pub mod fleet_follower;
pub mod fleet_service;
mod follow_calls;
pub mod formation;
pub mod forward_client;
pub mod forward_listener;
pub mod header;
pub mod http_server;
pub mod interface;
pub mod leader_relay;
pub mod leader_sessions;
pub mod link_task;
pub mod log_disk;
pub mod log_record;
pub mod log_replay;
pub mod log_writer;
pub mod look_up_handler;
pub mod membership_request;
pub mod metric;
pub mod metrics;
pub mod node_answers;
pub mod node_leaving;
pub mod node_pending;
mod node_repair;
pub mod node_request;
pub mod operator_client;
pub mod operator_service;
pub mod own_interface;
pub mod owner_path;
pub mod peer_channel;
pub mod peer_client;
pub mod peer_links;
pub mod peer_service;
mod pipeline_io;
mod pipelined_connection;
pub mod presence_task;
pub mod published_state;
pub mod quarantine_monitor;
pub mod query_parameter;
pub mod record_codec;
pub mod refusal;
mod refusal_body;
pub mod replication_service;
pub mod reply;
pub mod request_body;
pub mod request_fault;
pub mod request_path;
mod request_trace;
pub mod rollout_reporter;
pub mod rollout_task;
mod session_core;
pub mod session_relay;
pub mod session_service;
pub mod shutdown;
pub mod status_report;
pub mod stop_observer;
pub mod submit_reply;
pub mod sync_target;
pub mod token_issuer;
pub mod token_task;
pub mod update_cache;
