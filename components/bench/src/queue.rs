use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events in the order of their time; those of the same time, in the order they were added.
#[derive(Debug)]
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    added: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: u64,
    number: u64,
    event: E,
}

impl<E> Queue<E> {
    /// An empty queue.
    pub fn new() -> Queue<E> {
        Queue { heap: BinaryHeap::new(), added: 0 }
    }

    /// Adds an event at a time in microseconds.
    pub fn add(&mut self, at: u64, event: E) {
        self.added += 1;
        self.heap.push(Reverse(Entry { at, number: self.added, event }));
    }

    /// The next event and its time in microseconds.
    pub fn next(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Entry<E> {}
