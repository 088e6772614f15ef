use serde::Serialize;

/// How bad a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// A part of the configuration can't take effect as it is written.
    Error,
    /// It takes effect, but probably not as meant.
    Warning,
}

macro_rules! rules {
    ($($(#[$doc:meta])* $rule:ident $severity:ident $mend:literal,)*) => {
        /// What is checked.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Rule {
            $($(#[$doc])* $rule,)*
        }

        impl Rule {
            /// All rules.
            pub const ALL: &'static [Rule] = &[$(Rule::$rule),*];

            /// How bad it is not to keep the rule.
            pub fn severity(self) -> Severity {
                match self {
                    $(Rule::$rule => Severity::$severity,)*
                }
            }

            /// What to do about it.
            pub fn mend(self) -> &'static str {
                match self {
                    $(Rule::$rule => $mend,)*
                }
            }
        }
    };
}

rules! {
    /// An entry or field can't be decoded, so that VMs keep the configuration before.
    Unreadable Error "correct the entry; until then VMs keep the configuration before",
    /// VMs pass over entries of kinds that they don't know.
    UnknownKind Error "use a kind that is known, or remove the entry",
    /// VMs pass over fields that they don't know.
    UnknownField Warning "correct the field's name, or remove it",
    /// The version is not written in full.
    ShortVersion Warning "write eight hexadecimal digits",
    /// VMs replace a configuration only by one with a greater version.
    OldVersion Error "give it a greater version than the one in force",
    /// A route or service without a name.
    NoName Error "name the entry",
    /// Two entries of a kind have one name.
    RepeatedName Error "give each entry of a kind a name of its own",
    /// No route, so that no request is served.
    NoRoutes Error "add a route",
    /// A host that no request can have.
    UnmatchableHost Error "give the bare host name, without port or path",
    /// A prefix that no path begins with, or that ends within a segment.
    BadPrefix Error "begin and end it with a slash, without query and empty segments",
    /// The same host and prefix twice; the first of such routes gets all requests.
    ShadowedRoute Error "remove one of the two routes, or change its host or prefix",
    /// A route without a service.
    NoService Error "name a service, or give a split",
    /// A single service and a split.
    ServiceAndSplit Error "give either a service or a split",
    /// A service that the configuration doesn't have.
    UnknownService Error "add the service, or name another",
    /// A service in a split twice.
    RepeatedService Error "name each service once, with the sum of the weights",
    /// The weights of a split sum to zero: the first service gets all requests.
    NoWeight Error "give at least one service a weight above 0",
    /// A weight that is negative, too large, or rounded to zero.
    BadWeight Error "use 0, or a weight from 0.001 to 4000000",
    /// A route whose requests may go to no upstream.
    NoAttempts Error "use 1 or more",
    /// A time of zero.
    NoTime Error "use a time above 0",
    /// Requests end before their latency objective.
    ObjectiveBeyondTimeout Error "raise the timeout, or lower the latency objective",
    /// A retry has no time left if each attempt takes as long as the objective allows.
    AttemptsBeyondTimeout Warning "raise the timeout, or lower the attempts or the latency objective",
    /// Without accounts no request needs a key.
    UselessAnonymous Warning "remove the field, or add accounts",
    /// A service that no route names.
    UnusedService Warning "name it in a route, or remove it",
    /// A health check's path without a slash.
    BadHealthPath Error "begin it with a slash",
    /// A service whose upstreams accept no connection.
    NoConnections Error "use 1 or more",
    /// A cold time without requests that a cold upstream bears, or the reverse.
    BadColdRate Error "use 0 or more; above 0 where upstreams start cold",
    /// No limits: those hold that VMs have before a configuration.
    NoLimits Warning "add the limits",
    /// Limits twice; the last ones hold.
    RepeatedLimits Error "keep one entry of limits",
    /// A limit of zero bytes.
    NoBytes Error "use a number above 0",
    /// A head may be longer than a body.
    HeadAboveBody Warning "lower the limit of the head, or raise that of the body",
    /// A region that no VM is in.
    UnknownRegion Error "name a region of the deployment",
    /// A region that has no failure domain, so that no upstream is in it.
    EmptyRegion Error "name a region with failure domains",
    /// An account's requests have no region in common with any route.
    UnservedAccount Error "give the account and its routes a common region",
    /// An account's requests on some routes are refused, as they have no region in common.
    DisjointRegions Warning "give the account and the route a common region, if it uses the route",
    /// An account without keys sends nothing.
    NoKeys Warning "give it a key, or remove the account",
    /// An empty key never matches.
    EmptyKey Error "remove the empty key",
    /// A key that a header field can't carry.
    UnusableKey Error "use keys of visible ASCII characters only",
    /// A key that another account has: requests count for the first of them.
    SharedKey Error "give each account keys of its own",
    /// A key that stands twice in an account.
    RepeatedKey Warning "name each key once",
    /// The last account is removed, so that requests need no key.
    OpenAccess Error "keep an account, if requests shall need a key",
    /// A burst without a rate: there is no cap.
    BurstWithoutRate Warning "give a rate, or remove the burst",
    /// A burst below one request.
    LowBurst Warning "use a burst of 1 or more",
    /// A cap that never lets a request run.
    ClosedCap Error "use a burst of 1 or more, or remove the keys instead",
    /// What is tolerated beyond the cap is more than the cap.
    LostInTolerance Warning "raise the rate or the burst: below the tolerated excess, a cap says little",
    /// A cap below what the account sends today.
    CapBelowUsage Warning "raise the rate, or expect 429 for the rest",
    /// Usage of an account that the configuration doesn't have.
    UsageWithoutAccount Warning "keep the account, or expect 401 for its requests",
}
