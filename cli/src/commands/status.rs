//! `heatherring status`: shows control replicas, entry VMs and the manifest in force.

use clap::ArgMatches;
use clap::Command;
use heatherring_lib::id::ClusterId;
use heatherring_server::proto::BackendLimitStatus;
use heatherring_server::proto::EntryStatus;
use heatherring_server::proto::ReplicaStatus;
use heatherring_server::proto::StatusReply;
use serde_json::Value;
use serde_json::json;

use crate::cli_error::CliError;
use crate::commands::manifest::short_digest;
use crate::control_access::client_error;
use crate::control_access::operator_client;
use crate::control_access::runtime;
use crate::control_access::with_control_args;
use crate::output::OutputFormat;
use crate::output::output_arg;
use crate::output::output_format;
use crate::output::print_json;
use crate::output::print_text;
use crate::output::table;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let command = Command::new("status")
        .about("Shows control replicas, entry VMs and the manifest in force")
        .after_help(
            "If no quorum confirms the answer it is printed all the same, marked as not \
             confirmed, and the exit code is 3.\n\n\
             Example:\n  heatherring status --control 10.0.0.1:7400,10.0.0.2:7400",
        )
        .arg(output_arg());
    with_control_args(command, true)
}

/// Fetches the status and prints it.
///
/// # Errors
///
/// Also fails, after printing, if no quorum confirmed the status.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let client = operator_client(matches)?;
    let reply = runtime()?
        .block_on(client.status())
        .map_err(|error| client_error(&error))?;
    match output_format(matches) {
        OutputFormat::Json => print_json(&status_json(&reply))?,
        OutputFormat::Table => print_text(&status_text(&reply))?,
    }
    if reply.current {
        return Ok(());
    }
    Err(
        CliError::unavailable("not confirmed by a quorum; this may be out of date")
            .with_hint("a majority of the control replicas must run and reach one another"),
    )
}

fn cluster_text(cluster_id: &[u8]) -> String {
    let known = <[u8; 16]>::try_from(cluster_id).map(ClusterId);
    known.map_or_else(|_| "unknown".to_owned(), |cluster| cluster.to_string())
}

fn status_json(reply: &StatusReply) -> Value {
    let replicas: Vec<Value> = reply.replicas.iter().map(replica_json).collect();
    let entries: Vec<Value> = reply.entries.iter().map(entry_json).collect();
    let limits = reply.backend_limits.iter();
    let backend_limits: Vec<Value> = limits.map(backend_limit_json).collect();
    json!({
        "current": reply.current,
        "cluster_id": cluster_text(&reply.cluster_id),
        // As strings, since replica identities are 64-bit numbers, which many JSON parsers round.
        "replica": reply.replica.to_string(),
        "leader": reply.leader.to_string(),
        "leaderless_ms": reply.leaderless_ms,
        "term": reply.term,
        "revision": reply.revision,
        "settled_revision": reply.settled_revision,
        "manifest": {
            "version": reply.manifest_version,
            "digest": reply.manifest_digest,
            "revision": reply.manifest_revision,
            "in_force_everywhere": in_force_everywhere(reply),
        },
        "replicas": replicas,
        "entries": entries,
        "backend_limits": backend_limits,
        "backends_leaving": reply.backends_leaving,
    })
}

fn backend_limit_json(limit: &BackendLimitStatus) -> Value {
    json!({
        "backend": limit.backend,
        "per_second": limit.per_second,
        "declared_ms": limit.declared_ms,
    })
}

fn replica_json(replica: &ReplicaStatus) -> Value {
    json!({
        "replica": replica.replica.to_string(),
        "vm": replica.vm,
        "address": replica.address,
        "voter": replica.voter,
        "matched_revision": replica.matched_revision,
        "last_heard_ms": replica.last_heard_ms,
        "answers": replica.answers,
        "disk_full": replica.disk_full,
    })
}

fn entry_json(entry: &EntryStatus) -> Value {
    json!({
        "vm": entry.vm,
        "place": entry.place,
        "region": entry.region,
        "session": entry.session,
        "callers_address": entry.callers_address,
        "leaving": entry.leaving,
        "applied_revision": entry.applied_revision,
        "lease_left_ms": entry.lease_left_ms,
    })
}

const fn in_force_everywhere(reply: &StatusReply) -> bool {
    reply.manifest_version > 0 && reply.settled_revision >= reply.manifest_revision
}

