use async_trait::async_trait;
use peer::fake::Network;
use std::net::SocketAddr;
use std::sync::Arc;
use store::fake;
use store::{Commit, Directory, Failure, Listing, Row, Store, Table, Transaction};

/// One VM's client of the fake platform; its calls block while the VM is paused.
pub(super) struct Client {
    client: Arc<fake::Client>,
    network: Arc<Network>,
    address: SocketAddr,
}

impl Client {
    pub(super) fn new(
        client: Arc<fake::Client>,
        network: Arc<Network>,
        address: SocketAddr,
    ) -> Client {
        Client { client, network, address }
    }

    async fn wait_until_resumed(&self) {
        self.network.wait_while_paused(self.address).await;
    }
}

#[async_trait]
impl Table for Client {
    async fn read(&self, key: &str) -> Result<Option<Row>, Failure> {
        self.wait_until_resumed().await;
        let response = self.client.read(key).await;
        self.wait_until_resumed().await;
        response
    }

    /// A commit that was in transit when the VM was paused continues when the VM resumes, even if
    /// the caller has timed out by then.
    async fn commit(&self, transaction: Transaction) -> Result<Commit, Failure> {
        let context = transaction.id.to_string();
        let client = Arc::clone(&self.client);
        let network = Arc::clone(&self.network);
        let address = self.address;
        let commit = tokio::spawn(async move {
            network.wait_while_paused(address).await;
            let response = client.commit(transaction).await;
            network.wait_while_paused(address).await;
            response
        });
        commit.await.unwrap_or(Err(Failure::Lost { context }))
    }
}

#[async_trait]
impl Store for Client {
    async fn put(&self, body: Vec<u8>) -> Result<Arc<str>, Failure> {
        self.wait_until_resumed().await;
        let response = self.client.put(body).await;
        self.wait_until_resumed().await;
        response
    }

    async fn get(&self, digest: &str) -> Result<Option<Vec<u8>>, Failure> {
        self.wait_until_resumed().await;
        let response = self.client.get(digest).await;
        self.wait_until_resumed().await;
        response
    }
}

#[async_trait]
impl Directory for Client {
    async fn list(&self) -> Result<Listing, Failure> {
        self.wait_until_resumed().await;
        let response = self.client.list().await;
        self.wait_until_resumed().await;
        response
    }
}
