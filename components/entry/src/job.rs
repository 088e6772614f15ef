use crate::view::View;
use caller::Request;
use clock::Millis;
use errors::{Error, Kind};
use settings::{Class, Service};
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
    /// Whether it is usually short or long.
    pub(crate) class: Class,
    /// When the caller stops waiting.
    pub(crate) deadline: Millis,
}

impl Job {
    pub(crate) fn new(
        id: Arc<str>,
        request: Request,
        view: Arc<View>,
        now: Millis,
    ) -> Result<Job, Error> {
        let service: Service = view.service(&request.service)?.clone();
        view.check_block(request.block)?;
        let deadline = now + request.budget.unwrap_or(service.deadline);
        Ok(Job { id, request, view, class: service.class, deadline })
    }

    /// The time left, or the refusal of a request that wasn't sent in time.
    pub(crate) fn time_to_send(&self, now: Millis) -> Result<Millis, Error> {
        match self.deadline - now {
            Millis::ZERO => Err(Error::new(Kind::DeadlineBeforeSend, "no time left to send it")),
            left => Ok(left),
        }
    }
}
