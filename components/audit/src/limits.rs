use crate::{Draft, Field, Finding, Kind, Place, Rule};
use clock::Millis;

/// What is wrong with the limits on what callers may send.
pub fn inspect(draft: &Draft, findings: &mut Vec<Finding>) {
    if draft.limits.is_empty() && draft.is_complete(Kind::Limits) {
        let problem = "there are no limits on what callers may send";
        findings.push(Finding::new(Rule::NoLimits, Place::default(), problem));
    }
    for entry in draft.limits.iter().skip(1) {
        let problem = "there are limits before these, which don't hold";
        findings.push(Finding::new(Rule::RepeatedLimits, entry.place(), problem));
    }
    for entry in &draft.limits {
        let limits = &entry.value;
        let mut push = |rule, field, problem: &str| {
            findings.push(Finding::new(rule, entry.place().at(field), problem));
        };
        let sizes =
            [(Field::HeadBytes, limits.head_bytes as u64), (Field::BodyBytes, limits.body_bytes)];
        for (field, _) in sizes.into_iter().filter(|(_, bytes)| *bytes == 0) {
            push(Rule::NoBytes, field, "the limit lets nothing through");
        }
        let times =
            [(Field::HeadTimeout, limits.head_timeout), (Field::IdleTimeout, limits.idle_timeout)];
        for (field, _) in times.into_iter().filter(|(_, time)| *time == Millis(0)) {
            push(Rule::NoTime, field, "the time is 0, so that connections end at once");
        }
        if limits.head_bytes as u64 > limits.body_bytes {
            push(Rule::HeadAboveBody, Field::HeadBytes, "the head may be longer than the body");
        }
    }
}
