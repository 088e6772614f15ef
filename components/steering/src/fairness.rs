//! Who gets less when a service has too little room and client accounts ask for unequal parts of it.
//!
//! What is served is divided among the accounts by weighted max-min fairness: an account that asks for
//! less than its share gets all of it, and what it leaves goes to the others. An account that got its
//! share may join a smaller part of an upstream's queue; free slots are open to everybody. See
//! docs/design/fairness.md.

use crate::account::Account;
use clock::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// Accounts that are told apart for one service. The ones that ask for least are forgotten first.
pub const MAX_ACCOUNTS: usize = 64;
/// Time constant of the work that is asked for and served.
const AVERAGING_TIME: Millis = Millis(4_000);
/// How long a level is used.
const LEVEL_VALIDITY: Millis = Millis(100);
/// Requests of an account below which its part of the work says nothing.
const MIN_REQUESTS: f64 = 8.0;
/// An account that is served less than this part as often as all joins whole queues. No account may be
/// served less than a quarter as often.
const FLOOR: f64 = 0.4;
/// The part of all work below which what the other accounts were refused says nothing: it may be of
/// accounts that are gone.
const MIN_REFUSED: f64 = 0.02;
/// The least part of a queue that a request may join.
const MIN_ROOM: f64 = 0.25;

/// How an account stands in one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It gets no more than its share, or others are refused nothing.
    Within,
    /// It asks for more than its share and has got it; `part` is the share as a part of what it asks
    /// for, 0 to 1.
    Over {
        /// The share as a part of what the account asks for.
        part: f64,
    },
    /// It is served much less often than all.
    Starved,
}

impl Standing {
    /// The part of a queue that a request may join if its priority allows for `by_urgency`.
    pub fn room(self, by_urgency: f64) -> f64 {
        match self {
            Standing::Within => by_urgency,
            Standing::Over { part } => (by_urgency * part).max(MIN_ROOM.min(by_urgency)),
            Standing::Starved => 1.0,
        }
    }

    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Standing::Within => "within",
            Standing::Over { .. } => "over",
            Standing::Starved => "starved",
        }
    }
}

/// The recent requests of one account to one service; all numbers decay.
#[derive(Debug)]
struct Usage {
    account: Arc<str>,
    /// The account's cap in requests a second; 0 without one.
    rate: f64,
    requests: f64,
    /// Work asked for, in ms.
    asked: f64,
    /// Work sent to upstreams, in ms.
    served: f64,
    /// Work that an account forgotten before may have asked for.
    uncertain: f64,
}

/// The recent requests of all accounts to one service.
#[derive(Debug, Default)]
struct Ledger {
    accounts: Vec<Usage>,
    asked: f64,
    served: f64,
    updated: Millis,
    /// The part of what is served that an account gets for each unit of its weight; infinite if there
    /// is room for all. As a part, it holds while more or less is served until the next level.
    level: f64,
    level_valid_until: Millis,
}

/// What one VM knows of the accounts' use of every service.
#[derive(Debug, Default)]
pub struct Fairness {
    by_service: HashMap<Arc<str>, Ledger>,
}

impl Fairness {
    /// How `account` stands in `service`.
    pub fn standing(&mut self, service: &str, account: &Account, now: Millis) -> Standing {
        let Some(ledger) = self.by_service.get_mut(service) else { return Standing::Within };
        ledger.advance(now);
        ledger.standing(&account.name)
    }

    /// Records a request of `account` that takes about `work`, and whether it was sent to an upstream
    /// of `service` or refused.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        account: &Account,
        work: Millis,
        served: bool,
        now: Millis,
    ) {
        let ledger = self.by_service.entry(Arc::clone(service)).or_default();
        ledger.advance(now);
        let work = work.0.max(1) as f64;
        let sent = if served { work } else { 0.0 };
        ledger.asked += work;
        ledger.served += sent;
        let usage = ledger.usage(account);
        usage.requests += 1.0;
        usage.asked += work;
        usage.served += sent;
    }

    /// The largest number of accounts that are told apart for any service.
    pub fn known(&self) -> usize {
        self.by_service.values().map(|ledger| ledger.accounts.len()).max().unwrap_or_default()
    }

    /// Forgets the services for which `is_known` is false.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&str) -> bool,
    {
        self.by_service.retain(|service, _| is_known(service));
    }

    /// The number of services that are known.
    pub fn services(&self) -> usize {
        self.by_service.len()
    }
}

