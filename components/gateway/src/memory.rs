//! The memory that callers' requests and their responses use, from the first byte that is read to
//! the last one that is written. docs/design/connections.md explains the limits.

mod owner;

pub use owner::{Owner, Streaming};

use clock::{Clock, Millis};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Part of the memory limit for what callers make the process hold.
const PART: u64 = 2;
/// Part of the memory limit beyond that for the beginning of responses.
const RESERVE_PART: u64 = 8;
/// Part of the memory limit of these that small requests may use. The rest is for the responses to
/// them.
const REQUESTS_RESERVE_PART: u64 = 16;
/// Part of the memory limit up to which responses are read ahead of slow callers. What is beyond
/// stays free for the largest requests.
const AHEAD_PART: u64 = 10;
/// Part of the memory limit that the responses of one connection may take so.
const AHEAD_OF_ONE_PART: u64 = 20;
/// The most bytes of one request or response that may come from the reserve.
const SMALL_BYTES: u64 = 64 * 1024;

/// The memory of all callers' connections.
#[derive(Debug, Default)]
pub struct Memory {
    used: Cell<u64>,
    next: Cell<u64>,
    owners: RefCell<BTreeMap<u64, Rc<Owner>>>,
    freed: Notify,
}

/// A connection's registration, which ends with it.
#[derive(Debug)]
pub struct Registration {
    memory: Rc<Memory>,
    number: u64,
    /// What the connection holds.
    pub owner: Rc<Owner>,
}

/// What bytes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that is still being read.
    Upload,
    /// A complete request.
    Request,
    /// A response that is not written yet.
    Response,
}

/// Bytes in memory, counted until it is dropped.
#[derive(Debug)]
pub struct Hold {
    memory: Rc<Memory>,
    owner: Rc<Owner>,
    purpose: Purpose,
    bytes: u64,
    clock: Clock,
    limit: u64,
}

/// The memory is used up.
#[derive(Debug)]
pub struct Full;

impl Memory {
    /// Registers a connection.
    pub fn register(self: &Rc<Memory>) -> Registration {
        let number = self.next.get();
        self.next.set(number + 1);
        let owner = Rc::new(Owner::default());
        self.owners.borrow_mut().insert(number, Rc::clone(&owner));
        Registration { memory: Rc::clone(self), number, owner }
    }

    /// Waits until some memory has been freed since the call.
    pub fn freed(&self) -> Notified<'_> {
        self.freed.notified()
    }

    /// Refuses or closes the connection that holds most for longest: first a request that is not
    /// complete, which certainly hasn't run, then one whose responses aren't read. Others lose nothing:
    /// what upstreams have answered is delivered. Returns false if there is none.
    fn evict(&self, now: Millis) -> bool {
        let owners = self.owners.borrow();
        let uploads = owners.values().filter(|owner| owner.upload.get() > 0);
        let weight = |bytes: &Cell<u64>, since: &Cell<Millis>| {
            u128::from(bytes.get()) * u128::from((now - since.get()).0 + 1)
        };
        let largest = uploads.max_by_key(|owner| weight(&owner.upload, &owner.upload_since));
        if let Some(owner) = largest {
            // One at a time: its memory may be enough.
            if !owners.values().any(|owner| owner.upload.get() > 0 && owner.is_refused.get()) {
                owner.is_refused.set(true);
                owner.refused.notify_one();
            }
            return true;
        }
        let unread = owners.values().filter(|owner| owner.is_unread(now));
        let largest = unread.max_by_key(|owner| weight(&owner.responses, &owner.responses_since));
        let Some(owner) = largest else {
            return false;
        };
        if !owners.values().any(|owner| owner.is_unread(now) && owner.is_closed.get()) {
            owner.is_closed.set(true);
            owner.closed.notify_one();
        }
        true
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.memory.owners.borrow_mut().remove(&self.number);
        self.memory.freed.notify_waiters();
    }
}

impl Hold {
    /// No bytes yet, of a process that may use `limit` bytes of memory.
    pub fn new(
        memory: &Rc<Memory>,
        owner: &Rc<Owner>,
        purpose: Purpose,
        clock: Clock,
        limit: u64,
    ) -> Hold {
        Hold { memory: Rc::clone(memory), owner: Rc::clone(owner), purpose, bytes: 0, clock, limit }
    }

    /// No bytes yet, for the same connection.
    pub fn sibling(&self, purpose: Purpose) -> Hold {
        Hold::new(&self.memory, &self.owner, purpose, self.clock, self.limit)
    }

    /// The memory that it is a part of.
    pub fn memory(&self) -> &Rc<Memory> {
        &self.memory
    }

    /// The number of bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Moves up to `bytes` to a hold of their own.
    pub fn split(&mut self, bytes: u64) -> Hold {
        let mut split = self.sibling(self.purpose);
        split.bytes = bytes.min(self.bytes);
        self.bytes -= split.bytes;
        split
    }

    /// Counts what `other` does, of the same connection and for the same purpose.
    pub fn absorb(&mut self, mut other: Hold) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Counts no more than `bytes` from now on.
    pub fn shrink(&mut self, bytes: u64) {
        let freed = self.bytes.saturating_sub(bytes);
        if freed > 0 {
            self.bytes -= freed;
            self.memory.used.set(self.memory.used.get().saturating_sub(freed));
            self.owner.change(self.purpose, freed, None);
            self.memory.freed.notify_waiters();
        }
    }

    /// The connection.
    pub fn owner(&self) -> &Rc<Owner> {
        &self.owner
    }

    /// Counts `bytes` more if there is room.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is none.
    pub fn try_grow(&mut self, bytes: u64) -> Result<(), Full> {
        let reserve = match self.purpose {
            _ if self.bytes + bytes > SMALL_BYTES => 0,
            Purpose::Response => self.limit / RESERVE_PART,
            Purpose::Upload | Purpose::Request => self.limit / REQUESTS_RESERVE_PART,
        };
        if self.memory.used.get() + bytes > self.limit / PART + reserve {
            return Err(Full);
        }
        self.add(bytes);
        Ok(())
    }

    /// Counts `bytes` more of a response that its caller reads slowly, if nobody else needs the room.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is none.
    pub fn try_grow_ahead(&mut self, bytes: u64) -> Result<(), Full> {
        if self.memory.used.get() + bytes > self.limit / AHEAD_PART
            || self.owner.responses.get() + bytes > self.limit / AHEAD_OF_ONE_PART
        {
            return Err(Full);
        }
        self.add(bytes);
        Ok(())
    }

    fn add(&mut self, bytes: u64) {
        self.memory.used.set(self.memory.used.get() + bytes);
        self.bytes += bytes;
        self.owner.change(self.purpose, bytes, Some(self.clock.now()));
    }

    /// Counts `bytes` more; makes room at the cost of the connection that holds most for longest.
    ///
    /// # Errors
    ///
    /// [`Full`] if no other connection is to make room.
    pub async fn grow(&mut self, bytes: u64) -> Result<(), Full> {
        while self.try_grow(bytes).is_err() {
            let memory = Rc::clone(&self.memory);
            let freed = memory.freed.notified();
            if !memory.evict(self.clock.now()) {
                return Err(Full);
            }
            freed.await;
        }
        Ok(())
    }

    /// Marks the request as complete.
    pub fn complete(&mut self) {
        self.owner.change(self.purpose, self.bytes, None);
        self.purpose = Purpose::Request;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
