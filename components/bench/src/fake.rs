//! An upstream in virtual time: slots, and a queue without bound before them.

use std::collections::VecDeque;

/// An upstream that runs attempts, named by their number.
#[derive(Clone, Debug)]
pub struct Server {
    slots: usize,
    running: Vec<usize>,
    waiting: VecDeque<usize>,
    /// How many times longer than usual it takes.
    pub slowness: u64,
}

impl Server {
    /// An idle server.
    pub fn new(slots: u32) -> Server {
        Server { slots: slots as usize, running: Vec::new(), waiting: VecDeque::new(), slowness: 1 }
    }

    /// Attempts that it runs at a time.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Takes an attempt; true if it runs at once.
    pub fn take(&mut self, attempt: usize) -> bool {
        if self.running.len() < self.slots {
            self.running.push(attempt);
            return true;
        }
        self.waiting.push_back(attempt);
        false
    }

    /// Ends an attempt, finished or cancelled, and returns the one that runs in its place.
    pub fn end(&mut self, attempt: usize) -> Option<usize> {
        if let Some(at) = self.running.iter().position(|&other| other == attempt) {
            self.running.swap_remove(at);
            let next = self.waiting.pop_front()?;
            self.running.push(next);
            return Some(next);
        }
        self.waiting.retain(|&other| other != attempt);
        None
    }

    /// Whether the attempt runs now.
    pub fn runs(&self, attempt: usize) -> bool {
        self.running.contains(&attempt)
    }

    /// The attempts that run and that wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }
}
