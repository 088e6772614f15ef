//! The gateway processes of a run.

use clock::Millis;
use harness::{Process, Signal};
use platform_standin::Vm;
use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};

/// Time that a process has to end after it is told to stop: its grace and some more.
const STOP: Millis = Millis(7_000);

/// An entry VM with its process.
#[derive(Debug)]
pub struct Machine {
    /// How it is set up.
    pub vm: Vm,
    program: PathBuf,
    settings: PathBuf,
    process: RefCell<Option<Process>>,
    /// How often its process ended other than by a planned stop, or stood still.
    pub hurt: Cell<u32>,
    /// How often it was started.
    pub starts: Cell<u32>,
}

impl Machine {
    /// A VM that runs `program` with the settings in the file `settings`.
    pub fn new(vm: Vm, program: &Path, settings: PathBuf) -> Machine {
        Machine {
            vm,
            program: program.to_owned(),
            settings,
            process: RefCell::default(),
            hurt: Cell::default(),
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

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if matches!(signal, Signal::Stop) {
            self.hurt.set(self.hurt.get() + 1);
        }
        if let Some(process) = self.process.borrow().as_ref()
            && let Err(error) = process.signal(signal)
        {
            eprintln!("{}: {error}", self.vm.name);
        }
    }

    /// Kills the process.
    pub async fn kill(&self) {
        self.hurt.set(self.hurt.get() + 1);
        let process = self.process.borrow_mut().take();
        if let Some(process) = process
            && let Err(error) = tokio::task::spawn_blocking(move || process.kill()).await
        {
            eprintln!("{}: {error}", self.vm.name);
        }
    }

    /// Tells the process to stop and waits for its end; an error says why it did not end well.
    pub async fn stop(&self) -> Result<(), String> {
        let process = self.process.borrow_mut().take();
        let Some(process) = process else {
            return Ok(());
        };
        match tokio::task::spawn_blocking(move || process.close(STOP)).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(format!("ended with {status}")),
            Ok(Err(error)) => Err(error.to_string()),
            Err(error) => Err(error.to_string()),
        }
    }
}
