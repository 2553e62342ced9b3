//! The errors that the program reports for invalid settings and manifests.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use heatherring_testutils::loopback::CONTROL_PORT;
use heatherring_testutils::loopback::LoopbackBlock;
use tempfile::TempDir;

/// Exit code for errors in the user's input; an internal error exits with 70.
const EXIT_USER: i32 = 2;

const MANIFEST: &str = include_str!("../../samples/kyushu.jsonc");

fn heatherring(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heatherring"));
    command.args(arguments).output().unwrap()
}

fn errors(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// A temporary folder that contains one input file.
struct Fixture {
    folder: TempDir,
    file: PathBuf,
}

impl Fixture {
    fn new(text: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("input.jsonc");
        std::fs::write(&file, text).unwrap();
        Self { folder, file }
    }

    fn path(&self) -> &str {
        self.file.to_str().unwrap()
    }

    /// Returns the position of the first `text` in the file as `line:column`, counted from 1.
    fn position(&self, text: &str) -> String {
        let content = std::fs::read_to_string(&self.file).unwrap();
        let before = &content[..content.find(text).unwrap()];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        format!("{line}:{column}")
    }

    /// Asserts that exactly one line reports an error at the position of `text`, and that the line
    /// contains each of `expected`.
    fn assert_reported(&self, output: &Output, text: &str, expected: &[&str]) {
        let errors = errors(output);
        assert_eq!(output.status.code(), Some(EXIT_USER), "{errors}");
        let at = format!("{}:{}: ", self.path(), self.position(text));
        let lines: Vec<_> = errors
            .lines()
            .filter(|line| line.starts_with(&at))
            .collect();
        assert_eq!(lines.len(), 1, "expected one line at {at}: {errors}");
        for words in expected {
            assert!(lines[0].contains(words), "{words} not in {}", lines[0]);
        }
    }
}

macro_rules! manifest_cases {
    ($($name:ident: $good:expr => $bad:expr, at $position:expr, says $said:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert!(MANIFEST.contains($good), "the sample does not contain {}", $good);
                let fixture = Fixture::new(&MANIFEST.replacen($good, $bad, 1));
                let output = heatherring(&["check", fixture.path(), "--as", "manifest"]);
                fixture.assert_reported(&output, $position, &$said);
                // A command that sends the manifest must report the error before it connects.
                let submit = ["manifest", "submit", fixture.path(), "--control", "127.0.0.1:9"];
                fixture.assert_reported(&heatherring(&submit), $position, &$said);
            }
        )*
    };
}

manifest_cases! {
    test_bad_input_unknown_field:
        r#""deployment":"# => r#""deploymnt": "x", "deployment":"#,
        at r#""deploymnt""#, says ["deploymnt", "deployment"];
    test_bad_input_wrong_type:
        r#""deployment": ""# => r#""deployment": 7, "links": [], "x": ""#,
        at "7, ", says ["string"];
    test_bad_input_duplicate_place:
        r#""fko-kokura": {"region": "fukuoka"}"# => r#""fko-hakata": {"region": "other"}"#,
        at r#""fko-hakata": {"region": "other"}"#, says ["fko-hakata", "once"];
    test_bad_input_cap_over_100_percent:
        r#""percent": 60"# => r#""percent": 101"#,
        at "101", says ["from 0 to 100"];
}

fn control_settings(listen: SocketAddr, data_folder: &Path) -> String {
    format!(
        r#"// A control replica.
{{
  "vm": "control-1",
  "place": "fko-hakata",
  "region": "fko",
  "security": "open_loopback",
  "listen": "{listen}",
  "data_folder": "{}"
}}
"#,
        data_folder.display()
    )
}

#[test]
fn test_bad_input_address() {
    let listen = "127.0.0.1:7101".parse().unwrap();
    let settings = control_settings(listen, Path::new("data")).replace(":7101", ":port");
    let fixture = Fixture::new(&settings);
    let output = heatherring(&["control", "--settings", fixture.path()]);
    fixture.assert_reported(&output, r#""127.0.0.1:port""#, &["allowed"]);
}

#[test]
fn test_bad_input_missing_data_folder() {
    let block = LoopbackBlock::claim().unwrap();
    let listen = SocketAddr::new(block.caller(0, 0), CONTROL_PORT);
    let fixture = Fixture::new("");
    let missing = fixture.folder.path().join("missing");
    std::fs::write(&fixture.file, control_settings(listen, &missing)).unwrap();
    let output = heatherring(&["control", "--settings", fixture.path()]);
    let quoted_path = format!("\"{}\"", missing.display());
    fixture.assert_reported(&output, &quoted_path, &["no such folder", "control init"]);
    assert!(
        !missing.exists(),
        "the data folder was created although the start failed"
    );
}

#[test]
fn test_bad_input_port_in_use() {
    let block = LoopbackBlock::claim().unwrap();
    let listen = SocketAddr::new(block.caller(0, 0), CONTROL_PORT);
    let fixture = Fixture::new("");
    let data = fixture.folder.path().join("data");
    std::fs::create_dir(&data).unwrap();
    std::fs::write(&fixture.file, control_settings(listen, &data)).unwrap();
    let init = heatherring(&["control", "init", "--settings", fixture.path()]);
    assert!(init.status.success(), "{}", errors(&init));
    let _port_holder = TcpListener::bind(listen).unwrap();
    let output = heatherring(&["control", "--settings", fixture.path()]);
    fixture.assert_reported(
        &output,
        &format!("\"{listen}\""),
        &["in use", "a free port"],
    );
}

#[test]
fn test_bad_input_port_in_use_at_entry() {
    let block = LoopbackBlock::claim().unwrap();
    let ip = block.caller(0, 0);
    let [callers, announce, peers, forward] =
        [1, 2, 3, 4].map(|port| SocketAddr::new(ip, 7_200 + port));
    let settings = format!(
        r#"{{
  "vm": "entry-1", "place": "fko-hakata", "region": "fukuoka",
  "security": "open_loopback",
  "control": ["127.0.0.1:9"],
  "listen": {{
    "callers": "{callers}",
    "backend_servers": "{announce}",
    "peers": "{peers}",
    "forward": "{forward}"
  }}
}}"#
    );
    let fixture = Fixture::new(&settings);
    let _port_holder = TcpListener::bind(forward).unwrap();
    let output = heatherring(&["entry", "--settings", fixture.path()]);
    fixture.assert_reported(
        &output,
        &format!("\"{forward}\""),
        &["in use", "a free port"],
    );
}
