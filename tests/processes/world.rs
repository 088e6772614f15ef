//! Runs the steps of a session against a fleet of processes and records what callers, operators and
//! upstreams observe.

use caller::client::{Call, Client, Outcome};
use caller::{Method, parse_block};
use clock::{Clock, Millis};
use errors::Execution;
use harness::{Binaries, Fleet, OPERATOR_KEY, Signal, Size};
use operator::wire::UsePreset;
use operator::{Api, Key};
use session::Step;
use std::error::Error;
use std::process::Command;
use std::sync::Arc;
use store::fake::Fault;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const BLOCK: &str = "10.0.0.0/24";
const DOMAINS: [&str; 3] = ["antwerpen-1", "gent-1", "leuven-1"];
const SERVICES: [&str; 2] = ["status-desk", "order-desk"];
const TIMEOUT: Millis = Millis::from_secs(30);
const POLL_INTERVAL: Millis = Millis(100);

/// A fleet of three entry VMs, and the transcript of the session so far.
pub struct World {
    /// The executed steps with their results.
    pub transcript: Vec<String>,
    fleet: Fleet,
    clock: Clock,
    /// Order prefixes that callers got; `p1` in a step is the first.
    prefixes: Vec<Arc<str>>,
}

impl World {
    /// Starts the platform, the upstreams and the daemons.
    pub async fn open() -> Result<World> {
        let binaries = Binaries {
            entryd: env!("CARGO_BIN_EXE_entryd").into(),
            controld: env!("CARGO_BIN_EXE_controld").into(),
            standin: env!("CARGO_BIN_EXE_standin").into(),
        };
        let size = Size {
            domains: DOMAINS.map(String::from).to_vec(),
            entries: DOMAINS.len(),
            services: SERVICES.map(String::from).to_vec(),
            upstreams: DOMAINS.len(),
            slots: 4,
            service_ms: 5,
        };
        let mut fleet = Fleet::prepare(binaries, &size).await?;
        fleet.start().await?;
        let clock = Clock::system();
        Ok(World { transcript: Vec::new(), fleet, clock, prefixes: Vec::new() })
    }

    /// Executes one step of the session and adds the result to the transcript.
    pub async fn execute(&mut self, step: &Step) -> Result<()> {
        let words: Vec<&str> = step.words.iter().map(String::as_str).collect();
        let result = match (step.verb.as_str(), words.as_slice()) {
            ("command", words) => self.command(words)?,
            ("ready", []) => self.wait_until_ready().await?,
            ("get", [via, path]) => self.get(via, path).await?,
            ("prefix", [via]) => self.prefix(via).await?,
            ("order", [via, name]) => self.order(via, name).await?,
            ("ran", [name]) => self.ran(name).await?,
            ("signal", [signal, process, vm]) => self.signal(signal, process, vm)?,
            ("stop", [process, vm]) => self.stop(process, vm)?,
            ("start", [process, vm]) => self.start(process, vm)?,
            ("platform", [state]) => self.platform(state).await?,
            ("race", [first, second]) => self.race(first, second).await?,
            ("preset", [vm, name]) => self.wait_for_preset(vm, name).await?,
            (verb, words) => return Err(format!("unknown step: {verb} {words:?}").into()),
        };
        let line = format!("{} {}: {result}", step.verb, words.join(" "));
        self.transcript.push(line);
        Ok(())
    }

    /// Runs `heatherbend` against the first entry VM and returns its exit code.
    fn command(&self, words: &[&str]) -> Result<String> {
        let key = self.fleet.directory().join("key");
        std::fs::write(&key, OPERATOR_KEY)?;
        let operator = self.fleet.entry_vms[0].listen.operator.to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_heatherbend"))
            .args(words)
            .args(["--node", &operator, "--key-file"])
            .arg(key)
            .output()?;
        Ok(format!("exit code {}", output.status.code().unwrap_or(-1)))
    }

