//! Which agents may own a flow.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::super::context::AgentContext;
use super::super::local_backend::LocalBackend;
use crate::connection::flow::FlowKey;
use crate::connection::scope::Reach;
use crate::connection::scope::Scope;
use crate::process::neighbours::Neighbours;
use crate::value::moment::Moment;

/// Returns the services whose backend servers probably own a flow: those of its route, or this
/// agent's own if it knows none. Others may as well: the process may never have seen the version
/// under which the flow was opened.
pub(super) fn likely_services(
    context: &AgentContext,
    backend: &LocalBackend,
    flow: &FlowKey,
) -> Reach {
    let services = match context.view.routes.route(flow.service) {
        Some(route) => route.holders().cloned().collect(),
        None => BTreeSet::from([backend.service(context).clone()]),
    };
    Reach::Services(services)
}

/// Returns the agents within `reach` that may own a flow. This agent is one of them only if
/// its table may be incomplete.
pub(super) fn candidates(
    context: &AgentContext,
    backend: &LocalBackend,
    neighbours: &Neighbours,
    reach: &Reach,
    now: Moment,
) -> BTreeSet<SocketAddr> {
    let mut agents = BTreeSet::new();
    match reach {
        Reach::Services(services) => {
            for service in services {
                agents.extend(context.peers(service));
                agents.extend(neighbours.reachable(service, now));
            }
        }
        Reach::Fleet => {
            agents.extend(context.all_peers());
            agents.extend(neighbours.all_reachable(now));
        }
    }
    agents.retain(|l| !has_ended(context, neighbours, *l));
    agents.remove(&context.me.link);
    if !backend.is_complete() {
        agents.insert(context.me.link);
    }
    agents
}

/// Returns whether the agents of all backend servers that may own a flow are known: those that
/// were registered when its first packet came, at `opened`. One that registers later can't have
/// it, and a roster that counts as current may be seconds old.
pub(super) fn knows_all(context: &AgentContext, opened: Moment, now: Moment) -> bool {
    let view = &context.view;
    context.is_settled(now) && view.members_at >= opened && view.roster.lists_all()
}

/// Returns whom a search among `candidates` concerns. Agents whose backend servers have ended
/// are listed and not asked, and a later run at their addresses is.
pub(super) fn scope(
    context: &AgentContext,
    neighbours: &Neighbours,
    reach: Reach,
    candidates: &BTreeSet<SocketAddr>,
) -> Scope {
    let members = context.view.roster.members().iter();
    let listed = members.filter(|m| reach.includes(&m.service)).map(|m| context.link(m));
    let ended = listed.filter(|l| has_ended(context, neighbours, *l)).collect();
    Scope::open(reach, context.view.roster.clone(), candidates, ended)
}

/// Returns whether an agent is registered or was heard from recently.
pub(super) fn is_reachable(
    context: &AgentContext,
    neighbours: &Neighbours,
    link: SocketAddr,
) -> bool {
    let known = context.view.roster.on_vm(link.ip()).is_some() || neighbours.get(link).is_some();
    known && !has_ended(context, neighbours, link)
}

/// Returns whether the backend server of the agent at `link` has ended, as that agent said.
fn has_ended(context: &AgentContext, neighbours: &Neighbours, link: SocketAddr) -> bool {
    let roster = &context.view.roster;
    let unlisted = || roster.unlisted().iter().find(|m| m.address.ip() == link.ip());
    let member = roster.on_vm(link.ip()).or_else(unlisted);
    neighbours.has_ended(link, member.map(|m| &**m))
}
