use errors::{Error, Kind};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// SIGTERM or SIGINT: the process stops.
    Stop,
    /// SIGHUP: the settings are read again.
    Reload,
}

/// Handlers of the signals to a process. Until they are installed each of the signals ends it; what
/// arrives afterwards waits until it is asked for.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when they can't be installed.
    pub fn open() -> Result<Signals, Error> {
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }

    /// Waits for the next request.
    pub async fn next(&mut self) -> Request {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.hangup.recv() => Request::Reload,
        }
    }
}

/// Waits for the first SIGTERM or SIGINT.
///
/// # Errors
///
/// [`Kind::Internal`] when the handlers can't be installed.
pub async fn stop_requested() -> Result<(), Error> {
    let (mut terminate, mut interrupt) =
        (install(SignalKind::terminate())?, install(SignalKind::interrupt())?);
    tokio::select! {
        biased;
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn install(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(|cause| {
        Error::new(Kind::Internal, format!("can't install a signal handler: {cause}"))
    })
}
