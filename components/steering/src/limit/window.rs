use super::Refused;
use super::usage::Usage;
use clock::Millis;

const SPAN: Millis = Millis(1000);

/// An exact sliding-window limit on requests a second.
///
/// In no window of 1,000 ms are more than `cap` requests admitted. This also holds when the cap
/// shrinks: nothing is admitted until the requests of the last second are below the new cap.
#[derive(Clone, Debug)]
pub struct Window {
    cap: u32,
    usage: Usage,
}

impl Window {
    /// Creates an empty window that admits `cap` requests a second.
    pub fn new(cap: u32) -> Window {
        Window { cap, usage: Usage::new(SPAN) }
    }

    /// The cap in force, in requests a second.
    pub fn cap(&self) -> u32 {
        self.cap
    }

    /// Changes the cap; requests already admitted still count.
    pub fn set_cap(&mut self, cap: u32) {
        self.cap = cap;
    }

    /// Requests admitted in the second that ends at `now`.
    pub fn used(&mut self, now: Millis) -> u32 {
        self.usage.advance(now);
        self.usage.sum() as u32
    }

    /// Checks whether [`Window::admit`] would admit a request, without counting it.
    ///
    /// A request that needs several windows is checked against all of them first, so that a refusal
    /// by one window uses up none of the others.
    ///
    /// # Errors
    ///
    /// [`Refused`] with the time to wait if the cap is reached.
    pub fn check(&mut self, now: Millis) -> Result<(), Refused> {
        let now = self.usage.advance(now);
        let cap = u64::from(self.cap);
        if self.usage.sum() < cap {
            return Ok(());
        }
        if cap == 0 {
            return Err(Refused { wait: SPAN });
        }
        let excess = self.usage.sum() - cap + 1;
        Err(Refused { wait: self.usage.wait_for(now, excess) })
    }

    /// Admits one request.
    ///
    /// # Errors
    ///
    /// [`Refused`] with the time to wait if the cap is reached.
    pub fn admit(&mut self, now: Millis) -> Result<(), Refused> {
        self.check(now)?;
        let now = self.usage.advance(now);
        self.usage.add(now, 1);
        Ok(())
    }
}
