//! Servers turn slow while clients have sent downloads behind requests to them.

mod deployment;
mod gateway;
mod http;
mod pipeline;
mod record;
mod server;
mod store;

use deployment::{Deployment, Route, has_trouble};
use pipeline::{Habit, Pipelines};
use record::Record;
use server::{Plan, Server};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const CLIENTS: usize = 10;
const SERVERS: usize = 12;
/// Of the servers of the reports, those that turn slow, and how many times as long work takes there.
const SLOW_SERVERS: usize = 4;
const SLOWDOWN: u32 = 5;
const SLOTS: usize = 3;
/// A third of the site's mean, as for objects that a server has handled recently.
const REPORT_WORK: Duration = Duration::from_millis(400);
const DOWNLOAD_WORK: Duration = Duration::from_millis(150);
/// The largest response of the site's downloads.
const DOWNLOAD_BYTES: usize = 540_000;
const REPORT_BYTES: usize = 1_500;
const PATHS: &[&str] = &["/report/first", "/manual/large", "/report/next", "/report/next"];
const TIME_BUDGET: Duration = Duration::from_secs(8);
const CALM: Duration = Duration::from_secs(3);
const TROUBLE: Duration = Duration::from_millis(6_500);
/// LOST allows a machine three requests from kept connections without an answer.
const ALLOWED: usize = 3;

const DOWNLOADS: Route = Route {
    name: "r-manual",
    prefix: "/manual/",
    kind: "download",
    service: "manual-store",
    timeout: "1500ms",
};
const REPORTS: Route = Route {
    name: "r-report",
    prefix: "/report/",
    kind: "idempotent",
    service: "report-desk",
    timeout: "8000ms",
};

fn main() -> ExitCode {
    let directory = std::env::args().nth(1).expect("the folder of the case");
    let record = Arc::new(Record::open(directory.as_ref()));
    let plan = |service: &str, number: usize, work, body| Plan {
        id: format!("i-{service}-{number}"),
        service: service.to_owned(),
        zone: ["antwerpen-haven", "gent-dok"][number % 2].to_owned(),
        slots: SLOTS,
        work,
        body,
    };
    let mut plans: Vec<Plan> = (0..SERVERS)
        .map(|number| plan("manual-store", number, DOWNLOAD_WORK, DOWNLOAD_BYTES))
        .collect();
    plans.extend((0..SERVERS).map(|number| plan("report-desk", number, REPORT_WORK, REPORT_BYTES)));
    let Some(deployment) = Deployment::open(&record, plans, &[DOWNLOADS, REPORTS]) else {
        record.say("result", "the machines did not become ready");
        return ExitCode::from(2);
    };
    let result = play(&deployment, &record);
    deployment.close();
    match result {
        Ok(lost) if lost <= ALLOWED => {
            record.say("result", &format!("no machine lost more than {ALLOWED} requests: {lost}"));
            ExitCode::SUCCESS
        }
        Ok(lost) => {
            let text = format!(
                "LOST: {lost} requests of one machine, which sound servers ran, have no answer"
            );
            record.say("result", &text);
            ExitCode::from(1)
        }
        Err(reason) => {
            record.say("result", &format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}

/// Returns the most requests of one machine that sound servers ran and whose connection ended
/// without an answer.
fn play(deployment: &Deployment, record: &Arc<Record>) -> Result<usize, String> {
    let habit = Habit {
        clients: CLIENTS,
        paths: PATHS,
        time_budget: TIME_BUDGET,
        length: CALM + TROUBLE + TIME_BUDGET,
    };
    let pipelines = Pipelines::open(deployment, record, habit);
    let pipelines = pipelines.ok_or("the directory names no machine")?;
    std::thread::sleep(CALM);
    let of_reports = |server: &&Arc<Server>| server.plan.service == "report-desk";
    let servers = deployment.servers.iter().filter(of_reports);
    let slow: Vec<_> = servers.take(SLOW_SERVERS).collect();
    if has_trouble() {
        let text = format!("{SLOW_SERVERS} of {SERVERS} take {SLOWDOWN} times as long now");
        record.say("servers", &text);
        for server in &slow {
            server.slowdown.store(SLOWDOWN, Ordering::SeqCst);
        }
    }
    std::thread::sleep(TROUBLE);
    for server in &slow {
        server.slowdown.store(1, Ordering::SeqCst);
    }
    // Servers that were slow aren't counted, whether they are sound or not.
    let is_slow = |server: &Server| slow.iter().any(|each| each.plan.id == server.plan.id);
    pipelines.close(deployment, |server| server.plan.service == "report-desk" && !is_slow(server))
}
