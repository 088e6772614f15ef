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

/// An appender that puts lines into a bounded queue and never waits.
///
/// A line that finds the queue full is dropped and counted by [`names::LOG_DROPPED`]; the writer
/// says how many there were before the next line that it writes, and at a flush.
#[derive(Debug)]
pub struct Queue {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

/// The thread that writes the queue's lines; it ends when its [`Queue`] is dropped.
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
    /// The system's, when it can't start the thread.
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

    /// Waits until what was queued before is written, for at most a second.
    fn flush(&self) {
        let (done, written) = sync_channel(1);
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut message = Message::Flush(done);
        while let Err(TrySendError::Full(refused)) = self.sender.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            message = refused;
            std::thread::sleep(FLUSH_POLL);
        }
        let _ = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

impl Writer {
    /// Waits until the thread has written everything; its [`Queue`] must be dropped before.
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

/// Writes until the queue's other end is gone. A failing output has nowhere to be reported, and
/// stopping would only fill the queue, so its errors are passed over.
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
            report(dropped.swap(0, Ordering::Relaxed), output);
            let _ = output.write_all(&line);
        }
        Message::Flush(done) => {
            report(dropped.swap(0, Ordering::Relaxed), output);
            let _ = output.flush();
            let _ = done.try_send(());
        }
    }
}

fn report<Output>(count: u64, output: &mut Output)
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
