//! The control of processes.

use harness::{Process, Signal};
use std::fs;
use std::path::Path;
use std::thread::available_parallelism;

const BUSY: &str = "echo started; while :; do :; done";
/// Enough that most of the processes wait for a CPU when they are sent a signal.
const BUSY_PER_CPU: usize = 4;

/// The state of the process in `/proc`, such as `R` or `T`.
fn state(process: &Process) -> String {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let (_, fields) = stat.rsplit_once(')').unwrap();
    fields.split_whitespace().next().unwrap().into()
}

/// Guards against orders that run though their owner was paused: the process had not stopped yet.
#[test]
fn a_process_has_stopped_when_signal_returns() {
    let count = BUSY_PER_CPU * available_parallelism().unwrap().get();
    let start = |_| Process::start("busy", Path::new("sh"), &["-c", BUSY]).unwrap();
    let processes: Vec<Process> = (0..count).map(start).collect();
    for process in &processes {
        process.signal(Signal::Stop).unwrap();
        assert_eq!(state(process), "T");
    }
    for process in &processes {
        process.signal(Signal::Cont).unwrap();
        assert_ne!(state(process), "T");
        process.signal(Signal::Stop).unwrap();
        assert_eq!(state(process), "T");
    }
}

#[test]
fn stopping_a_process_that_has_ended_fails() {
    let process = Process::start("ended", Path::new("sh"), &["-c", "echo started"]).unwrap();
    while state(&process) != "Z" {
        std::thread::yield_now();
    }
    let error = process.signal(Signal::Stop).unwrap_err().to_string();
    assert!(error.contains("can't stop ended: it has ended"), "{error}");
}
