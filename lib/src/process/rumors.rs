//! Gossip of notices over the fleet.

use std::collections::HashMap;
use std::collections::VecDeque;

use super::notice::Notice;
use crate::value::name::Name;

/// Times that a process sends a notice on. With two receivers a round, fewer than
/// one process in 1,000 misses a notice that each process sends eight times.
const PASSES: u32 = 8;
/// Agents whose latest notice is remembered, so that an older one is not accepted
/// again.
const MAX_KNOWN: usize = 8_192;

/// Notices that a process has received and sends on a few times each.
#[derive(Clone, Debug, Default)]
pub struct Rumors {
    known: HashMap<Name, u64>,
    order: VecDeque<Name>,
    hot: VecDeque<(Notice, u32)>,
}

impl Rumors {
    /// Adds a notice; returns whether it is new.
    pub fn insert(&mut self, notice: &Notice) -> bool {
        match self.known.get(&notice.agent) {
            Some(stamp) if *stamp >= notice.stamp => return false,
            Some(_) => {}
            None => self.order.push_back(notice.agent.clone()),
        }
        self.known.insert(notice.agent.clone(), notice.stamp);
        self.hot.retain(|(n, _)| n.agent != notice.agent);
        self.hot.push_back((notice.clone(), PASSES));
        while self.order.len() > MAX_KNOWN {
            let oldest = self.order.pop_front();
            oldest.map(|name| self.known.remove(&name));
        }
        self.hot.truncate(MAX_KNOWN);
        true
    }

    /// Returns up to `count` notices to send on, those sent least often first.
    pub fn pass_on(&mut self, count: usize) -> Vec<Notice> {
        let taken: Vec<_> = (0..count).filter_map(|_| self.hot.pop_front()).collect();
        let notices = taken.iter().map(|(n, _)| n.clone()).collect();
        let left = taken.into_iter().filter(|(_, passes)| *passes > 1);
        self.hot.extend(left.map(|(n, passes)| (n, passes - 1)));
        notices
    }
}
