use super::entry::Entry;
use super::{Demand, LEASE_SPAN, Limit, Reply, Report, TOKEN_SPAN};
use clock::Millis;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Demands and acknowledgements of one report; more follow with the next one.
const MAX_DEMANDS: usize = 1_000;
const MAX_APPLIED: usize = 1_000;
/// Reports whose replies are awaited.
const MAX_AWAITED: usize = 64;
/// Bounds of the time after which a refused request may be repeated.
const MIN_PAUSE: Millis = Millis(50);
const MAX_PAUSE: Millis = Millis::from_secs(1);

/// The shares of one VM, and what it admits by them.
#[derive(Debug)]
pub struct Holder {
    vm: Arc<str>,
    incarnation: u64,
    epoch: u64,
    /// When the shares lapse.
    end: Millis,
    accounts: HashMap<u64, Entry>,
    /// When each report was made whose reply is awaited.
    awaited: BTreeMap<u64, Millis>,
    last_id: u64,
    /// When this process started.
    started: Millis,
    /// Whether this process has read the row since its start, so that no coordinator which an
    /// earlier process of its VM followed has a later epoch.
    is_current: bool,
    /// When the latest reply of the epoch was made.
    echo: Millis,
    /// Until when the coordinator certainly gives no tokens.
    closed_until: Millis,
    /// When the first report after the latest reply was made.
    unanswered_since: Option<Millis>,
    /// Whether the coordinator has acknowledged what this VM holds.
    is_known: bool,
    /// Whether this VM may hold shares that have not lapsed.
    is_leased: bool,
    applied: Vec<(u64, u32)>,
    reported: Millis,
}

/// What a reply decides for requests of an account that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Award {
    /// The account.
    pub key: u64,
    /// Requests that are admitted.
    pub count: u32,
    /// Until when they are; the rest of the tokens may be kept until then.
    pub until: Millis,
    /// After which time the others may be repeated; `None` if they wait on, as the reserve may have
    /// tokens for them.
    pub pause: Option<Millis>,
}

impl Holder {
    /// The holder of a process of `vm`. `incarnation` must be greater than that of the VM's
    /// processes before.
    pub fn new(vm: Arc<str>, incarnation: u64, now: Millis) -> Holder {
        Holder {
            vm,
            incarnation,
            epoch: 0,
            end: Millis::ZERO,
            accounts: HashMap::new(),
            awaited: BTreeMap::new(),
            last_id: 0,
            started: now,
            is_current: false,
            echo: Millis::ZERO,
            closed_until: Millis::ZERO,
            unanswered_since: None,
            is_known: false,
            is_leased: false,
            applied: Vec::new(),
            reported: now,
        }
    }

    /// Puts the limits of a configuration in force. Accounts without a limit are not listed.
    pub fn configure<Limits>(&mut self, limits: Limits, now: Millis)
    where
        Limits: IntoIterator<Item = (u64, Limit)>,
    {
        let limits: HashMap<u64, Limit> = limits.into_iter().collect();
        for (key, entry) in &mut self.accounts {
            entry.limit = limits.get(key).copied().unwrap_or_default();
            entry.bucket.set_limit(entry.limit.part(entry.share), now);
        }
        for (key, limit) in limits {
            self.accounts.entry(key).or_insert_with(|| Entry::new(limit, now));
        }
    }

