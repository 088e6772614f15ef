//! Decision lines have every field, and their rate is limited.

use clock::{Clock, Millis};
use log::LevelFilter;
use serde_json::{Value, json};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use telemetry::{Action, Admission, Decision, Limiter, Options, log_decision};

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    fn lines(&self) -> Vec<Value> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

fn decision(request: &str) -> Decision<'_> {
    Decision {
        action: Action::Route,
        request,
        block: Some(0x0a0102),
        service: "status-desk",
        choice: "u7",
        reason: "fewest in flight of two",
        epoch: 3,
        sequence: 14,
        version: 9,
    }
}

#[tokio::test(start_paused = true)]
async fn a_line_holds_every_field_and_what_is_suppressed_is_counted() {
    let output = Output::default();
    let options = Options { level: LevelFilter::Info, rate: 3 };
    let log = telemetry::install_to(output.clone(), options, Clock::at(Millis(5_000))).unwrap();
    for request in ["r1\n{\"a\":1}", "r2", "r3", "r4", "r5"] {
        log_decision(&decision(request));
    }
    tokio::time::advance(Millis(1_000).duration()).await;
    log_decision(&decision("r6"));
    log.close();

    let lines = output.lines();
    let requests: Vec<&Value> = lines.iter().map(|line| &line["attributes"]["request"]).collect();
    assert_eq!(
        requests,
        [&json!("r1\n{\"a\":1}"), &json!("r2"), &json!("r3"), &Value::Null, &json!("r6")]
    );
    assert_eq!(lines[3]["message"], "decision lines were suppressed");
    assert_eq!(lines[3]["attributes"]["count"], "2");
    assert_eq!(lines[1]["message"], "route");
    assert_eq!(lines[1]["target"], "decision");
    assert_eq!(
        lines[1]["attributes"],
        json!({
            "request": "r2", "block": "10.1.2.0/24", "service": "status-desk", "choice": "u7",
            "reason": "fewest in flight of two", "epoch": "3", "sequence": "14", "version": "9",
        })
    );
    let metrics = telemetry::render();
    assert!(metrics.contains("heatherbend_decisions_total{action=\"route\"} 6"), "{metrics}");
    assert!(metrics.contains("heatherbend_log_suppressed_total 2"), "{metrics}");
}

#[test]
fn the_limiter_admits_its_rate_in_each_second() {
    let limiter = Limiter::new(2);
    let admitted = |suppressed| Admission::Admitted { suppressed };
    assert_eq!(limiter.admit(Millis(10)), admitted(0));
    assert_eq!(limiter.admit(Millis(900)), admitted(0));
    assert_eq!(limiter.admit(Millis(999)), Admission::Suppressed);
    assert_eq!(limiter.admit(Millis(1_010)), admitted(1));
    assert_eq!(Limiter::new(0).admit(Millis(10)), Admission::Suppressed);
}
