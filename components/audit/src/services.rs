use crate::inspect::find_repeated_names;
use crate::{Draft, Field, Finding, Kind, Rule};
use clock::Millis;
use std::collections::HashSet;
use steering::routing::Service;

/// What is wrong with the services.
pub fn inspect(draft: &Draft, findings: &mut Vec<Finding>) {
    find_repeated_names(&draft.services, findings);
    let targets = draft.routes.iter().flat_map(|route| &route.value.targets);
    let used: HashSet<_> = targets.map(|target| &target.service).collect();
    let is_complete = draft.is_complete(Kind::Route);
    for entry in &draft.services {
        let service = &entry.value;
        let mut push = |rule, field, problem: &str| {
            findings.push(Finding::new(rule, entry.place().at(field), problem));
        };
        if is_complete && !used.contains(&service.name) {
            push(Rule::UnusedService, Field::Name, "no route names the service");
        }
        if !service.health_path.starts_with('/') {
            let problem = "the path of the health check doesn't begin with a slash";
            push(Rule::BadHealthPath, Field::HealthPath, problem);
        }
        if service.connections == 0 {
            push(Rule::NoConnections, Field::Connections, "upstreams accept no connection");
        }
        if !bears_cold(service) {
            push(Rule::BadColdRate, Field::ColdRate, "cold upstreams get no sensible rate");
        }
    }
}

/// Whether the rate of cold upstreams fits the time that they stay cold.
fn bears_cold(service: &Service) -> bool {
    let starts_cold = service.cold_span > Millis(0);
    service.cold_rate.is_finite()
        && service.cold_rate >= 0.0
        && (service.cold_rate > 0.0 || !starts_cold)
}
