use crate::names;
use std::panic;

/// Logs and counts every panic, in addition to what is done about it already: a panic ends only the
/// task that it occurs in, and nothing else would tell.
pub(crate) fn report_panics() {
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        metrics::counter!(names::PANICS).increment(1);
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        log::error!(target: "process", location = location.as_str(); "task panicked; it is gone");
        previous(info);
    }));
}
