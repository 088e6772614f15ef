use clock::Millis;
use peer::message::Current;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use steering::Plan;
use store::{Failure, Row, Table};

/// The key of the row that holds the configuration in force.
pub const CURRENT_KEY: &str = "current";

/// The key of the row that holds the plan in force.
pub const PLAN_KEY: &str = "plan";

/// The key of the row that holds the planner's lease.
pub const PLANNER_KEY: &str = "planner";

/// The planner's lease.
///
/// Its only purpose is to bound how long the fleet waits for a planner. What protects the plan is
/// that the plan's transaction checks the version of this row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The VM that holds the lease; empty when it was released.
    pub holder: Arc<str>,
    /// The incarnation of the holder's agent.
    pub incarnation: u64,
    /// The fencing token: rises by one whenever a VM takes over the lease.
    pub epoch: u64,
    /// The heartbeat counter: rises by one whenever the holder renews the lease.
    pub beat: u64,
}

/// A row's content with the version at which it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Versioned<T> {
    /// The row's version; zero when the row is absent.
    pub version: u64,
    /// The id of the transaction that wrote the row last.
    pub transaction: Arc<str>,
    /// The content, or its default when the row is absent.
    pub value: T,
}

/// Reads a row; an absent one yields the default value at version zero.
///
/// # Errors
///
/// [`Failure::Unavailable`] when there is no response within `timeout`, [`Failure::Refused`] when
/// the content can't be decoded, or the table's own failure.
pub async fn read<T>(table: &dyn Table, key: &str, timeout: Millis) -> Result<Versioned<T>, Failure>
where
    T: DeserializeOwned + Default,
{
    let response = tokio::time::timeout(timeout.duration(), table.read(key)).await;
    let late = |_| Failure::Unavailable {
        context: format!("no response for row `{key}` within {timeout}"),
    };
    decode(key, response.map_err(late)??)
}

/// Decodes a row that was read or that a conflicting transaction returned.
///
/// # Errors
///
/// [`Failure::Refused`] when the content can't be decoded.
pub fn decode<T>(key: &str, row: Option<Row>) -> Result<Versioned<T>, Failure>
where
    T: DeserializeOwned + Default,
{
    let Some(row) = row else { return Ok(Versioned::default()) };
    let value = rmp_serde::from_slice(&row.value).map_err(|error| Failure::Refused {
        context: format!("row `{key}` can't be decoded: {error}"),
    })?;
    Ok(Versioned { version: row.version, transaction: row.transaction, value })
}

/// Encodes the content of a row.
///
/// # Errors
///
/// [`Failure::Refused`] when `value` can't be encoded.
pub fn encode<T>(value: &T) -> Result<Vec<u8>, Failure>
where
    T: Serialize,
{
    rmp_serde::to_vec(value).map_err(|error| Failure::Refused { context: error.to_string() })
}

/// The row that holds the configuration in force.
pub type CurrentRow = Versioned<Current>;

/// The row that holds the plan in force.
pub type PlanRow = Versioned<Plan>;

/// The row that holds the planner's lease.
pub type LeaseRow = Versioned<Lease>;
