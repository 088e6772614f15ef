//! The gateways of a run.

use clock::Millis;
use harness::{Process, Signal};
use platform_standin::Vm;
use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};

/// Time for a graceful shutdown; somewhat longer than the grace period in the settings.
const STOP_TIMEOUT: Millis = Millis(7_000);

/// An entry VM and its gateway process.
#[derive(Debug)]
pub struct Gateway {
    /// The VM that the settings file was written for.
    pub vm: Vm,
    program: PathBuf,
    settings: PathBuf,
    process: RefCell<Option<Process>>,
    /// How often the process was killed or paused.
    pub disruptions: Cell<u32>,
    /// How often the process was started.
    pub starts: Cell<u32>,
}

impl Gateway {
    /// A gateway that will run `program` with the settings file `settings`.
    pub fn new(vm: Vm, program: &Path, settings: PathBuf) -> Gateway {
        Gateway {
            vm,
            program: program.to_owned(),
            settings,
            process: RefCell::default(),
            disruptions: Cell::default(),
            starts: Cell::default(),
        }
    }

    /// Starts the process.
    pub async fn start(&self) -> io::Result<()> {
        let (name, program) = (self.vm.name.clone(), self.program.clone());
        let settings = self.settings.display().to_string();
        let start = move || Process::start(&name, &program, &["--settings", &settings]);
        let process = tokio::task::spawn_blocking(start).await?.map_err(io::Error::other)?;
        self.starts.set(self.starts.get() + 1);
        *self.process.borrow_mut() = Some(process);
        Ok(())
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&self, signal: Signal) {
        if matches!(signal, Signal::Stop) {
            self.disruptions.set(self.disruptions.get() + 1);
        }
        if let Some(process) = self.process.borrow().as_ref()
            && let Err(error) = process.signal(signal)
        {
            eprintln!("{}: {error}", self.vm.name);
        }
    }

    /// Kills the process.
    pub async fn kill(&self) {
        self.disruptions.set(self.disruptions.get() + 1);
        let process = self.process.borrow_mut().take();
        if let Some(process) = process
            && let Err(error) = tokio::task::spawn_blocking(move || process.kill()).await
        {
            eprintln!("{}: {error}", self.vm.name);
        }
    }

    /// Shuts the process down gracefully, if it is running. The error describes a time-out or a
    /// failed exit.
    pub async fn stop(&self) -> Result<(), String> {
        let process = self.process.borrow_mut().take();
        let Some(process) = process else {
            return Ok(());
        };
        match tokio::task::spawn_blocking(move || process.close(STOP_TIMEOUT)).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(format!("shutdown ended with {status}")),
            Ok(Err(error)) => Err(error.to_string()),
            Err(error) => Err(error.to_string()),
        }
    }
}
