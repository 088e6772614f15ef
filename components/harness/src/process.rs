use crate::Error;
use crate::error::{NoAddressSnafu, StartSnafu, SystemSnafu};
use clock::Millis;
use snafu::ResultExt;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::thread;
use std::time::Instant;

const POLL_INTERVAL: Millis = Millis(10);
/// Unit of CPU time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A signal that can be sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Requests a graceful shutdown.
    Term,
    /// Kills the process immediately.
    Kill,
    /// Pauses the process.
    Stop,
    /// Resumes a paused process.
    Cont,
    /// Requests that the process reload its settings.
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

/// Resources that a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time since the start, user and system, in seconds.
    pub cpu_s: f64,
    /// Resident memory now, in KiB.
    pub resident_kib: u64,
}

/// A child process, killed when dropped.
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
    /// [`Error::Start`] when the program can't be started, [`Error::NoAddress`] when it prints no
    /// first line or an empty one, [`Error::System`] when reading the line fails.
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
            reader
                .read_line(&mut line)
                .context(SystemSnafu { action: "read the first line of a process" })?;
        }
        let process = Process { name: name.into(), child, first_line: line.trim().into() };
        if process.first_line.is_empty() {
            return NoAddressSnafu { name, line }.fail();
        }
        if let Some(reader) = reader {
            discard(reader);
        }
        Ok(process)
    }

    /// The name of the process in messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The first line that the process printed, trimmed.
    pub fn first_line(&self) -> &str {
        &self.first_line
    }

    /// Sends `signal`.
    ///
    /// # Errors
    ///
    /// [`Error::System`] when the `kill` program can't be run.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let action = format!("send {} to {}", signal.name(), self.name);
        Command::new("kill")
            .arg(format!("-{}", signal.name()))
            .arg(self.child.id().to_string())
            .status()
            .context(SystemSnafu { action })?;
        Ok(())
    }

    /// Kills the process immediately and waits until it has ended.
    pub fn kill(mut self) {
        self.end();
    }

    /// Requests a graceful shutdown and waits for it, at most `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::System`] when the process is still running after `timeout`; it is then killed.
    pub fn close(mut self, timeout: Millis) -> Result<ExitStatus, Error> {
        self.signal(Signal::Term)?;
        let started = Instant::now();
        while started.elapsed() < timeout.duration() {
            let status = self
                .child
                .try_wait()
                .context(SystemSnafu { action: "check whether a process ended" })?;
            if let Some(status) = status {
                return Ok(status);
            }
            thread::sleep(POLL_INTERVAL.duration());
        }
        let timed_out = std::io::Error::from(std::io::ErrorKind::TimedOut);
        Err(timed_out).context(SystemSnafu { action: format!("shut down {}", self.name) })
    }

    /// The resources that the process uses; zeros once it has ended.
    pub fn usage(&self) -> Usage {
        let base = format!("/proc/{}", self.child.id());
        let stat = fs::read_to_string(format!("{base}/stat")).unwrap_or_default();
        let status = fs::read_to_string(format!("{base}/status")).unwrap_or_default();
        Usage { cpu_s: cpu_seconds(&stat), resident_kib: resident_kib(&status) }
    }

    fn end(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// Reads and discards the output, so that the process never blocks on a full pipe.
fn discard(reader: BufReader<ChildStdout>) {
    thread::spawn(move || for _ in reader.lines().map_while(Result::ok) {});
}

fn cpu_seconds(stat: &str) -> f64 {
    // Split after the program's name, which may contain spaces. The first field after it is the
    // state; utime and stime are the 12th and 13th.
    let Some((_, fields)) = stat.rsplit_once(')') else { return 0.0 };
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|field| field.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

fn resident_kib(status: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}
