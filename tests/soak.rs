//! A short seeded run of the fault soak; docs/SOAK.md says how to play more.

use std::path::Path;

const SECONDS: u64 = 13;

async fn play(seed: u64, seconds: u64) {
    let program = Path::new(env!("CARGO_BIN_EXE_gatewayd"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let report = soak::play(seed, seconds, program, &directory).await.unwrap();
    assert!(report.broken.is_empty(), "seed {seed}: {report:#?}");
}

#[tokio::test]
async fn planned_work_alone_breaks_no_promise() {
    play(3, SECONDS).await;
}

#[tokio::test]
async fn faults_that_overlap_break_no_promise() {
    play(10, SECONDS).await;
}

#[tokio::test]
async fn seeds_that_failed_once_pass() {
    for seed in soak::seeds() {
        play(seed.number, seed.seconds).await;
    }
}
