//! Short runs of the fault soak with fixed seeds. docs/SOAK.md explains how to run more.

use std::path::Path;

const SECONDS: u64 = 13;

async fn run(seed: u64, seconds: u64) {
    let program = Path::new(env!("CARGO_BIN_EXE_gatewayd"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let report = soak::run(seed, seconds, program, &directory).await.unwrap();
    assert!(report.violations.is_empty(), "seed {seed}: {report:#?}");
}

#[tokio::test]
async fn planned_operations_alone_violate_no_guarantee() {
    run(3, SECONDS).await;
}

#[tokio::test]
async fn overlapping_faults_violate_no_guarantee() {
    run(10, SECONDS).await;
}

#[tokio::test]
async fn seeds_of_past_failures_pass() {
    for seed in soak::regressions() {
        run(seed.number, seed.seconds).await;
    }
}