impl Ledger {
    /// Lets the numbers decay up to `now`.
    fn advance(&mut self, now: Millis) {
        let kept = (-((now - self.updated).0 as f64) / AVERAGING_TIME.0 as f64).exp();
        self.updated = now;
        self.asked *= kept;
        self.served *= kept;
        for usage in &mut self.accounts {
            usage.requests *= kept;
            usage.asked *= kept;
            usage.served *= kept;
            usage.uncertain *= kept;
        }
        if self.level_valid_until <= now {
            let level = self.fill();
            self.level = if self.served > 0.0 { level / self.served } else { f64::INFINITY };
            self.level_valid_until = now + LEVEL_VALIDITY;
        }
    }

    /// The entry of `account`. When there is none left, it takes over the one that asked for least, whose
    /// work counts as uncertain from then on, so that nobody answers for the work of another.
    fn usage(&mut self, account: &Account) -> &mut Usage {
        let known = self.accounts.iter().position(|usage| usage.account == account.name);
        let index = match known {
            Some(index) => index,
            None if self.accounts.len() < MAX_ACCOUNTS => {
                self.accounts.push(Usage {
                    account: Arc::clone(&account.name),
                    rate: 0.0,
                    requests: 0.0,
                    asked: 0.0,
                    served: 0.0,
                    uncertain: 0.0,
                });
                self.accounts.len() - 1
            }
            None => {
                let least = self.accounts.iter().enumerate();
                let least = least.min_by(|(_, a), (_, b)| a.asked.total_cmp(&b.asked));
                let index = least.map_or(0, |(index, _)| index);
                let usage = &mut self.accounts[index];
                usage.account = Arc::clone(&account.name);
                usage.uncertain = usage.asked;
                usage.requests = 0.0;
                index
            }
        };
        let usage = &mut self.accounts[index];
        usage.rate = account.rate;
        usage
    }

    fn standing(&self, account: &str) -> Standing {
        let known = self.accounts.iter().find(|usage| *usage.account == *account);
        let Some(usage) = known.filter(|usage| usage.requests >= MIN_REQUESTS) else {
            return Standing::Within;
        };
        if usage.served * self.asked < FLOOR * self.served * usage.asked {
            return Standing::Starved;
        }
        if self.level.is_infinite() {
            return Standing::Within;
        }
        let refused_others = (self.asked - self.served) - (usage.asked - usage.served);
        if refused_others < MIN_REFUSED * self.asked {
            return Standing::Within;
        }
        let share = self.level * self.served * self.weight(usage);
        let certain = usage.asked - usage.uncertain;
        match certain > share && usage.served > share {
            true => Standing::Over { part: share / certain },
            false => Standing::Within,
        }
    }

    /// The weight of an account: its cap, or the mean cap of the others if it has none.
    fn weight(&self, usage: &Usage) -> f64 {
        if usage.rate > 0.0 {
            return usage.rate;
        }
        let capped = self.accounts.iter().filter(|usage| usage.rate > 0.0);
        let (count, sum) =
            capped.fold((0.0, 0.0), |(count, sum), usage| (count + 1.0, sum + usage.rate));
        if count > 0.0 { sum / count } else { 1.0 }
    }

    /// The level up to which what is served covers what each account asks for.
    fn fill(&self) -> f64 {
        if self.served >= self.asked {
            return f64::INFINITY;
        }
        let mut demands: Vec<(f64, f64)> =
            self.accounts.iter().map(|usage| (usage.asked, self.weight(usage))).collect();
        demands.sort_unstable_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let known: f64 = demands.iter().map(|(asked, _)| asked).sum();
        let mut left = self.served - (self.asked - known).max(0.0);
        let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
        for (asked, weight) in demands {
            if asked * weights > left * weight {
                return (left / weights).max(0.0);
            }
            left -= asked;
            weights -= weight;
        }
        f64::INFINITY
    }
}
