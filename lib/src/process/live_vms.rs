//! What the platform's lagging list of live VMs says about peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::value::moment::Moment;
use crate::value::name::Name;

/// Reads in a row that must lack a VM that was listed before.
const ABSENT_READS: u32 = 2;
/// Time for which a VM that was never listed must stay absent.
const NEVER_LISTED: Duration = Duration::from_secs(60);

/// Reads of the live list, compared over time.
#[derive(Clone, Debug, Default)]
pub struct LiveVms {
    listed: BTreeSet<Name>,
    absent: BTreeMap<Name, (u32, Moment)>,
}

impl LiveVms {
    /// Takes in one read of the list; returns those of `silent` whose VM is gone.
    ///
    /// Only peers that are presumed dead are `silent`: the list lags, so it
    /// never speaks against a peer that answers.
    pub fn read(
        &mut self,
        list: &BTreeSet<Name>,
        silent: &BTreeSet<Name>,
        now: Moment,
    ) -> Vec<Name> {
        self.listed.extend(list.iter().cloned());
        self.absent.retain(|name, _| silent.contains(name) && !list.contains(name));
        let mut gone = Vec::new();
        for name in silent.iter().filter(|n| !list.contains(*n)) {
            let (reads, since) = self.absent.entry(name.clone()).or_insert((0, now));
            *reads += 1;
            let dropped = self.listed.contains(name) && *reads >= ABSENT_READS;
            if dropped || now.since(*since) >= NEVER_LISTED {
                gone.push(name.clone());
            }
        }
        for name in &gone {
            self.listed.remove(name);
            self.absent.remove(name);
        }
        gone
    }
}
