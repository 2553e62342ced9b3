//! Helpers shared by several tests.

use heatherring_lib::config_fault::ConfigFaults;

/// Replaces the first `from` in `sample` with `to` and asserts that reading the result reports
/// exactly the fault `expected` at the position that the marker `^` has in `to`. The file name
/// passed to the reader must be `f`.
pub fn expect_fault(
    sample: &str,
    from: &str,
    to: &str,
    expected: &str,
    read: impl FnOnce(&str) -> Result<(), ConfigFaults>,
) {
    assert!(sample.contains(from), "the sample has no {from:?}");
    let marked = sample.replacen(from, to, 1);
    let (before, after) = marked.split_once('^').expect("no mark");
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    let text = format!("{before}{after}");
    let faults = read(&text).expect_err("the text should be refused");
    assert_eq!(faults.to_string(), format!("f:{line}:{column}: {expected}"));
}
