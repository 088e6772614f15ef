//! A stuck output never blocks logging; dropped lines are counted and their number is logged.

use log::{Level, Record};
use log4rs::append::Append;
use serde_json::Value;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use telemetry::{Queue, names};

const CAPACITY: usize = 8;
const LINES: usize = 500;

/// An output that blocks until the sender of `gate` is dropped.
struct Stuck {
    gate: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.gate.recv().is_ok() {}
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn append(queue: &Queue, count: usize) {
    for number in 0..count {
        let text = format!("line {number}");
        let args = format_args!("{text}");
        let record = Record::builder().level(Level::Info).args(args).build();
        queue.append(&record).unwrap();
    }
}

fn dropped_by_metric() -> usize {
    let rendered = telemetry::render();
    let line = rendered.lines().find(|line| line.starts_with(names::LOG_DROPPED));
    line.and_then(|line| line.split(' ').next_back()).map_or(0, |count| count.parse().unwrap())
}

#[test]
fn a_stuck_output_drops_lines_and_says_how_many() {
    telemetry::install_recorder();
    telemetry::install_recorder();
    let (open_gate, gate): (Sender<()>, Receiver<()>) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = Stuck { gate, written: Arc::clone(&written) };
    let (queue, writer) = Queue::open(CAPACITY, output).unwrap();

    append(&queue, LINES);
    let dropped = dropped_by_metric();
    assert!(dropped > 0 && dropped <= LINES - CAPACITY, "{dropped}");

    drop(open_gate);
    queue.flush();
    append(&queue, 1);
    drop(queue);
    writer.close();

    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let is_report = |line: &&Value| line["message"] == "log lines were dropped";
    let reported: usize = lines
        .iter()
        .filter(is_report)
        .map(|line| line["attributes"]["count"].as_str().unwrap().parse::<usize>().unwrap())
        .sum();
    assert_eq!(reported, dropped);
    assert_eq!(lines.iter().filter(|line| !is_report(line)).count(), LINES + 1 - dropped);
}
