use crate::core::Core;
use crate::view::View;
use caller::Request;
use clock::Millis;
use errors::{Error, Kind};
use settings::Class;
use std::sync::Arc;

/// A request being served, with the values that are fixed when it arrives.
#[derive(Clone)]
pub(crate) struct Job {
    /// The request's id, from the caller or generated.
    pub(crate) id: Arc<str>,
    /// The caller's request.
    pub(crate) request: Request,
    /// The snapshot in force when the request arrived.
    pub(crate) view: Arc<View>,
    /// The number of the region nearest to the caller's block.
    pub(crate) home: u16,
    /// Whether requests for this path are short or long.
    pub(crate) class: Class,
    /// The time at which the caller stops waiting.
    pub(crate) deadline: Millis,
}

impl Job {
    pub(crate) fn new(core: &Core, id: Arc<str>, request: Request) -> Result<Job, Error> {
        let view = core.view()?;
        let service = view.service(&request.service)?;
        let deadline = core.clock.now() + request.budget.unwrap_or(service.deadline);
        let observed = core.services().get(&request.service).map(|(s, _)| s.class(&request.path));
        let class = observed.unwrap_or(service.class);
        let home = view.home(request.block)?;
        Ok(Job { id, request, view, home, class, deadline })
    }

    /// The time until the deadline.
    ///
    /// # Errors
    ///
    /// [`Kind::DeadlineBeforeSend`] if the deadline has passed; only for a request not yet sent.
    pub(crate) fn time_to_send(&self, now: Millis) -> Result<Millis, Error> {
        match self.deadline - now {
            Millis::ZERO => Err(Error::new(
                Kind::DeadlineBeforeSend,
                "the deadline passed before the request was sent",
            )),
            remaining => Ok(remaining),
        }
    }

    /// A hash of the request id; it decides which requests of a block a shift has already moved.
    pub(crate) fn id_hash(&self) -> u32 {
        let hash = blake3::hash(self.id.as_bytes());
        let [a, b, c, d, ..] = *hash.as_bytes();
        u32::from_le_bytes([a, b, c, d])
    }
}
