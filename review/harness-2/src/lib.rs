//! Runs a small deployment of real processes on loopback addresses, with stand-ins for backend
//! servers, clients, operators and links. Used by the scripts of `review/N/`.

pub mod cluster;
pub mod http;
pub mod link;
pub mod record;
pub mod upstream;