fn status_text(reply: &StatusReply) -> String {
    let replicas: Vec<Vec<String>> = reply
        .replicas
        .iter()
        .map(|replica| replica_row(replica, reply.leader))
        .collect();
    let entries: Vec<Vec<String>> = reply.entries.iter().map(entry_row).collect();
    let replica_header = [
        "VM",
        "REPLICA",
        "ADDRESS",
        "ROLE",
        "REVISION",
        "HEARD MS AGO",
        "ANSWERS",
        "DISK",
    ];
    let entry_header = [
        "VM", "PLACE", "REGION", "SESSION", "CALLERS", "STATE", "REVISION", "LEASE MS",
    ];
    let mut parts = vec![
        manifest_line(reply),
        format!(
            "cluster {}, term {}, revision {}, settled {}",
            cluster_text(&reply.cluster_id),
            reply.term,
            reply.revision,
            reply.settled_revision
        ),
    ];
    if reply.leader == 0 {
        parts.push(leaderless_line(reply));
    }
    parts.extend([
        String::new(),
        table(&replica_header, &replicas),
        String::new(),
        table(&entry_header, &entries),
    ]);
    if !reply.backend_limits.is_empty() {
        let limits = reply.backend_limits.iter().map(backend_limit_row);
        let limits: Vec<Vec<String>> = limits.collect();
        let header = ["BACKEND SERVER", "LIMIT PER SECOND", "DECLARED MS AGO"];
        parts.extend([String::new(), table(&header, &limits)]);
    }
    if !reply.backends_leaving.is_empty() {
        let leaving = reply.backends_leaving.iter();
        let leaving: Vec<Vec<String>> = leaving.map(|name| vec![name.clone()]).collect();
        parts.extend([String::new(), table(&["LEAVING BACKEND SERVER"], &leaving)]);
    }
    parts.join("\n")
}

fn backend_limit_row(limit: &BackendLimitStatus) -> Vec<String> {
    vec![
        limit.backend.clone(),
        limit.per_second.to_string(),
        limit.declared_ms.to_string(),
    ]
}

fn manifest_line(reply: &StatusReply) -> String {
    if reply.manifest_version == 0 {
        return "no manifest has been accepted yet".to_owned();
    }
    let where_in_force = if in_force_everywhere(reply) {
        "in force everywhere"
    } else {
        "not yet in force everywhere"
    };
    format!(
        "manifest version {} (digest {}) accepted at revision {}, {where_in_force}",
        reply.manifest_version,
        short_digest(&reply.manifest_digest),
        reply.manifest_revision
    )
}

fn replica_row(replica: &ReplicaStatus, leader: u64) -> Vec<String> {
    let role = match (replica.replica == leader, replica.voter) {
        (true, _) => "leader",
        (false, true) => "voter",
        (false, false) => "learner",
    };
    let disk = if replica.disk_full { "full" } else { "" };
    let answers = match replica.answers {
        Some(true) => "yes",
        Some(false) => "no",
        None => "",
    };
    vec![
        replica.vm.clone(),
        replica.replica.to_string(),
        replica.address.clone(),
        role.to_owned(),
        replica.matched_revision.to_string(),
        heard_text(replica),
        answers.to_owned(),
        disk.to_owned(),
    ]
}

fn heard_text(replica: &ReplicaStatus) -> String {
    match (replica.last_heard_ms, replica.answers) {
        (0, Some(false)) => "never".to_owned(),
        (0, _) => String::new(),
        (ms, _) => ms.to_string(),
    }
}

/// Says for how long there has been no leader, and how many voters answer the replica that reports.
fn leaderless_line(reply: &StatusReply) -> String {
    let voters = reply.replicas.iter().filter(|replica| replica.voter);
    let answering = voters.clone().filter(|voter| voter.answers == Some(true));
    let learners = reply.replicas.iter().filter(|replica| !replica.voter);
    format!(
        "no leader known to replica {} for {} ms: {} of {} voters are known to answer, {} learners",
        reply.replica,
        reply.leaderless_ms,
        answering.count(),
        voters.count(),
        learners.count(),
    )
}

fn entry_row(entry: &EntryStatus) -> Vec<String> {
    let state = if entry.leaving { "leaving" } else { "serving" };
    vec![
        entry.vm.clone(),
        entry.place.clone(),
        entry.region.clone(),
        entry.session.to_string(),
        entry.callers_address.clone(),
        state.to_owned(),
        entry.applied_revision.to_string(),
        entry.lease_left_ms.to_string(),
    ]
}
