use super::{Fault, Platform};
use crate::{Commit, Directory, Failure, Listing, Row, Store, Table, Transaction, digest};
use async_trait::async_trait;
use std::sync::Arc;

/// A client of the in-memory platform.
pub struct Client {
    platform: Arc<Platform>,
    name: Arc<str>,
}

impl Client {
    pub(super) fn new(platform: Arc<Platform>, name: Arc<str>) -> Client {
        Client { platform, name }
    }

    /// Waits for the injected delay, then fails if `outage` or a wider fault is in force.
    async fn start_operation(&self, outage: Fault, context: &str) -> Result<(), Failure> {
        let delay = self.platform.state().delay();
        self.platform.clock.sleep(delay).await;
        if self.platform.state().is_out(&self.name, &outage) {
            return Err(Failure::Unavailable { context: context.into() });
        }
        Ok(())
    }
}

#[async_trait]
impl Table for Client {
    async fn read(&self, key: &str) -> Result<Option<Row>, Failure> {
        self.start_operation(Fault::TableDown, key).await?;
        let mut state = self.platform.state();
        state.count.reads += 1;
        Ok(state.rows.get(key).cloned())
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Failure> {
        self.start_operation(Fault::TableDown, &transaction.id).await?;
        let mut state = self.platform.state();
        let context = transaction.id.to_string();
        if state.take_lost_request() {
            return Err(Failure::Lost { context });
        }
        let outcome = state.commit(transaction);
        if state.take_lost_response() {
            return Err(Failure::Lost { context });
        }
        Ok(outcome)
    }
}

#[async_trait]
impl Store for Client {
    async fn put(&self, body: Vec<u8>) -> Result<Arc<str>, Failure> {
        self.start_operation(Fault::Down, "put").await?;
        let digest = digest(&body);
        let mut state = self.platform.state();
        state.count.puts += 1;
        state.objects.insert(Arc::clone(&digest), body);
        Ok(digest)
    }

    async fn get(&self, digest: &str) -> Result<Option<Vec<u8>>, Failure> {
        self.start_operation(Fault::Down, digest).await?;
        let mut state = self.platform.state();
        state.count.gets += 1;
        Ok(state.objects.get(digest).cloned())
    }
}

#[async_trait]
impl Directory for Client {
    async fn list(&self) -> Result<Listing, Failure> {
        self.start_operation(Fault::DirectoryDown, "list").await?;
        let now = self.platform.clock.now();
        let mut state = self.platform.state();
        state.count.lists += 1;
        let lag = state.lag();
        Ok(state.listing(now - lag))
    }
}
