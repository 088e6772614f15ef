use errors::{Error, Kind};
use tokio::signal::unix::{SignalKind, signal};

/// Waits for the first SIGTERM or SIGINT.
///
/// # Errors
///
/// [`Kind::Internal`] when the handlers can't be installed.
pub async fn stop_requested() -> Result<(), Error> {
    let install = |kind| {
        signal(kind).map_err(|cause| {
            Error::new(Kind::Internal, format!("can't install a signal handler: {cause}"))
        })
    };
    let mut terminate = install(SignalKind::terminate())?;
    let mut interrupt = install(SignalKind::interrupt())?;
    tokio::select! {
        biased;
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
