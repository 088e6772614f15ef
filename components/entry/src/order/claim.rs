use super::ledger::ClaimTransactions;
use clock::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use store::{Check, Commit, Failure, Row, Table, Transaction, Write};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinHandle;

/// The most claims in one transaction.
const BATCH_MAX: usize = 64;
/// The most transactions in progress.
const CONCURRENT_TRANSACTIONS_MAX: usize = 4;
/// The most claims that wait for a transaction.
const QUEUE_MAX: usize = 1024;
/// The time after which a request to the table counts as lost.
const TABLE_TIMEOUT: Millis = Millis(2_000);

/// The holder of the claim of an order, who alone may send it.
#[derive(Clone, Debug)]
pub(crate) enum Holder {
    /// This incarnation.
    This,
    /// Another incarnation, which claimed the order first.
    Other(Owner),
    /// Unknown, for the given reason; the order must not be sent.
    Unknown(String),
}

/// The incarnation of an entry VM that alone may send an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    pub(crate) vm: Arc<str>,
    pub(crate) incarnation: u64,
}

struct Claim {
    key: Arc<str>,
    transactions: ClaimTransactions,
    reply: oneshot::Sender<Holder>,
}

/// Claims orders in the table, several per transaction.
pub(crate) struct Claimer {
    queue: mpsc::Sender<Claim>,
    worker: JoinHandle<()>,
}

impl Claimer {
    /// Starts a worker that claims orders for `owner`.
    pub(crate) fn new(table: Arc<dyn Table>, owner: Owner) -> Claimer {
        let (queue, queued) = mpsc::channel(QUEUE_MAX);
        let worker = Worker { table, owner, next_number: AtomicU64::new(0) };
        let worker = tokio::spawn(run_worker(Arc::new(worker), queued));
        Claimer { queue, worker }
    }

    /// Claims the order `id`, and adds the transactions that may have claimed it to `transactions`.
    pub(crate) async fn claim(&self, id: &str, transactions: ClaimTransactions) -> Holder {
        let (reply, holder) = oneshot::channel();
        let claim = Claim { key: format!("order/{id}").into(), transactions, reply };
        if self.queue.try_send(claim).is_err() {
            return Holder::Unknown("the claim queue is full".into());
        }
        holder.await.unwrap_or_else(|_| Holder::Unknown("the claim worker has stopped".into()))
    }

    /// Stops the worker; the holders of queued claims stay unknown.
    pub(crate) fn stop(&self) {
        self.worker.abort();
    }
}

impl Drop for Claimer {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Worker {
    table: Arc<dyn Table>,
    owner: Owner,
    next_number: AtomicU64,
}

async fn run_worker(worker: Arc<Worker>, mut queued: mpsc::Receiver<Claim>) {
    let permits = Arc::new(Semaphore::new(CONCURRENT_TRANSACTIONS_MAX));
    while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
        let mut batch = Vec::new();
        if queued.recv_many(&mut batch, BATCH_MAX).await == 0 {
            return;
        }
        let worker = Arc::clone(&worker);
        tokio::spawn(async move {
            worker.resolve(batch).await;
            drop(permit);
        });
    }
}

impl Worker {
    // A conflict on one claim fails the whole transaction, so the others are retried without it.
    async fn resolve(&self, mut batch: Vec<Claim>) {
        while !batch.is_empty() {
            match self.commit(&batch).await {
                Ok(Commit::Done) => return resolve_all(batch, &Holder::This),
                Ok(Commit::Conflict { key, row }) => {
                    let Some(index) = batch.iter().position(|claim| claim.key == key) else {
                        return resolve_all(batch, &unknown("conflict on an unrelated key"));
                    };
                    let claim = batch.swap_remove(index);
                    let holder =
                        row.map_or(unknown("the claim was deleted"), |row| holder_of(&claim, &row));
                    claim.resolve(holder);
                }
                Err(Failure::Lost { .. }) => return self.resolve_lost(batch).await,
                Err(failure) => return resolve_all(batch, &unknown(&failure.to_string())),
            }
        }
    }

    async fn commit(&self, batch: &[Claim]) -> Result<Commit, Failure> {
        let transaction = self.transaction(batch);
        for claim in batch {
            claim.transactions.push(&transaction.id);
        }
        let context = transaction.id.to_string();
        let commit = self.table.commit(transaction);
        let result = tokio::time::timeout(TABLE_TIMEOUT.duration(), commit).await;
        result.unwrap_or(Err(Failure::Lost { context }))
    }

    fn transaction(&self, batch: &[Claim]) -> Transaction {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let Owner { vm, incarnation } = &self.owner;
        let value = format!("{vm} {incarnation}").into_bytes();
        let check = |claim: &Claim| Check { key: Arc::clone(&claim.key), version: 0 };
        let write =
            |claim: &Claim| Write { key: Arc::clone(&claim.key), value: Some(value.clone()) };
        Transaction {
            id: format!("claim/{vm}/{incarnation}/{number}").into(),
            checks: batch.iter().map(check).collect(),
            writes: batch.iter().map(write).collect(),
        }
    }

    // The response was lost, so only the rows show whether the transaction was committed.
    async fn resolve_lost(&self, batch: Vec<Claim>) {
        for claim in batch {
            let read = self.table.read(&claim.key);
            let holder = match tokio::time::timeout(TABLE_TIMEOUT.duration(), read).await {
                Ok(Ok(Some(row))) => holder_of(&claim, &row),
                Ok(Ok(None)) => unknown("the claim was lost"),
                Ok(Err(failure)) => unknown(&failure.to_string()),
                Err(_) => unknown("the platform did not answer in time"),
            };
            claim.resolve(holder);
        }
    }
}

impl Claim {
    fn resolve(self, holder: Holder) {
        // The receiver is gone if its deadline has passed.
        let _ = self.reply.send(holder);
    }
}

fn resolve_all(batch: Vec<Claim>, holder: &Holder) {
    for claim in batch {
        claim.resolve(holder.clone());
    }
}

fn holder_of(claim: &Claim, row: &Row) -> Holder {
    if claim.transactions.contains(&row.transaction) {
        return Holder::This;
    }
    match parse_owner(&row.value) {
        Some(owner) => Holder::Other(owner),
        None => unknown("the claim in the table is malformed"),
    }
}

fn parse_owner(value: &[u8]) -> Option<Owner> {
    let (vm, incarnation) = std::str::from_utf8(value).ok()?.split_once(' ')?;
    Some(Owner { vm: vm.into(), incarnation: incarnation.parse().ok()? })
}

fn unknown(context: &str) -> Holder {
    Holder::Unknown(context.into())
}
