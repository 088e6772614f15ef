//! Servers break off a few of their downloads, behind which clients have sent further requests.

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
use server::{Garble, Plan, Server};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

const CLIENTS: usize = 20;
const SERVERS: usize = 12;
/// Of the servers of the downloads, those that are faulty.
const FAULTY_SERVERS: usize = 6;
const SLOTS: usize = 3;
/// About half of the site's means, as for objects that a server has handled recently.
const WORK: Duration = Duration::from_millis(150);
/// The largest response of the site's downloads.
const DOWNLOAD_BYTES: usize = 540_000;
const STATUS_BYTES: usize = 1_500;
/// Two requests are sent behind each download.
const PATHS: &[&str] = &["/manual/large", "/status/next", "/status/next"];
const TIME_BUDGET: Duration = Duration::from_secs(2);
const CALM: Duration = Duration::from_secs(3);
const TROUBLE: Duration = Duration::from_secs(5);
/// LOST allows a machine three requests from kept connections without an answer.
const ALLOWED: usize = 3;

const DOWNLOADS: Route = Route {
    name: "r-manual",
    prefix: "/manual/",
    kind: "download",
    service: "manual-store",
    timeout: "2000ms",
};
const STATUS: Route = Route {
    name: "r-status",
    prefix: "/status/",
    kind: "idempotent",
    service: "status-desk",
    timeout: "2000ms",
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
    let mut plans: Vec<Plan> =
        (0..SERVERS).map(|number| plan("manual-store", number, WORK, DOWNLOAD_BYTES)).collect();
    plans.extend((0..SERVERS).map(|number| plan("status-desk", number, WORK, STATUS_BYTES)));
    let Some(deployment) = Deployment::open(&record, plans, &[DOWNLOADS, STATUS]) else {
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
    let garble = Arc::new(Garble::default());
    std::thread::sleep(CALM);
    let of_downloads = |server: &&Arc<Server>| server.plan.service == "manual-store";
    let servers = deployment.servers.iter().filter(of_downloads);
    let faulty: Vec<_> = servers.take(FAULTY_SERVERS).collect();
    if has_trouble() {
        record.say("servers", &format!("{FAULTY_SERVERS} of {SERVERS} break off answers now"));
        for server in &faulty {
            *server.garble.lock().expect("the fault") = Some(Arc::clone(&garble));
        }
    }
    std::thread::sleep(TROUBLE);
    for server in &faulty {
        *server.garble.lock().expect("the fault") = None;
    }
    pipelines.close(deployment, |server| server.plan.service == "status-desk")
}
