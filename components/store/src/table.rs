use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;

/// Why an operation on the platform returned no result.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// The platform can't be reached; the operation didn't take effect.
    #[snafu(display("the platform is unavailable: {context}"))]
    Unavailable {
        /// What was tried.
        context: String,
    },
    /// The request was sent, but no usable response arrived; a write may have taken effect.
    #[snafu(display("no usable response from the platform: {context}"))]
    Lost {
        /// What was tried.
        context: String,
    },
    /// The platform refused the operation as invalid.
    #[snafu(display("the platform refused: {context}"))]
    Refused {
        /// What was refused and why.
        context: String,
    },
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Incremented by one at each write of the row; the first write sets it to 1.
    pub version: u64,
    /// The row's content.
    pub value: Vec<u8>,
    /// The id of the transaction that wrote it last.
    pub transaction: Arc<str>,
}

/// A condition of a transaction: the row has exactly this version, and 0 means it is absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: Arc<str>,
    /// The version it must have.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: Arc<str>,
    /// The new content, or `None` to delete the row.
    pub value: Option<Vec<u8>>,
}

/// Writes that take effect together if every check holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Identifies the transaction, so that a client whose response was lost can look it up.
    pub id: Arc<str>,
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// All writes took effect.
    Done,
    /// A check failed and nothing was written.
    Conflict {
        /// The key whose check failed.
        key: Arc<str>,
        /// The current row under that key, if present.
        row: Option<Row>,
    },
}

/// The platform's transactional table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// [`Failure`] when the platform can't be reached, sends no usable response or refuses.
    async fn read(&self, key: &str) -> Result<Option<Row>, Failure>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// [`Failure::Unavailable`] when it certainly didn't take effect, [`Failure::Lost`] when it
    /// may have.
    async fn commit(&self, transaction: Transaction) -> Result<Commit, Failure>;
}
