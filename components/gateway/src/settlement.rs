//! A row of the store that says in which era operators have written again what the store lacked when
//! it came back from an older copy. A process that starts long after can't tell otherwise. See
//! docs/design/eras.md.

use crate::core::Core;
use crate::ledger::{Ledger, Written};
use clock::Millis;
use errors::{Error, Kind};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use steering::catalogue::Feed;
use steering::readers::Role;

/// How often this VM checks whether there is anything to do in an era that the row doesn't state yet.
const CHECK_INTERVAL: Millis = Millis(500);

#[derive(Debug, Serialize, Deserialize)]
struct Row {
    era: u64,
}

/// Reads and writes the row when an era is new to this VM, until the process ends. Does nothing where
/// keys may be withdrawn without a bound.
pub async fn follow(core: Rc<Core>, mut ledger: Box<dyn Ledger>) {
    let mut stated = 0;
    let mut is_failing = false;
    loop {
        let era = core.key_confirmation.get().era();
        if era == stated {
            core.era_began.notified().await;
            continue;
        }
        if is_due(&core) {
            match state(&core, ledger.as_mut(), era).await {
                Ok(true) => {
                    stated = era;
                    continue;
                }
                Ok(false) => is_failing = false,
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        log::warn!(
                            target: "store", era = era, cause:% = error;
                            "can't use the row on the store's eras; retrying"
                        );
                    }
                }
            }
        }
        tokio::select! {
            () = core.clock.sleep(CHECK_INTERVAL) => {}
            () = core.era_began.notified() => {}
        }
    }
}

/// Whether the row may shorten the time for which this VM refuses keys, or is to be written by it.
fn is_due(core: &Core) -> bool {
    if core.settings().bounds.withdrawal.is_none() || core.table.borrow().accounts().is_empty() {
        return false;
    }
    match core.key_confirmation.get().is_settled(core.clock.now()) {
        true => core.role(Feed::Operators) == Role::Reader,
        false => !core.serves_keys(),
    }
}

/// Reads the row, and writes it if this VM knows more. Returns whether it states `era`.
async fn state(core: &Core, ledger: &mut dyn Ledger, era: u64) -> Result<bool, Error> {
    let entry = ledger.read().await?;
    if entry.era != era {
        return Ok(false);
    }
    // A row that can't be read is written anew.
    let row = entry.value.as_deref().and_then(|value| rmp_serde::from_slice::<Row>(value).ok());
    if row.is_some_and(|row| row.era == era) {
        core.settle_era(era, "store");
        return Ok(true);
    }
    if !core.key_confirmation.get().is_settled(core.clock.now()) {
        return Ok(false);
    }
    let failed = |cause| Error::new(Kind::Internal, format!("can't encode the row: {cause}"));
    let value = rmp_serde::to_vec(&Row { era }).map_err(failed)?;
    let written = ledger.write(&value, entry.version).await?;
    Ok(matches!(written, Written::Done { era: written, .. } if written == era))
}
