use crate::output::Output;
use operator::wire::{Accepted, Domain};

/// Prints an accepted operation as text.
pub fn print(accepted: &Accepted, output: &Output) {
    output.line(&format!(
        "accepted as version {} (operation {})",
        accepted.version, accepted.operation
    ));
    output.line(&format!("installed: {}", installed(&accepted.domains)));
}

/// For each failure domain, how many of its entry VMs have installed the version in force.
pub fn installed(domains: &[Domain]) -> String {
    let counts: Vec<String> = domains
        .iter()
        .map(|domain| format!("{} {} of {}", domain.name, domain.installed, domain.vms))
        .collect();
    counts.join(", ")
}