    async fn wait_until_ready(&self) -> Result<String> {
        for number in 0..self.fleet.entry_vms.len() {
            let vm = format!("e{}", number + 1);
            self.wait_until(&format!("{vm} serves"), async || {
                self.get(&vm, "/ready").await.is_ok_and(|result| result.starts_with("answered"))
            })
            .await?;
        }
        Ok("every entry VM serves".into())
    }

    async fn get(&self, via: &str, path: &str) -> Result<String> {
        let call = Call {
            service: "status-desk".into(),
            method: Method::GET,
            path: path.into(),
            body: Default::default(),
            order: None,
        };
        self.call(via, &call).await
    }

    /// Looks up the service of orders and stores the order prefix as `p1`, `p2` and so on.
    async fn prefix(&mut self, via: &str) -> Result<String> {
        let address = self.fleet.entry_vms[self.number(via)?].listen.caller;
        let block = parse_block(BLOCK).ok_or("the block is malformed")?;
        let mut client = Client::new(self.clock, block, vec![address])?;
        let response = client.look_up(&"order-desk".into()).await?;
        self.prefixes.push(response.order_prefix);
        let owner = response.entries.first().map_or("nobody", |entry| &entry.vm);
        Ok(format!("p{}, home {owner}", self.prefixes.len()))
    }

    /// Sends the order `name` through `via`; `p1/x` is the order `x` with the first stored prefix.
    async fn order(&self, via: &str, name: &str) -> Result<String> {
        let call = Call {
            service: "order-desk".into(),
            method: Method::POST,
            path: "/orders".into(),
            body: "one impeller".into(),
            order: Some(self.order_id(name)?),
        };
        self.call(via, &call).await
    }

    async fn call(&self, via: &str, call: &Call) -> Result<String> {
        let address = self.fleet.entry_vms[self.number(via)?].listen.caller;
        let block = parse_block(BLOCK).ok_or("the block is malformed")?;
        let client = Client::new(self.clock, block, Vec::new())?;
        Ok(match client.attempt(call, address).await {
            Outcome::Answered { status, body } => {
                let complete = body == upstream::fake::entity(&call.path, 0);
                format!("answered {status} {}", if complete { "whole" } else { "NOT WHOLE" })
            }
            Outcome::Refused { ran, detail } => format!("{} {}", describe(ran), kind(&detail)),
        })
    }

    /// How often upstreams executed the order `name`, by their own records.
    async fn ran(&self, name: &str) -> Result<String> {
        let id = self.order_id(name)?;
        let lines = self.fleet.executions().await?;
        let times = lines.iter().filter(|line| line.ends_with(&format!(" {id}"))).count();
        Ok(format!("{times} times"))
    }

    fn signal(&mut self, signal: &str, process: &str, vm: &str) -> Result<String> {
        let number = self.number(vm)?;
        let entry_vm = &mut self.fleet.entry_vms[number];
        let slot = match process {
            "controld" => &mut entry_vm.controld,
            "entryd" => &mut entry_vm.entryd,
            other => {
                return Err(format!("unknown process `{other}`: use controld or entryd").into());
            }
        };
        let running = slot.as_ref().ok_or("the process doesn't run")?;
        match signal {
            "kill" => {
                if let Some(process) = slot.take() {
                    process.kill();
                }
            }
            "freeze" => running.signal(Signal::Stop)?,
            "wake" => running.signal(Signal::Cont)?,
            other => {
                return Err(format!("unknown signal `{other}`: use kill, freeze or wake").into());
            }
        }
        Ok("done".into())
    }

    /// Shuts a daemon down gracefully.
    fn stop(&mut self, process: &str, vm: &str) -> Result<String> {
        let number = self.number(vm)?;
        let entry_vm = &mut self.fleet.entry_vms[number];
        let slot =
            if process == "controld" { &mut entry_vm.controld } else { &mut entry_vm.entryd };
        let running = slot.take().ok_or("the process doesn't run")?;
        let status = running.close(TIMEOUT)?;
        Ok(format!("exit code {}", status.code().unwrap_or(-1)))
    }

