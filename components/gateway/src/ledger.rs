use async_trait::async_trait;
use errors::Error;

/// A row of the store as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its content; `None` if there is no row.
    pub value: Option<Vec<u8>>,
    /// Its version, 0 if there is no row.
    pub version: u64,
    /// The store's era: it rises whenever the store comes back from an older copy.
    pub era: u64,
}

/// The result of [`Ledger::write`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The row was written.
    Done {
        /// Its new version.
        version: u64,
        /// The store's era.
        era: u64,
    },
    /// The row has another version than the given one.
    Conflict,
}

/// One row of the store that all VMs write, each time on the version that was read.
#[async_trait(?Send)]
pub trait Ledger {
    /// Reads the row.
    ///
    /// # Errors
    ///
    /// `PlatformDown` when the store does not respond or responds with an error.
    async fn read(&mut self) -> Result<Entry, Error>;

    /// Writes the row if it still has `version`.
    ///
    /// # Errors
    ///
    /// As [`Ledger::read`]; the row may have been written all the same.
    async fn write(&mut self, value: &[u8], version: u64) -> Result<Written, Error>;
}
