//! `heatherbend explain BLOCK SERVICE`.

use crate::failure::Failure;
use crate::output::Output;
use crate::remote::Remote;
use argh::FromArgs;
use operator::wire::{Explain, Explanation};

/// Say why callers of a block get the look-up answer that they get.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "heatherbend explain 10.1.3.0/24 status-desk --settings node.ini"
)]
pub struct Args {
    /// the callers' block, as an IPv4 network such as 10.1.3.0/24
    #[argh(positional)]
    block: String,
    /// the service
    #[argh(positional)]
    service: String,
}

/// Prints why callers of a block get their look-up response.
pub async fn run(args: Args, remote: &Remote, output: &Output) -> Result<(), Failure> {
    let query = Explain { block: args.block.into(), service: args.service.into() };
    let explanation = remote.connect()?.explain(query).await?;
    print(&explanation, output);
    output.document(&explanation);
    Ok(())
}

fn print(explanation: &Explanation, output: &Output) {
    let Explanation { block, service, site, region, reason, lease, version, plan, entries } =
        explanation;
    output.line(&format!("{block} at site {site}, service {service}"));
    output.line(&format!("region {region}: {reason}"));
    output.line(&format!("lease {} s", lease.0 / 1000));
    output.line(&format!("version {version}, plan {}.{}", plan.epoch, plan.sequence));
    for (index, entry) in entries.iter().enumerate() {
        output.line(&format!(
            "{}. {} in {} at {}: {}",
            index + 1,
            entry.vm,
            entry.domain,
            entry.address,
            entry.reason
        ));
    }
}
