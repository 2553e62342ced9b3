//! Runs one case: `review-harness CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run.

mod deployment;
mod extra_rejection;
mod late_order;
mod net;
mod record;
mod relay;
mod upstream;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-harness CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write {path}: {error}");
            return ExitCode::from(2);
        }
    };
    let held = match case.as_str() {
        "extra-rejection" => extra_rejection::run(&record, trouble),
        "late-order" => late_order::run(&record, trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match held {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
