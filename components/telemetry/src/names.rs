//! The names of metrics and their labels.
//!
//! docs/OPERATORS.md, "Metrics", describes each metric for operators.

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};

/// Requests answered, by service and outcome.
pub const REQUESTS: &str = "heatherbend_requests_total";
/// Time from a request's arrival to the end of its response, by service.
pub const LATENCY: &str = "heatherbend_request_seconds";
/// Requests in flight.
pub const IN_FLIGHT: &str = "heatherbend_requests_in_flight";
/// Requests of client accounts, by account and outcome.
pub const ACCOUNT_REQUESTS: &str = "heatherbend_account_requests_total";
/// Time since the copy of the operators' rows was confirmed to be up to date.
pub const KEY_VIEW_AGE: &str = "heatherbend_key_view_age_seconds";
/// Refusals, by kind of error.
pub const REFUSALS: &str = "heatherbend_refusals_total";
/// Look-ups answered, by reason.
pub const LOOKUPS: &str = "heatherbend_lookups_total";
/// Decisions, by action.
pub const DECISIONS: &str = "heatherbend_decisions_total";
/// Retries, by service.
pub const RETRIES: &str = "heatherbend_retries_total";
/// Requests sent to a second upstream, by service and whether the second won.
pub const HEDGES: &str = "heatherbend_hedges_total";
/// Downloads resumed on another upstream, by service.
pub const RESUMPTIONS: &str = "heatherbend_resumptions_total";
/// Orders, by outcome of their claim.
pub const ORDERS: &str = "heatherbend_orders_total";
/// Leases given to callers, in seconds.
pub const LEASE: &str = "heatherbend_lease_seconds";
/// What this VM may send per second, by limit and destination.
pub const LIMIT: &str = "heatherbend_limit_per_second";
/// What this VM sent under a limit, by limit and destination.
pub const LIMIT_USED: &str = "heatherbend_limit_used_total";
/// The configuration version in force on this VM.
pub const VERSION: &str = "heatherbend_configuration_version";
/// The epoch of the plan in force on this VM.
pub const PLAN_EPOCH: &str = "heatherbend_plan_epoch";
/// The sequence number of the plan in force on this VM.
pub const PLAN_SEQUENCE: &str = "heatherbend_plan_sequence";
/// 1 on the VM that holds the planner's lease, 0 on all others.
pub const PLANNER: &str = "heatherbend_planner";
/// Time since the last message from a source, by source.
pub const LAG: &str = "heatherbend_lag_seconds";
/// Times that a feed's rows were replaced as the store came back from an older copy.
pub const ERAS: &str = "heatherbend_store_eras_total";
/// 1 when the platform responded to this VM's last request, 0 when it didn't.
pub const PLATFORM_UP: &str = "heatherbend_platform_up";
/// Upstreams known, by service and state.
pub const UPSTREAMS: &str = "heatherbend_upstreams";
/// Entry VMs known, by state.
pub const VMS: &str = "heatherbend_entry_vms";
/// Operations by operators, by action and outcome.
pub const OPERATIONS: &str = "heatherbend_operator_acts_total";
/// Connections refused for a wrong key, by listener.
pub const UNAUTHORIZED: &str = "heatherbend_unauthorized_total";
/// Connections closed that their other end has not ended, by listener and reason.
pub const CLOSINGS: &str = "heatherbend_closings_total";
/// Callers and upstreams that read slowly, by what is done about it.
pub const SLOW_READERS: &str = "heatherbend_slow_readers_total";
/// Connections opened to upstreams.
pub const CONNECTIONS: &str = "heatherbend_upstream_connections_total";
/// Responses that belonged to another request and were discarded.
pub const STRAY_RESPONSES: &str = "heatherbend_stray_answers_total";
/// Failed attempts to send a request to an upstream, by reason.
pub const ATTEMPTS_FAILED: &str = "heatherbend_attempts_failed_total";
/// Requests placed or refused for want of room, by service, reason and distance.
pub const PLACEMENTS: &str = "heatherbend_placements_total";
/// The part of an upstream's queue that requests might join, by service.
pub const ROOM: &str = "heatherbend_queue_room_ratio";
/// Requests of client accounts placed or refused, by service, standing and outcome.
pub const STANDINGS: &str = "heatherbend_account_standings_total";
/// The share of accounts that ask for more, as a part of what they ask for, by service.
pub const SHARE: &str = "heatherbend_account_share_ratio";
/// The part of requests that upstreams with free slots shed, by service.
pub const SHED: &str = "heatherbend_shed_ratio";
/// Panics, each of which ended a task.
pub const PANICS: &str = "heatherbend_panics_total";
/// Time after which requests that are refused for want of room may return, by service.
pub const RETRY_AFTER: &str = "heatherbend_room_wait_seconds";
/// The most objects that prefer one upstream as a multiple of the mean, by service.
pub const OBJECTS: &str = "heatherbend_upstream_objects_ratio";
/// Log lines dropped because the queue was full.
pub const LOG_DROPPED: &str = "heatherbend_log_dropped_total";
/// Decision lines suppressed by the rate limit.
pub const LOG_SUPPRESSED: &str = "heatherbend_log_suppressed_total";

