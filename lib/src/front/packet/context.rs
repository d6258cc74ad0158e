//! What all parts of an agent share.

use std::net::SocketAddr;
use std::time::Duration;

use super::action::Action;
use super::event::Event;
use super::message::KnownVersions;
use super::message::Message;
use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;
use crate::process::view::View;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::tally::Tally;
use crate::version::member::Member;
use crate::version::roster::Roster;

/// Homes at which each flow is claimed, so that one may be lost.
pub const HOME_COUNT: usize = 2;
/// Time for which a flow is kept while no version says how long flows last.
const MIN_IDLE_TIME: Duration = Duration::from_secs(15);

/// Time after a start in which an agent does not take a flow for absent: others
/// that started with it, and that the roster does not have, say hello first.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Who an agent is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its address for datagrams.
    pub link: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Its run.
    pub run: Incarnation,
    /// Address on which its backend server takes packets.
    pub backend: SocketAddr,
    /// Service of its backend server, until the roster says so.
    pub service: Name,
    /// Time after which the address of a backend server that is gone may be
    /// used again by another one.
    pub reuse_delay: Duration,
    /// Time after which the entry of a backend server that is gone is removed.
    pub entry_ttl: Duration,
    /// Whether the whole fleet starts for the first time, so that there are no
    /// flows from before.
    pub first_start: bool,
}

/// Identity, knowledge and pending steps of an agent.
#[derive(Debug)]
pub struct AgentContext {
    /// Who the agent is.
    pub me: Identity,
    /// What it knows.
    pub view: View,
    /// Counts per reason.
    pub tally: Tally,
    started: Moment,
    actions: Vec<Action>,
}

impl AgentContext {
    /// Opens without any knowledge.
    pub fn open(me: Identity, now: Moment) -> Self {
        let (view, tally) = (View::default(), Tally::default());
        Self { me, view, tally, started: now, actions: Vec::new() }
    }

    /// Returns whether all that may have a flow are known, so that one that
    /// nobody has is absent.
    pub fn is_settled(&self, now: Moment) -> bool {
        self.view.fresh && now.since(self.started) >= SETTLE_TIME
    }

    /// Returns what every message tells of the process's knowledge.
    pub fn known(&self) -> KnownVersions {
        KnownVersions { routes: self.view.routes.version(), roster: self.view.roster.revision() }
    }

    /// Returns the address of the agent beside a backend server.
    pub fn link(&self, member: &Member) -> SocketAddr {
        SocketAddr::new(member.address.ip(), self.me.link.port())
    }

    /// Returns the other agents of a service.
    pub fn peers(&self, service: &Name) -> Vec<SocketAddr> {
        let members = self.view.roster.pool(service).map_or(&[][..], |p| p.members());
        members.iter().map(|m| self.link(m)).filter(|l| *l != self.me.link).collect()
    }

    /// Returns the homes of a flow of a service.
    pub fn homes(&self, service: &Name, flow: &FlowKey) -> Vec<SocketAddr> {
        self.homes_in(&self.view.roster, service, flow)
    }

    /// Returns the homes of a flow of a service by a roster.
    pub fn homes_in(&self, roster: &Roster, service: &Name, flow: &FlowKey) -> Vec<SocketAddr> {
        let pool = roster.pool(service);
        let ranks = pool.into_iter().flat_map(|p| p.ranks(flow.hash(), HOME_COUNT));
        ranks.map(|m| self.link(m)).collect()
    }

    /// Returns the time after which an unused flow may be forgotten.
    pub fn idle(&self) -> Duration {
        self.view.routes.published().idle.max(MIN_IDLE_TIME)
    }

    /// Adds a step.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message without a packet.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        self.act(Action::Send { to, message, packet: None });
    }

    /// Sends a message with a packet.
    pub fn send_packet(&mut self, to: SocketAddr, message: Message, packet: &Packet) {
        self.act(Action::Send { to, message, packet: Some(packet.clone()) });
    }

    /// Writes down a decision, and counts its reason.
    pub fn record(&mut self, event: Event) {
        if let Some(reason) = event.reason {
            self.tally.add(reason);
        }
        self.act(Action::Record(event));
    }

    /// Takes the steps since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
