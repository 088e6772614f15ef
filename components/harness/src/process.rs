use crate::Error;
use crate::error::{SilentSnafu, StartSnafu, SystemSnafu};
use clock::Millis;
use snafu::ResultExt;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::thread;
use std::time::Instant;

const POLL: Millis = Millis(10);
/// The kernel's unit of processor time in `/proc`, in ticks a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// A signal that tests send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a graceful shutdown.
    Term,
    /// Ends the process at once.
    Kill,
    /// Freezes the process.
    Stop,
    /// Wakes a frozen process.
    Cont,
    /// Asks the process to read its settings again.
    Hup,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Term => "TERM",
            Signal::Kill => "KILL",
            Signal::Stop => "STOP",
            Signal::Cont => "CONT",
            Signal::Hup => "HUP",
        }
    }
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

/// A process of ours, killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    first_line: String,
}

impl Process {
    /// Starts `program` and waits for the first line that it prints.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] or [`Error::Silent`].
    pub fn start(name: &str, program: &Path, arguments: &[&str]) -> Result<Process, Error> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .context(StartSnafu { program })?;
        let mut line = String::new();
        let output = child.stdout.take();
        let mut reader = output.map(BufReader::new);
        if let Some(reader) = reader.as_mut() {
            reader.read_line(&mut line).context(SystemSnafu { action: "read a first line" })?;
        }
        let process = Process { name: name.into(), child, first_line: line.trim().into() };
        if process.first_line.is_empty() {
            return SilentSnafu { name, line }.fail();
        }
        if let Some(reader) = reader {
            drain(reader);
        }
        Ok(process)
    }

    /// The process's name, for messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The first line that it printed.
    pub fn first_line(&self) -> &str {
        &self.first_line
    }

    /// Sends `signal`.
    ///
    /// # Errors
    ///
    /// [`Error::System`] when the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let action = format!("send {} to {}", signal.name(), self.name);
        Command::new("kill")
            .arg(format!("-{}", signal.name()))
            .arg(self.child.id().to_string())
            .status()
            .context(SystemSnafu { action })?;
        Ok(())
    }

    /// Ends the process at once and waits until it is gone.
    pub fn kill(mut self) {
        self.end();
    }

    /// Asks for a graceful shutdown and waits for it, at most `patience`.
    ///
    /// # Errors
    ///
    /// [`Error::System`] when the process is still there after `patience`.
    pub fn close(mut self, patience: Millis) -> Result<ExitStatus, Error> {
        self.signal(Signal::Term)?;
        let started = Instant::now();
        while started.elapsed() < patience.duration() {
            let status = self.child.try_wait().context(SystemSnafu { action: "wait" })?;
            if let Some(status) = status {
                return Ok(status);
            }
            thread::sleep(POLL.duration());
        }
        let late = std::io::Error::from(std::io::ErrorKind::TimedOut);
        Err(late).context(SystemSnafu { action: format!("wait for {}", self.name) })
    }

    /// What the process has used so far; zero once it is gone.
    pub fn usage(&self) -> Usage {
        let base = format!("/proc/{}", self.child.id());
        let stat = fs::read_to_string(format!("{base}/stat")).unwrap_or_default();
        let status = fs::read_to_string(format!("{base}/status")).unwrap_or_default();
        Usage { cpu_s: processor_time(&stat), resident_kib: resident(&status) }
    }

    fn end(&mut self) {
        // A process that has already ended needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// Reads on, so that the process never waits for a full pipe.
fn drain(reader: BufReader<ChildStdout>) {
    thread::spawn(move || for _ in reader.lines().map_while(Result::ok) {});
}

fn processor_time(stat: &str) -> f64 {
    // The fields after the program's name, which may hold spaces, begin with the state.
    let Some((_, fields)) = stat.rsplit_once(')') else { return 0.0 };
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|field| field.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

fn resident(status: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}
