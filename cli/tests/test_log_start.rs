//! Start of the log writer.

use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use serde_json::json;
use tempfile::TempDir;

const ROUNDS: u32 = 20;
/// Processes that start at the same time, so that their threads are scheduled in different orders.
const PROCESSES_PER_ROUND: usize = 16;

/// Guards against processes that are occasionally killed by a signal at their start: if the log
/// writer's thread formats lines and is the first to load the system's time zone, that overflows its
/// stack. The thread must only write. The order of the threads is random, so many processes are
/// started.
#[test]
fn test_log_start_never_ends_the_process() {
    let mut block = LoopbackBlock::claim().unwrap();
    let folder = TempDir::new().unwrap();
    let settings = json!({
        "vm": "control-1", "place": "fko-hakata", "region": "fukuoka",
        "listen": SocketAddr::new(block.next_vm(), CONTROL_PORT),
        "data_folder": folder.path().join("unformatted"), "security": "open_loopback",
    });
    let file = folder.path().join("control.jsonc");
    std::fs::write(&file, settings.to_string()).unwrap();
    let start = || {
        Command::new(env!("CARGO_BIN_EXE_heatherring"))
            .args(["control", "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    };
    for _ in 0..ROUNDS {
        let started: Vec<Child> = std::iter::repeat_with(start)
            .take(PROCESSES_PER_ROUND)
            .collect();
        for child in started {
            // The data folder isn't formatted: the process reports that and exits by itself.
            let output = child.wait_with_output().unwrap();
            let errors = String::from_utf8_lossy(&output.stderr);
            let code = output.status.code();
            assert!(code.is_some(), "{:?}: {errors}", output.status);
        }
    }
}
