use crate::output::Output;
use operator::wire::{Accepted, Domain};

/// Prints an act that was accepted, for people.
pub fn print(accepted: &Accepted, output: &Output) {
    output.line(&format!(
        "accepted as version {} (operation {})",
        accepted.version, accepted.operation
    ));
    output.line(&format!("installed: {}", domains(&accepted.domains)));
}

/// How many entry VMs of each failure domain have the version in force.
pub fn domains(domains: &[Domain]) -> String {
    let shown: Vec<String> = domains
        .iter()
        .map(|domain| format!("{} {} of {}", domain.name, domain.installed, domain.vms))
        .collect();
    shown.join(", ")
}
