//! A fake upstream in virtual time, with a fixed number of slots and an unbounded queue.

use std::collections::VecDeque;

/// An upstream that runs attempts, which are identified by their number.
#[derive(Clone, Debug)]
pub struct Upstream {
    slots: usize,
    running: Vec<usize>,
    queued: VecDeque<usize>,
    /// Factor by which the time of each request is multiplied; 1 at normal speed.
    pub slowdown: u64,
}

impl Upstream {
    /// An idle upstream at normal speed.
    pub fn new(slots: u32) -> Upstream {
        Upstream {
            slots: slots as usize,
            running: Vec::new(),
            queued: VecDeque::new(),
            slowdown: 1,
        }
    }

    /// The number of attempts that run at a time.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Starts or queues an attempt; true if it starts at once.
    pub fn add(&mut self, attempt: usize) -> bool {
        if self.running.len() < self.slots {
            self.running.push(attempt);
            return true;
        }
        self.queued.push_back(attempt);
        false
    }

    /// Removes a finished or cancelled attempt. Returns the queued attempt that starts in its slot.
    pub fn remove(&mut self, attempt: usize) -> Option<usize> {
        if let Some(at) = self.running.iter().position(|&running| running == attempt) {
            self.running.swap_remove(at);
            let next = self.queued.pop_front()?;
            self.running.push(next);
            return Some(next);
        }
        self.queued.retain(|&queued| queued != attempt);
        None
    }

    /// Whether the attempt is running.
    pub fn is_running(&self, attempt: usize) -> bool {
        self.running.contains(&attempt)
    }

    /// The numbers of running and of queued attempts.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queued.len() as u32)
    }
}
