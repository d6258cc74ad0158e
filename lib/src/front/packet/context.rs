//! State that the parts of an agent share.

use std::net::SocketAddr;
use std::time::Duration;

use super::action::Action;
use super::event::Event;
use super::message::KnownVersions;
use super::message::Message;
use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;
use crate::process::view::View;
use crate::request::warm_up::Allowance;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::tally::Tally;
use crate::version::member::Member;
use crate::version::roster::Roster;

/// Number of homes at which each flow is claimed, so that its record survives
/// the loss of one.
pub const HOME_COUNT: usize = 2;
/// Shortest time for which an unused flow is kept, also before the first routes
/// are in force.
const MIN_IDLE_TIME: Duration = Duration::from_secs(15);

/// Time after its start within which an agent does not conclude that a flow has
/// no owner: agents that started at the same time and are missing from the
/// roster send [`Message::Hello`] first.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Identity of an agent, and the settings that decisions depend on.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its datagram address.
    pub link: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Its run.
    pub run: Incarnation,
    /// Address on which its backend server receives packets.
    pub backend: SocketAddr,
    /// Service of its backend server as long as the roster does not list the server.
    pub service: Name,
    /// Time after which another backend server may use the address of one that is gone.
    pub reuse_delay: Duration,
    /// Time after which the entry of a backend server that is gone is removed
    /// from the store.
    pub entry_ttl: Duration,
    /// Whether the whole fleet starts for the first time, so that no earlier flows exist.
    pub first_start: bool,
    /// How far a cold backend server may be used beyond the rate that its service states;
    /// without it there is no limit.
    pub allowance: Option<Allowance>,
}

/// Identity, view and pending actions of an agent.
#[derive(Debug)]
pub struct AgentContext {
    /// Identity of the agent.
    pub me: Identity,
    /// The routes and the roster that it knows.
    pub view: View,
    /// Counts per reason.
    pub tally: Tally,
    started: Moment,
    actions: Vec<Action>,
}

impl AgentContext {
    /// Creates a context with an empty view.
    pub fn open(me: Identity, now: Moment) -> Self {
        let (view, tally) = (View::default(), Tally::default());
        Self { me, view, tally, started: now, actions: Vec::new() }
    }

    /// Returns whether the roster counts as current and agents that started at the same time
    /// have reported themselves.
    pub fn is_settled(&self, now: Moment) -> bool {
        self.view.fresh && now.since(self.started) >= SETTLE_TIME
    }

    /// Returns the versions that every message carries.
    pub fn known(&self) -> KnownVersions {
        KnownVersions::of(&self.view)
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

    /// Returns the other agents of all services, listed in the configuration or not.
    pub fn all_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let roster = &self.view.roster;
        let links = roster.members().iter().chain(roster.unlisted()).map(|m| self.link(m));
        links.filter(|l| *l != self.me.link)
    }

    /// Returns the homes of a flow of a service.
    pub fn homes(&self, service: &Name, flow: &FlowKey) -> Vec<SocketAddr> {
        self.homes_in(&self.view.roster, service, flow)
    }

    /// Returns the homes of a flow of a service according to `roster`.
    pub fn homes_in(&self, roster: &Roster, service: &Name, flow: &FlowKey) -> Vec<SocketAddr> {
        let pool = roster.pool(service);
        let ranks = pool.into_iter().flat_map(|p| p.ranks(flow.hash(), HOME_COUNT));
        ranks.map(|m| self.link(m)).collect()
    }

    /// Returns the time after which an unused flow may be forgotten.
    pub fn idle(&self) -> Duration {
        self.view.routes.published().idle.max(MIN_IDLE_TIME)
    }

    /// Queues an action.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Queues a message without a packet.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        self.act(Action::Send { to, message, packet: None });
    }

    /// Queues a message with a packet.
    pub fn send_packet(&mut self, to: SocketAddr, message: Message, packet: &Packet) {
        self.act(Action::Send { to, message, packet: Some(packet.clone()) });
    }

    /// Logs a decision and counts its reason.
    pub fn record(&mut self, event: Event) {
        if let Some(reason) = event.reason {
            self.tally.add(reason);
        }
        self.act(Action::Record(event));
    }

    /// Takes the actions queued since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
