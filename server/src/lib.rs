//! The sockets, files and timers round the decisions of heatherring.
//!
//! Each task owns its sockets and its state; tasks talk by messages. Decisions are
//! made by the core (`heatherring-lib`); this crate carries them out.

pub mod peer_security;

/// Code generated from `server/proto/heatherring.proto` by `tools/proto-gen`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/heatherring.v1.rs"]
pub mod proto;

pub mod admission_task;
pub mod answer_body;
pub mod backend_pool;
pub mod control_session;
pub mod data_folder;
pub mod dispatcher;
pub mod entry_process;
pub mod entry_state;
pub mod grpc_channel;
pub mod header;
pub mod http_server;
pub mod log_disk;
pub mod log_record;
pub mod log_replay;
pub mod metrics;
pub mod peer_client;
pub mod record_codec;
pub mod refusal;
pub mod shutdown;
