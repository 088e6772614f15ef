use super::Refused;
use super::log::Log;
use clock::Millis;

const SPAN: Millis = Millis(1000);

/// An exact sliding window of one second over admitted requests.
///
/// In no window of 1,000 ms are more than `cap` requests admitted, also across changes of the
/// cap: after it shrinks nothing is admitted until the requests of the last second fit.
#[derive(Clone, Debug)]
pub struct Window {
    cap: u32,
    log: Log,
}

impl Window {
    /// An empty window that admits `cap` requests a second.
    pub fn new(cap: u32) -> Window {
        Window { cap, log: Log::new(SPAN) }
    }

    /// The cap in force, in requests a second.
    pub fn cap(&self) -> u32 {
        self.cap
    }

    /// Changes the cap, keeping what was admitted.
    pub fn set_cap(&mut self, cap: u32) {
        self.cap = cap;
    }

    /// Requests admitted in the second that ends at `now`.
    pub fn used(&mut self, now: Millis) -> u32 {
        self.log.advance(now);
        self.log.sum() as u32
    }

    /// Whether [`Window::admit`] would admit a request, without admitting it.
    ///
    /// A request that several windows must admit is checked against all of them first, so that a
    /// refusal by one uses up none of the others.
    pub fn check(&mut self, now: Millis) -> Result<(), Refused> {
        let now = self.log.advance(now);
        let cap = u64::from(self.cap);
        if self.log.sum() < cap {
            return Ok(());
        }
        if cap == 0 {
            return Err(Refused { wait: SPAN });
        }
        let excess = self.log.sum() - cap + 1;
        Err(Refused { wait: self.log.wait_for(now, excess) })
    }

    /// Admits one request, or says when to come back.
    pub fn admit(&mut self, now: Millis) -> Result<(), Refused> {
        self.check(now)?;
        let now = self.log.advance(now);
        self.log.add(now, 1);
        Ok(())
    }
}
