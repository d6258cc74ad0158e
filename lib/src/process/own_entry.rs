//! Which registry entry belongs to the backend server beside an agent.

use std::sync::Arc;
use std::time::Duration;

use crate::process::view::View;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::version::member::Member;
use crate::version::revision::FIRST_EPOCH;

/// Tells the entry of the backend server beside an agent from that of a former holder of
/// its address. A process that starts, or the source itself, may know an old roster.
#[derive(Debug, Default)]
pub struct OwnEntry {
    accepted: Option<Arc<Member>>,
    doubted: Option<(Arc<Member>, Moment)>,
    // Whether the accepted entry is certainly not one of an older copy of the source.
    confirmed: bool,
}

impl OwnEntry {
    /// Returns `listed`, the entry that the roster has under the agent's address, if it
    /// belongs to the backend server there: it follows an entry that belonged to it, or, as
    /// the first, has the service of the agent's settings, or it outlasts `ttl`, after which
    /// entries of former holders are removed. An entry of an earlier run than the accepted
    /// one belongs to no backend server that runs, unless it outlasts `ttl`: then the clock
    /// of its VM was set back.
    ///
    /// If the source has come back from a copy, a process that has just started may read the
    /// copy's entry of a former holder. The first entry is then accepted only when the
    /// process has read the source for long enough that backend servers have written theirs
    /// again.
    pub fn check(
        &mut self,
        listed: Option<&Arc<Member>>,
        service: &Name,
        view: &View,
        ttl: Duration,
        now: Moment,
    ) -> Option<Arc<Member>> {
        let Some(listed) = listed else {
            self.doubted = None;
            return None;
        };
        let same = self.accepted.as_ref().is_some_and(|a| a.same_run(listed));
        // In the source's first epoch an entry is never older than one that was read before.
        let first_epoch = view.roster.revision().epoch == 0;
        let restored = view.roster.revision().epoch > FIRST_EPOCH;
        let believed = match &self.accepted {
            // Another name may start at the address in the same millisecond.
            Some(accepted) => accepted.born <= listed.born,
            None => listed.service == *service && (view.fresh || !restored),
        };
        if !(same || believed || self.outlasts(listed, view, ttl, now)) {
            return None;
        }
        self.doubted = None;
        self.confirmed = view.fresh || first_epoch || (same && self.confirmed);
        self.accepted = Some(listed.clone());
        Some(listed.clone())
    }

    /// Returns the last accepted entry.
    pub fn accepted(&self) -> Option<&Arc<Member>> {
        self.accepted.as_ref()
    }

    /// Returns whether the last accepted entry is certain to have been the present one. The
    /// entry that replaces one that was not may belong to the same run of the backend server.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    fn outlasts(&mut self, listed: &Arc<Member>, view: &View, ttl: Duration, now: Moment) -> bool {
        let since = match &self.doubted {
            Some((doubted, since)) if doubted.same_run(listed) => *since,
            _ => {
                self.doubted = Some((listed.clone(), now));
                now
            }
        };
        view.fresh && view.read_at >= since + ttl
    }
}
