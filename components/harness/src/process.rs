use crate::Error;
use crate::error::{NoAddressSnafu, StartSnafu, SystemSnafu};
use clock::Millis;
use nix::sys::signal::{self, kill};
use nix::sys::wait::{Id, WaitPidFlag, WaitStatus, waitid};
use nix::unistd::Pid;
use snafu::ResultExt;
use std::fs;
use std::io::{self, BufRead, BufReader, ErrorKind};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::thread;
use std::time::Instant;

const POLL_INTERVAL: Millis = Millis(10);
/// The time after which a process that was sent [`Signal::Stop`] counts as unable to stop.
const STOP_TIMEOUT: Millis = Millis::from_secs(30);
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
    fn number(self) -> signal::Signal {
        match self {
            Signal::Term => signal::Signal::SIGTERM,
            Signal::Kill => signal::Signal::SIGKILL,
            Signal::Stop => signal::Signal::SIGSTOP,
            Signal::Cont => signal::Signal::SIGCONT,
            Signal::Hup => signal::Signal::SIGHUP,
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

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`. After [`Signal::Stop`], waits until all threads of the process have stopped:
    /// they run on for some milliseconds after the signal was sent, longer on a busy machine.
    ///
    /// # Errors
    ///
    /// [`Error::System`] when the signal can't be sent, or the process ends instead of stopping or
    /// doesn't stop in time.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let number = signal.number();
        let sent = kill(self.pid(), number).map_err(io::Error::from);
        sent.context(SystemSnafu { action: format!("send {number} to {}", self.name) })?;
        if signal == Signal::Stop {
            let stopped = self.wait_until_stopped();
            stopped.context(SystemSnafu { action: format!("stop {}", self.name) })?;
        }
        Ok(())
    }

    fn wait_until_stopped(&self) -> io::Result<()> {
        // WNOWAIT leaves an exit status to `child`.
        let flags = WaitPidFlag::WSTOPPED
            | WaitPidFlag::WEXITED
            | WaitPidFlag::WNOHANG
            | WaitPidFlag::WNOWAIT;
        let started = Instant::now();
        while started.elapsed() < STOP_TIMEOUT.duration() {
            match waitid(Id::Pid(self.pid()), flags)? {
                WaitStatus::Stopped(..) => return Ok(()),
                WaitStatus::StillAlive => thread::sleep(POLL_INTERVAL.duration()),
                status => return Err(io::Error::other(format!("it has ended: {status:?}"))),
            }
        }
        Err(ErrorKind::TimedOut.into())
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id().cast_signed())
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
        let timed_out = io::Error::from(ErrorKind::TimedOut);
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
