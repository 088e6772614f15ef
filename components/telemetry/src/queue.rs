use crate::names;
use log::Record;
use log4rs::append::Append;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::{Encode, Write};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
const FLUSH_POLL: Duration = Duration::from_millis(1);

/// An appender that puts lines into a bounded queue without blocking.
///
/// When the queue is full, the line is dropped and counted by [`names::LOG_DROPPED`]. The writer
/// logs the number of dropped lines before the next line that it writes, and at a flush.
#[derive(Debug)]
pub struct Queue {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

/// The thread that writes the queued lines; it ends when its [`Queue`] is dropped.
#[derive(Debug)]
pub struct Writer {
    thread: JoinHandle<()>,
}

#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

impl Queue {
    /// A queue of `capacity` lines and the thread that writes them to `output`.
    ///
    /// # Errors
    ///
    /// The operating system's when the thread can't be started.
    pub fn open<Output>(capacity: usize, output: Output) -> io::Result<(Queue, Writer)>
    where
        Output: io::Write + Send + 'static,
    {
        let (sender, receiver) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        let thread = std::thread::Builder::new()
            .name("log-writer".into())
            .spawn(move || run(&receiver, &counted, io::BufWriter::new(output)))?;
        Ok((Queue { sender, dropped }, Writer { thread }))
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Line::default();
        JsonEncoder::new().encode(&mut line, record)?;
        if let Err(TrySendError::Full(_)) = self.sender.try_send(Message::Line(line.0)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!(names::LOG_DROPPED).increment(1);
        }
        Ok(())
    }

    /// Waits at most a second until the lines queued before are written.
    fn flush(&self) {
        let (done, written) = sync_channel(1);
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut message = Message::Flush(done);
        while let Err(TrySendError::Full(unsent)) = self.sender.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            message = unsent;
            std::thread::sleep(FLUSH_POLL);
        }
        let _ = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

impl Writer {
    /// Waits until the thread has written all lines. Drop its [`Queue`] first, or this blocks.
    pub fn close(self) {
        let _ = self.thread.join();
    }
}

#[derive(Debug, Default)]
struct Line(Vec<u8>);

impl io::Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Write for Line {}

/// Writes lines until the [`Queue`] is dropped.
///
/// Errors of the output are ignored: there is nowhere to report them, and stopping would only fill
/// the queue.
fn run<Output>(receiver: &Receiver<Message>, dropped: &AtomicU64, mut output: Output)
where
    Output: io::Write,
{
    while let Ok(message) = receiver.recv() {
        let mut next = Some(message);
        while let Some(message) = next {
            write(message, dropped, &mut output);
            next = receiver.try_recv().ok();
        }
        let _ = output.flush();
    }
}

fn write<Output>(message: Message, dropped: &AtomicU64, output: &mut Output)
where
    Output: io::Write,
{
    match message {
        Message::Line(line) => {
            write_drop_report(dropped.swap(0, Ordering::Relaxed), output);
            let _ = output.write_all(&line);
        }
        Message::Flush(done) => {
            write_drop_report(dropped.swap(0, Ordering::Relaxed), output);
            let _ = output.flush();
            let _ = done.try_send(());
        }
    }
}

fn write_drop_report<Output>(count: u64, output: &mut Output)
where
    Output: io::Write,
{
    if count == 0 {
        return;
    }
    let mut line = Line::default();
    let attributes = [("count", count)];
    let record = Record::builder()
        .level(log::Level::Warn)
        .target("log")
        .args(format_args!("log lines were dropped"))
        .key_values(&attributes)
        .build();
    if JsonEncoder::new().encode(&mut line, &record).is_ok() {
        let _ = output.write_all(&line.0);
    }
}
