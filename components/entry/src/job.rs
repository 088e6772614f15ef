use crate::core::Core;
use crate::view::View;
use caller::Request;
use clock::Millis;
use errors::{Error, Kind};
use settings::Class;
use std::sync::Arc;

/// A request on its way, with what was decided about it on its arrival.
#[derive(Clone)]
pub(crate) struct Job {
    /// The request's id, given or made.
    pub(crate) id: Arc<str>,
    /// The request.
    pub(crate) request: Request,
    /// The snapshot at its arrival.
    pub(crate) view: Arc<View>,
    /// The number of the region nearest to its caller.
    pub(crate) home: u16,
    /// Whether it is usually short or long.
    pub(crate) class: Class,
    /// When the caller stops waiting.
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

    /// The time left, or the refusal of a request that wasn't sent in time.
    pub(crate) fn time_to_send(&self, now: Millis) -> Result<Millis, Error> {
        match self.deadline - now {
            Millis::ZERO => Err(Error::new(Kind::DeadlineBeforeSend, "no time left to send it")),
            left => Ok(left),
        }
    }

    /// A number that tells this request apart from others of its block.
    pub(crate) fn draw(&self) -> u32 {
        let hash = blake3::hash(self.id.as_bytes());
        let [a, b, c, d, ..] = *hash.as_bytes();
        u32::from_le_bytes([a, b, c, d])
    }
}
