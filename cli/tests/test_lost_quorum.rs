//! What control replicas tell while a majority of the voters is gone, over real processes.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use heatherring_testutils::direct_cluster::DirectCluster;
use heatherring_testutils::direct_cluster::DirectPlan;
use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::wait::wait_for;
use serde_json::Value;

const CONTROLS: usize = 6;
const VOTERS: usize = 5;

const BINARY: &str = env!("CARGO_BIN_EXE_heatherring");

/// Returns the fields of the lines that a replica has logged, in order.
fn lines(cluster: &DirectCluster, number: usize) -> Vec<Value> {
    let vm = &cluster.controls[number].plan.vm;
    let log = cluster.folder().join(format!("{vm}.log"));
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().map(serde_json::from_str::<Value>);
    lines
        .filter_map(|line| Some(line.ok()?["kvs"].take()))
        .collect()
}

/// Returns what `heatherring status` prints when it asks one replica, and its exit code.
fn status(cluster: &DirectCluster, number: usize, output: &str) -> (String, Option<i32>) {
    let ip = cluster.controls[number].orders().ip();
    let control = format!("{ip}:{CONTROL_PORT}");
    let arguments = ["status", "--timeout", "2", "--output", output, "--control"];
    let mut command = Command::new(BINARY);
    let output = command.args(arguments).arg(control).output().unwrap();
    (
        String::from_utf8(output.stdout).unwrap(),
        output.status.code(),
    )
}

fn status_json(cluster: &DirectCluster, number: usize) -> Value {
    let (text, _) = status(cluster, number, "json");
    serde_json::from_str(&text).unwrap_or(Value::Null)
}

/// Returns the addresses of the voters, or of the learners.
fn members(status: &Value, voter: bool) -> Vec<String> {
    let replicas = status["replicas"].as_array().into_iter().flatten();
    let members = replicas.filter(|replica| replica["voter"] == voter);
    let addresses = members.map(|replica| replica["address"].as_str().unwrap().to_owned());
    addresses.collect()
}

/// Returns the number of the process whose replica has an address.
fn number_of(cluster: &DirectCluster, status: &Value, address: &str) -> usize {
    let mut replicas = status["replicas"].as_array().unwrap().iter();
    let known = replicas.find(|replica| replica["address"] == address);
    let replica = known.unwrap()["replica"].as_str().unwrap();
    let is_started = |line: &Value| {
        line["event"] == "control_started"
            && line["replica"].to_string().trim_matches('"') == replica
    };
    let mut numbers = 0..CONTROLS;
    let number = numbers.find(|number| lines(cluster, *number).iter().any(is_started));
    number.unwrap()
}

/// Guards against control that is lost for good while neither a log nor `status` says who is a voter
/// and who answers.
#[tokio::test(flavor = "multi_thread")]
async fn test_lost_quorum_is_told_by_log_and_status() {
    let plan = DirectPlan {
        regions: vec!["east".to_owned()],
        controls: CONTROLS,
        entries: 0,
        between_regions: Duration::from_millis(1),
    };
    let mut cluster = DirectCluster::start(&plan, Path::new(BINARY))
        .await
        .unwrap();
    let formed = wait_for("five voters and a learner", async || {
        let formed = status_json(&cluster, 0);
        let complete = members(&formed, true).len() == VOTERS && members(&formed, false).len() == 1;
        (formed["current"] == true && complete).then_some(formed)
    })
    .await
    .unwrap();
    wait_for("the reason for which the learner waits", async || {
        let told =
            |line: &Value| line["event"] == "learner_waits" && line["reason"] == "seats_taken";
        (0..CONTROLS)
            .any(|number| lines(&cluster, number).iter().any(told))
            .then_some(())
    })
    .await
    .unwrap();
    let voters = members(&formed, true);
    let (lost, left) = voters.split_at(3);
    for address in lost {
        let number = number_of(&cluster, &formed, address);
        cluster.kill_control(number).unwrap();
    }
    let lost: BTreeSet<&str> = lost.iter().map(String::as_str).collect();
    let survivor = number_of(&cluster, &formed, &left[0]);
    let line = wait_for("a line on the missing majority", async || {
        let lines = lines(&cluster, survivor).into_iter();
        let mut missing = lines.filter(|line| line["event"] == "quorum_missing");
        missing.find(|line| {
            let silent = line["silent"].as_str().unwrap_or_default();
            silent.split(',').collect::<BTreeSet<_>>() == lost
        })
    })
    .await
    .unwrap();
    assert_eq!(
        line["learners"].to_string().trim_matches('"'),
        "1",
        "{line}"
    );
    wait_for("a status that says who answers", async || {
        let told = status_json(&cluster, survivor);
        let replicas = told["replicas"].as_array()?.iter();
        let silent = replicas.filter(|replica| replica["answers"] == false);
        let silent: BTreeSet<&str> = silent
            .filter_map(|replica| replica["address"].as_str())
            .collect();
        (silent == lost && told["leader"] == "0").then_some(())
    })
    .await
    .unwrap();
    let (text, code) = status(&cluster, survivor, "table");
    assert_eq!(code, Some(3), "{text}");
    assert!(text.contains("of 5 voters are known to answer"), "{text}");
}
