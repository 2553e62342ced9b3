//! Stand-ins for what surrounds heatherring: backend servers, callers, slow and cut
//! links, a cluster of real processes, and the check of what all of them recorded.

mod announcer;
pub mod caller;
pub mod cluster;
pub mod cluster_error;
pub mod cluster_operator;
pub mod cluster_plan;
pub mod config_faults;
pub mod config_probe;
pub mod control_cluster;
pub mod control_history;
pub mod deployment;
pub mod deployment_plan;
pub mod direct_cluster;
pub mod direct_policy;
pub mod echo;
pub mod fake_backend_server;
mod late_answer;
pub mod ledger;
pub mod load_summary;
pub mod loopback;
pub mod machine_clock;
pub mod network;
pub mod open_loop;
pub mod process;
pub mod process_usage;
pub mod raw_request;
pub mod relay;
pub mod request_history;
pub mod service_time;
pub mod socket_owner;
pub mod steady_load;
pub mod submission_spec;
pub mod wait;
