use crate::{Admission, Limiter, Queue, panics, recorder};
use clock::Clock;
use log::LevelFilter;
use log4rs::config::{Appender, Config, Root};
use std::io;
use std::sync::OnceLock;

const QUEUE_LINES: usize = 8_192;
const APPENDER: &str = "queue";

static LINE_LIMIT: OnceLock<LineLimit> = OnceLock::new();

struct LineLimit {
    clock: Clock,
    limiter: Limiter,
}

/// Which lines are logged.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The least severe level that is logged.
    pub level: LevelFilter,
    /// The maximum number of rate-limited lines per second.
    pub rate: u32,
}

impl Options {
    /// Options from a VM's settings; an unknown level becomes `info`.
    pub fn new(level: &str, rate: u32) -> Options {
        Options { level: level.parse().unwrap_or(LevelFilter::Info), rate }
    }
}

/// A handle to the installed log.
#[derive(Debug)]
pub struct Log(());

/// Sends logs to standard output as JSON lines and metrics to the recorder behind
/// [`crate::render`].
///
/// # Errors
///
/// The operating system's when a thread can't be started; `AlreadyExists` when a logger is
/// installed already.
pub fn install(options: Options, clock: Clock) -> io::Result<Log> {
    install_to(io::stdout(), options, clock)
}

/// Like [`install`], with `output` in place of standard output.
///
/// # Errors
///
/// As [`install`].
pub fn install_to<Output>(output: Output, options: Options, clock: Clock) -> io::Result<Log>
where
    Output: io::Write + Send + 'static,
{
    recorder::install_recorder();
    recorder::start_upkeep()?;
    let (queue, _writer) = Queue::open(QUEUE_LINES, output)?;
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(queue)))
        .build(Root::builder().appender(APPENDER).build(options.level))
        .map_err(io::Error::other)?;
    log4rs::init_config(config)
        .map_err(|error| io::Error::new(io::ErrorKind::AlreadyExists, error))?;
    panics::report_panics();
    LINE_LIMIT.get_or_init(|| LineLimit { clock, limiter: Limiter::new(options.rate) });
    Ok(Log(()))
}

impl Log {
    /// Waits at most a second until the queued lines are written.
    pub fn close(self) {
        log::logger().flush();
    }
}

/// Applies the rate limit that decision lines share; without an installed log there is none.
pub fn admit_line() -> Admission {
    match LINE_LIMIT.get() {
        Some(limit) => limit.limiter.admit(limit.clock.now()),
        None => Admission::Admitted { suppressed: 0 },
    }
}
