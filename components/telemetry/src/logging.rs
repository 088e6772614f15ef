use crate::{Admission, Limiter, Queue, recorder};
use clock::Clock;
use log::LevelFilter;
use log4rs::config::{Appender, Config, Root};
use std::io;
use std::sync::OnceLock;

const QUEUE_LINES: usize = 8_192;
const APPENDER: &str = "queue";

static DECISIONS: OnceLock<Decisions> = OnceLock::new();

struct Decisions {
    clock: Clock,
    limiter: Limiter,
}

/// What is logged.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The least level that is logged.
    pub level: LevelFilter,
    /// The most decision lines a second.
    pub rate: u32,
}

impl Options {
    /// The options of a node's settings; a level that isn't one reads as `info`.
    pub fn new(level: &str, rate: u32) -> Options {
        Options { level: level.parse().unwrap_or(LevelFilter::Info), rate }
    }
}

/// The installed log.
#[derive(Debug)]
pub struct Log(());

/// Sends logs to standard output as JSON lines and metrics to the recorder behind
/// [`crate::render`].
///
/// # Errors
///
/// The system's, when it can't start a thread, and `AlreadyExists` when a logger is installed.
pub fn install(options: Options, clock: Clock) -> io::Result<Log> {
    install_to(io::stdout(), options, clock)
}

/// Like [`install`], with the lines sent to `output`.
///
/// # Errors
///
/// As [`install`].
pub fn install_to<Output>(output: Output, options: Options, clock: Clock) -> io::Result<Log>
where
    Output: io::Write + Send + 'static,
{
    recorder::install_recorder();
    recorder::keep_up()?;
    let (queue, _writer) = Queue::open(QUEUE_LINES, output)?;
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(queue)))
        .build(Root::builder().appender(APPENDER).build(options.level))
        .map_err(io::Error::other)?;
    log4rs::init_config(config)
        .map_err(|error| io::Error::new(io::ErrorKind::AlreadyExists, error))?;
    DECISIONS.get_or_init(|| Decisions { clock, limiter: Limiter::new(options.rate) });
    Ok(Log(()))
}

impl Log {
    /// Waits until what was logged is written, for at most a second.
    pub fn close(self) {
        log::logger().flush();
    }
}

/// Whether a decision line may be logged now; without an installed log there is no limit.
pub fn admit_line() -> Admission {
    match DECISIONS.get() {
        Some(decisions) => decisions.limiter.admit(decisions.clock.now()),
        None => Admission::Admitted { suppressed: 0 },
    }
}