/// Label: the service.
pub const SERVICE: &str = "service";
/// Label: the client account, or `other`.
pub const ACCOUNT: &str = "account";
/// Label: how an account stands in a service.
pub const STANDING: &str = "standing";
/// Label: the outcome.
pub const OUTCOME: &str = "outcome";
/// Label: the kind of error.
pub const KIND: &str = "kind";
/// Label: the kind of decision or operation.
pub const ACTION: &str = "action";
/// Label: the reason.
pub const REASON: &str = "reason";
/// Label: where an upstream is: in the VM's failure domain, its region or elsewhere.
pub const DISTANCE: &str = "distance";
/// Label: which limit.
pub const LIMIT_KIND: &str = "limit";
/// Label: the region or link that a limit protects.
pub const DESTINATION: &str = "destination";
/// Label: the sender of a message.
pub const SOURCE: &str = "source";
/// Label: the state of a VM or upstream.
pub const STATE: &str = "state";
/// The stream of changes of the store.
pub const FEED: &str = "feed";
/// Label: the listener.
pub const LISTENER: &str = "listener";

/// Describes every metric to the recorder.
pub fn describe() {
    describe_counter!(REQUESTS, "Requests answered, by service and outcome");
    describe_histogram!(LATENCY, Unit::Seconds, "Time from arrival to the end of the response");
    describe_gauge!(IN_FLIGHT, "Requests in flight");
    describe_counter!(ACCOUNT_REQUESTS, "Requests of client accounts, by account and outcome");
    describe_gauge!(KEY_VIEW_AGE, Unit::Seconds, "Age of what is known of keys in force");
    describe_counter!(REFUSALS, "Refusals, by kind of error");
    describe_counter!(LOOKUPS, "Look-ups answered, by reason");
    describe_counter!(ERAS, "Older copies that the store came back from, by feed");
    describe_counter!(DECISIONS, "Decisions, by action");
    describe_counter!(RETRIES, "Retries, by service");
    describe_counter!(HEDGES, "Requests sent to a second upstream");
    describe_counter!(RESUMPTIONS, "Downloads resumed on another upstream");
    describe_counter!(ORDERS, "Orders, by outcome of their claim");
    describe_histogram!(LEASE, Unit::Seconds, "Leases given to callers");
    describe_gauge!(LIMIT, "What this VM may send per second, by limit and destination");
    describe_counter!(LIMIT_USED, "What this VM sent, by limit and destination");
    describe_gauge!(VERSION, "The configuration version in force on this VM");
    describe_gauge!(PLAN_EPOCH, "The epoch of the plan in force on this VM");
    describe_gauge!(PLAN_SEQUENCE, "The sequence number of the plan in force on this VM");
    describe_gauge!(PLANNER, "1 on the VM that holds the planner's lease, 0 on all others");
    describe_gauge!(LAG, Unit::Seconds, "Time since the last message from a source");
    describe_gauge!(PLATFORM_UP, "1 when the platform responded to this VM's last request, else 0");
    describe_gauge!(UPSTREAMS, "Upstreams known, by service and state");
    describe_gauge!(VMS, "Entry VMs known, by state");
    describe_counter!(OPERATIONS, "Operations by operators, by action and outcome");
    describe_counter!(UNAUTHORIZED, "Connections refused for a wrong key");
    describe_counter!(SLOW_READERS, "Slow callers and upstreams, by what is done about it");
    describe_counter!(PANICS, "Panics, each of which ended a task");
    describe_counter!(CLOSINGS, "Connections closed by this process, by listener and reason");
    describe_counter!(CONNECTIONS, "Connections opened to upstreams");
    describe_counter!(
        STRAY_RESPONSES,
        "Responses that belonged to another request and were discarded"
    );
    describe_counter!(
        ATTEMPTS_FAILED,
        "Failed attempts to send a request to an upstream, by reason"
    );
    describe_counter!(PLACEMENTS, "Requests placed or refused, by service, reason and distance");
    describe_histogram!(OBJECTS, "The most objects of an upstream as a multiple of the mean");
    describe_histogram!(ROOM, "The part of an upstream's queue that requests might join");
    describe_counter!(STANDINGS, "Requests of accounts placed or refused, by service and standing");
    describe_histogram!(SHARE, "The share of accounts that ask for more, as a part of that");
    describe_histogram!(SHED, "The part of requests that upstreams with free slots shed");
    describe_histogram!(
        RETRY_AFTER,
        Unit::Seconds,
        "Time until there is room for refused requests"
    );
    describe_counter!(LOG_DROPPED, "Log lines dropped because the queue was full");
    describe_counter!(LOG_SUPPRESSED, "Decision lines suppressed by the rate limit");
}