    /// Whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        self.accounts.values().any(|entry| entry.limit.rate > 0.0)
    }

    /// Counts a request that arrived, and admits it if there is a token.
    pub fn admit(&mut self, key: u64, now: Millis) -> bool {
        self.lapse_if_due(now);
        let Some(entry) = self.accounts.get_mut(&key).filter(|entry| entry.limit.rate > 0.0) else {
            return true;
        };
        entry.count += 1;
        entry.take(now)
    }

    /// Admits another send of a request that arrived before, if there is a token.
    pub fn admit_again(&mut self, key: u64, now: Millis) -> bool {
        self.lapse_if_due(now);
        match self.accounts.get_mut(&key) {
            Some(entry) if entry.limit.rate > 0.0 => entry.take(now),
            _ => true,
        }
    }

    /// Notes that a request which was not admitted waits for a token of the reserve.
    ///
    /// # Errors
    ///
    /// The time after which it may be repeated, when the reserve is known to have none.
    pub fn wait(&mut self, key: u64, now: Millis) -> Result<(), Millis> {
        let Some(entry) = self.accounts.get_mut(&key) else { return Ok(()) };
        if now < entry.dry_until {
            return Err((entry.dry_until - now).max(MIN_PAUSE));
        }
        entry.waiting += 1;
        Ok(())
    }

    /// Keeps tokens of an award for which no request waited, for the next ones.
    pub fn keep(&mut self, award: &Award, count: u32, now: Millis) {
        if let Some(entry) = self.accounts.get_mut(&award.key) {
            entry.keep(count, award.until, now);
        }
    }

    /// The share of an account, in millionths.
    pub fn share(&self, key: u64) -> u32 {
        self.accounts.get(&key).map_or(0, |entry| entry.share)
    }

    /// The epoch that this VM takes replies of.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes replies of `epoch` from now on, and of no earlier one. Shares of the earlier one are
    /// kept until they lapse or the new coordinator replaces them.
    pub fn follow(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            (self.is_known, self.echo) = (false, Millis::ZERO);
            (self.unanswered_since, self.closed_until) = (None, Millis::ZERO);
            self.awaited.clear();
            self.applied.clear();
            self.accounts.values_mut().for_each(|entry| (entry.sequence, entry.spare) = (0, 0));
        }
    }

    /// Until when the coordinator certainly gives no tokens of its reserve.
    pub fn closed_until(&self) -> Millis {
        self.closed_until
    }

    /// For how long the coordinator has not answered.
    pub fn unanswered(&self, now: Millis) -> Millis {
        self.unanswered_since.map_or(Millis::ZERO, |since| now - since)
    }

    /// Notes that the row was read since the start of this process, with `epoch` as the latest one.
    /// Before that, it takes shares and tokens only of a coordinator that has confirmed the row since.
    pub fn confirm_epoch(&mut self, epoch: u64) {
        self.follow(epoch);
        self.is_current = true;
    }

    /// Whether offers were applied that the coordinator is to know of soon, as it may then lease
    /// what was given up to others.
    pub fn is_report_due(&self) -> bool {
        !self.applied.is_empty()
    }

    /// A report to the coordinator; `None` if there is nothing to say. A regular one renews the
    /// estimates of demand.
    pub fn report(&mut self, is_regular: bool, now: Millis) -> Option<Report> {
        self.lapse_if_due(now);
        if is_regular {
            let span = (now - self.reported).as_secs_f64().max(0.001);
            self.reported = now;
            self.accounts.values_mut().for_each(|entry| entry.estimate(span));
        }
        let is_known = self.is_known;
        let demands = self.demands(is_known);
        // A coordinator waits until it has heard every VM, and serves the reserve while it hears others.
        let is_new = !is_known && self.epoch > 0;
        let is_needed = !self.applied.is_empty() || is_new || (is_regular && self.epoch > 0);
        if demands.is_empty() && !is_needed {
            return None;
        }
        self.last_id += 1;
        self.unanswered_since.get_or_insert(now);
        self.awaited.insert(self.last_id, now);
        if self.awaited.len() > MAX_AWAITED {
            self.awaited.pop_first();
        }
        let held = self.accounts.iter().filter(|(_, entry)| entry.share > 0);
        Some(Report {
            vm: Arc::clone(&self.vm),
            incarnation: self.incarnation,
            epoch: self.epoch,
            id: self.last_id,
            echo: self.echo,
            held: (!is_known).then(|| held.map(|(key, entry)| (*key, entry.share)).collect()),
            applied: self.applied.drain(..self.applied.len().min(MAX_APPLIED)).collect(),
            demands,
        })
    }

    /// What there is to report; when that is too much, each account has its turn.
    fn demands(&mut self, is_known: bool) -> Vec<Demand> {
        let first = self.last_id as usize * MAX_DEMANDS % self.accounts.len().max(1);
        let mut demands = Vec::new();
        for is_late in [true, false] {
            let accounts = self.accounts.iter_mut().enumerate();
            let accounts = accounts.filter(|(at, _)| (*at >= first) == is_late);
            let limited = accounts.filter(|(_, (_, entry))| entry.limit.rate > 0.0);
            let left = MAX_DEMANDS - demands.len();
            let listed = limited.filter_map(|(_, (key, entry))| entry.demand(*key, is_known));
            demands.extend(listed.take(left));
        }
        demands
    }

    /// Applies a reply; returns what it decides for requests that wait.
    pub fn apply(&mut self, reply: &Reply, now: Millis) -> Vec<Award> {
        self.lapse_if_due(now);
        if reply.epoch != self.epoch || !self.awaited.contains_key(&reply.id) {
            return Vec::new();
        }
        let made = self.awaited[&reply.id];
        self.is_current |= made + reply.valid >= self.started + LEASE_SPAN;
        if !self.is_current {
            return Vec::new();
        }
        self.echo = self.echo.max(reply.made);
        self.unanswered_since = None;
        if reply.reset && reply.incarnation >= self.incarnation {
            self.incarnation = reply.incarnation;
            self.lapse(now);
            return Vec::new();
        }
        if reply.incarnation != self.incarnation {
            return Vec::new();
        }
        self.awaited.remove(&reply.id);
        let is_closed = reply.closed_for > Millis::ZERO;
        self.closed_until = if is_closed { made + reply.closed_for } else { Millis::ZERO };
        (self.is_known, self.is_leased) = (true, true);
        self.end = self.end.max(made + reply.valid);
        for offer in &reply.offers {
            let entry =
                self.accounts.entry(offer.key).or_insert_with(|| Entry::new(Limit::default(), now));
            if offer.sequence > entry.sequence {
                entry.sequence = offer.sequence;
                entry.share = offer.share;
                entry.bucket.set_limit(entry.limit.part(offer.share), now);
                entry.bucket.add(offer.tokens, now);
            }
            self.applied.push((offer.key, entry.sequence));
        }
        let is_timely = now < made + TOKEN_SPAN;
        let mut awards = Vec::new();
        for tokens in &reply.tokens {
            let Some(entry) = self.accounts.get_mut(&tokens.key) else { continue };
            let is_dry = tokens.pause > Millis::ZERO;
            let pause = is_dry.then(|| tokens.pause.clamp(MIN_PAUSE, MAX_PAUSE));
            if let Some(pause) = pause {
                entry.dry_until = now + pause;
            }
            let count = if is_timely { tokens.count } else { 0 };
            let until = made + TOKEN_SPAN;
            awards.push(Award { key: tokens.key, count, until, pause });
        }
        awards
    }

    fn lapse_if_due(&mut self, now: Millis) {
        if now >= self.end && self.is_leased {
            self.lapse(now);
        }
    }

    /// Drops all shares. The coordinator takes this VM for a new process from then on.
    fn lapse(&mut self, now: Millis) {
        self.incarnation += 1;
        (self.is_known, self.is_leased) = (false, false);
        self.awaited.clear();
        self.applied.clear();
        for entry in self.accounts.values_mut() {
            (entry.share, entry.sequence, entry.spare) = (0, 0, 0);
            entry.bucket.set_limit(Limit::default(), now);
        }
    }
}
