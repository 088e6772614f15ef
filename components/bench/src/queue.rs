use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events ordered by time; events at the same time keep the order in which they were added.
#[derive(Debug)]
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    added: u64,
}

#[derive(Debug)]
struct Entry<E> {
    /// Time in microseconds.
    at_us: u64,
    /// Position in the order of adding, which breaks ties.
    number: u64,
    event: E,
}

impl<E> Queue<E> {
    /// An empty queue.
    pub fn new() -> Queue<E> {
        Queue { heap: BinaryHeap::new(), added: 0 }
    }

    /// Adds an event at a time in microseconds.
    pub fn add(&mut self, at_us: u64, event: E) {
        self.added += 1;
        self.heap.push(Reverse(Entry { at_us, number: self.added, event }));
    }

    /// Removes the earliest event and returns it with its time in microseconds.
    pub fn next(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at_us, entry.event))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
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
