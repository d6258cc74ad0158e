//! Ownership claims that the homes of flows have not acknowledged.

use std::collections::BTreeMap;
use std::time::Duration;

use super::flow::FlowKey;
use super::ownership::Ownership;
use crate::process::context::Context;
use crate::process::message::Message;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Time after which an unacknowledged claim is sent again.
const CLAIM_RETRY: Duration = Duration::from_millis(500);

/// A flow with the ownership that is claimed.
pub type Claim = (FlowKey, Ownership);

/// Unacknowledged claims by home and flow, with the time each was last sent.
#[derive(Debug, Default)]
pub struct Claims {
    pending: BTreeMap<(Name, FlowKey), Moment>,
}

impl Claims {
    /// Opens an empty set.
    pub fn open() -> Self {
        Self::default()
    }

    /// Sends claims to `home` and remembers them until they are acknowledged.
    pub fn send(&mut self, context: &mut Context, home: &Name, flows: Vec<Claim>, now: Moment) {
        if flows.is_empty() {
            return;
        }
        self.pending.extend(flows.iter().map(|(f, _)| ((home.clone(), *f), now)));
        context.send(home, Message::Claims { flows });
    }

    /// Removes the claims that `home` has acknowledged.
    pub fn acknowledged(&mut self, home: &Name, flows: &[FlowKey]) {
        for flow in flows {
            self.pending.remove(&(home.clone(), *flow));
        }
    }

    /// Removes the claims of a flow that has ended or has another owner.
    pub fn drop_flow(&mut self, flow: &FlowKey) {
        self.pending.retain(|(_, f), _| f != flow);
    }

    /// Removes the claims to an agent whose VM was removed.
    pub fn drop_home(&mut self, home: &Name) {
        self.pending.retain(|(h, _), _| h != home);
    }

    /// Takes out the claims to send again, by home.
    pub fn due(&mut self, now: Moment) -> BTreeMap<Name, Vec<FlowKey>> {
        let late = |t: &Moment| now.since(*t) >= CLAIM_RETRY;
        let mut due: BTreeMap<Name, Vec<FlowKey>> = BTreeMap::new();
        self.pending.retain(|(home, flow), sent| {
            let is_late = late(sent);
            if is_late {
                due.entry(home.clone()).or_default().push(*flow);
            }
            !is_late
        });
        due
    }
}
