//! t
mod dispatch_model;
use dispatch_model::*;
#[test]
fn probe() {
    for entries in [2,4] { for rate in [112.0, 165.0] {  for counts_start in [true, false] {
        let mut sum = 0.0; let mut last=Result::default();
        for seed in 1..4 { let r = Model::new(Plan { rate, entries, seed, counts_start, burst: 1.8, length: std::time::Duration::from_secs(24), ..Plan::look_up() }).play(); sum += r.share(); last=r; }
        println!("entries {entries} rate {rate} start {counts_start}: share {:.3} {last:?}", sum/3.0);
    }}}
}