    fn start(&mut self, process: &str, vm: &str) -> Result<String> {
        let number = self.number(vm)?;
        let binaries = self.fleet.binaries.clone();
        match process {
            "controld" => self.fleet.entry_vms[number].start_controld(&binaries)?,
            "entryd" => self.fleet.entry_vms[number].start_entryd(&binaries)?,
            other => {
                return Err(format!("unknown process `{other}`: use controld or entryd").into());
            }
        }
        Ok("done".into())
    }

    async fn platform(&self, state: &str) -> Result<String> {
        match state {
            "down" => self.fleet.inject(&Fault::Down).await?,
            "loses-answer" => self.fleet.inject(&Fault::LoseAnswers(1)).await?,
            "up" => self.fleet.clear_faults().await?,
            other => {
                return Err(format!(
                    "unknown platform state `{other}`: use down, loses-answer or up"
                )
                .into());
            }
        }
        Ok("done".into())
    }

    /// Two operators put presets in force at the same time, at two VMs and from the same version.
    async fn race(&self, first: &str, second: &str) -> Result<String> {
        let first_api = self.operator(0)?;
        let second_api = self.operator(1)?;
        let expected = first_api.current().await?.version;
        let request = |preset: &str| UsePreset {
            expected,
            operation: format!("use-{preset}").into(),
            preset: preset.into(),
        };
        let (first_result, second_result) = tokio::join!(
            first_api.use_preset(request(first)),
            second_api.use_preset(request(second))
        );
        let accepted =
            [&first_result, &second_result].iter().filter(|result| result.is_ok()).count();
        let refused =
            first_result.err().or(second_result.err()).ok_or("both operations were accepted")?;
        Ok(format!("{accepted} accepted, the other refused as {:?}", refused.kind))
    }

    async fn wait_for_preset(&self, vm: &str, name: &str) -> Result<String> {
        let api = self.operator(self.number(vm)?)?;
        self.wait_until(&format!("{vm} follows {name}"), async || {
            api.status().await.is_ok_and(|status| &*status.preset == name)
        })
        .await?;
        Ok("in force".into())
    }

    fn operator(&self, number: usize) -> Result<operator::Client> {
        let address = self.fleet.entry_vms[number].listen.operator;
        Ok(operator::Client::new(address, Key::new(OPERATOR_KEY.into()))?)
    }

    fn order_id(&self, name: &str) -> Result<Arc<str>> {
        let Some((prefix, rest)) = name.split_once('/') else { return Ok(name.into()) };
        let number: usize = prefix.trim_start_matches('p').parse()?;
        let prefix = self.prefixes.get(number - 1).ok_or("no prefix of this number was stored")?;
        Ok(format!("{prefix}~{rest}").into())
    }

    fn number(&self, vm: &str) -> Result<usize> {
        let found = self.fleet.entry_vms.iter().position(|entry_vm| entry_vm.name == vm);
        found.ok_or_else(|| format!("unknown VM `{vm}`").into())
    }

    async fn wait_until<Probe>(&self, state: &str, probe: Probe) -> Result<()>
    where
        Probe: AsyncFn() -> bool,
    {
        let deadline = self.clock.now() + TIMEOUT;
        while self.clock.now() < deadline {
            if probe().await {
                return Ok(());
            }
            self.clock.sleep(POLL_INTERVAL).await;
        }
        Err(format!("timed out after {TIMEOUT} waiting until {state}").into())
    }
}

fn describe(ran: Execution) -> &'static str {
    match ran {
        Execution::NotRun => "refused, not run:",
        Execution::Unknown => "refused, outcome unknown:",
        Execution::Ran => "refused, ran before:",
    }
}

/// The kind of error in the body of a refusal.
fn kind(detail: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(detail).unwrap_or_default();
    body["kind"].as_str().unwrap_or("no answer").into()
}
