use async_trait::async_trait;
use futures_util::{StreamExt, stream};
use std::net::SocketAddr;
use std::sync::Arc;
use store::{Commit, Failure, Row, Table, Transaction};
use tokio::sync::watch;
use upstream::load::Load;
use upstream::{Attempt, Body, Reply, Transport};

/// The state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The process runs.
    Running,
    /// The process is paused, and continues where it was once it is set to running.
    Paused,
    /// The process was killed. This is final.
    Killed,
}

/// The process of one entry VM, which can be paused and killed.
///
/// While it is paused, its transport and table wait before and after each call. What was already
/// sent to an upstream or the platform continues there.
#[derive(Clone)]
pub struct Process {
    mode: watch::Sender<Mode>,
}

impl Process {
    /// A running process.
    pub fn new() -> Process {
        Process { mode: watch::Sender::new(Mode::Running) }
    }

    /// Pauses, continues or kills the process.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_if_modified(|current| {
            let alive = *current != Mode::Killed;
            if alive {
                *current = mode;
            }
            alive
        });
    }

    /// The current state of the process.
    pub fn mode(&self) -> Mode {
        *self.mode.borrow()
    }

    /// Waits until the process runs; never returns if it was killed.
    pub async fn wait_running(&self) {
        let mut mode = self.mode.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = mode.wait_for(|mode| *mode == Mode::Running).await;
    }

    /// Waits until the process was killed.
    pub async fn wait_killed(&self) {
        let mut mode = self.mode.subscribe();
        let _ = mode.wait_for(|mode| *mode == Mode::Killed).await;
    }

    /// Wraps `transport` so that its calls stop while the process is paused.
    pub fn wrap_transport(&self, transport: Arc<dyn Transport>) -> Arc<dyn Transport> {
        Arc::new(Pausable { process: self.clone(), inner: transport })
    }

    /// Wraps `table` so that its calls stop while the process is paused.
    pub fn wrap_table(&self, table: Arc<dyn Table>) -> Arc<dyn Table> {
        Arc::new(Pausable { process: self.clone(), inner: table })
    }
}

impl Default for Process {
    fn default() -> Process {
        Process::new()
    }
}

struct Pausable<Inner>
where
    Inner: ?Sized,
{
    process: Process,
    inner: Arc<Inner>,
}

#[async_trait]
impl Transport for Pausable<dyn Transport> {
    async fn send(&self, attempt: Attempt) -> Result<Reply, upstream::Failure> {
        self.process.wait_running().await;
        let reply = self.inner.send(attempt).await;
        self.process.wait_running().await;
        reply.map(|reply| Reply { body: pausable_body(self.process.clone(), reply.body), ..reply })
    }

    async fn load(&self, address: SocketAddr) -> Result<Load, upstream::Failure> {
        self.process.wait_running().await;
        self.inner.load(address).await
    }
}

#[async_trait]
impl Table for Pausable<dyn Table> {
    async fn read(&self, key: &str) -> Result<Option<Row>, Failure> {
        self.process.wait_running().await;
        let row = self.inner.read(key).await;
        self.process.wait_running().await;
        row
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Failure> {
        self.process.wait_running().await;
        let commit = self.inner.commit(transaction).await;
        self.process.wait_running().await;
        commit
    }
}

fn pausable_body(process: Process, body: Body) -> Body {
    Box::pin(stream::unfold((process, body), |(process, mut body)| async move {
        let item = body.next().await?;
        process.wait_running().await;
        Some((item, (process, body)))
    }))
}
