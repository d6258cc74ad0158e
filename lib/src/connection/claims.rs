//! Claims that the homes of flows have not acknowledged.

use std::collections::BTreeMap;
use std::time::Duration;

use super::flow::FlowKey;
use super::ownership::Ownership;
use crate::process::context::Context;
use crate::process::message::Message;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Time after which an unanswered claim is repeated.
const CLAIM_RETRY: Duration = Duration::from_millis(500);

/// A flow with the stamp under which it is claimed.
pub type Claim = (FlowKey, Ownership);

/// Claims by home and flow, with when each was last sent.
#[derive(Debug, Default)]
pub struct Claims {
    pending: BTreeMap<(Name, FlowKey), Moment>,
}

impl Claims {
    /// Opens without claims.
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

    /// Takes in that `home` has answered.
    pub fn acknowledged(&mut self, home: &Name, flows: &[FlowKey]) {
        for flow in flows {
            self.pending.remove(&(home.clone(), *flow));
        }
    }

    /// Gives up the claims of a flow that is owned elsewhere or over.
    pub fn drop_flow(&mut self, flow: &FlowKey) {
        self.pending.retain(|(_, f), _| f != flow);
    }

    /// Gives up the claims to an agent that is gone.
    pub fn drop_home(&mut self, home: &Name) {
        self.pending.retain(|(h, _), _| h != home);
    }

    /// Takes the claims to repeat, by home.
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
