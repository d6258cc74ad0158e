//! Which registry entry belongs to the backend server beside an agent.

use std::sync::Arc;
use std::time::Duration;

use crate::process::view::View;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::version::member::Member;

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
    /// belongs to the backend server there: it has the service of the agent's settings,
    /// it follows an entry that belonged to it, or it outlasts `ttl`, after which entries
    /// of former holders are removed.
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
        let follows = self.accepted.as_ref().is_some_and(|a| a.born <= listed.born);
        if !(same || follows || listed.service == *service || self.outlasts(listed, view, ttl, now))
        {
            return None;
        }
        self.doubted = None;
        // In the source's first epoch an entry is never older than one that was read before.
        let first_epoch = view.roster.revision().epoch == 0;
        self.confirmed = view.fresh || first_epoch || (same && self.confirmed);
        self.accepted = Some(listed.clone());
        Some(listed.clone())
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
