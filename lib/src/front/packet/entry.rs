//! Decisions of an entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use super::action::Action;
use super::event::Decision;
use super::event::Event;
use super::message::KnownVersions;
use super::message::Message;
use super::version_queries::VersionQueries;
use crate::connection::dropped_flows::DroppedFlows;
use crate::connection::flow::FlowKey;
use crate::connection::hints::Hints;
use crate::connection::hints::Owner;
use crate::connection::segment::Packet;
use crate::connection::segment::Segment;
use crate::connection::unrouted::HOME_TIMEOUT;
use crate::connection::unrouted::Unrouted;
use crate::connection::unrouted::UnroutedFlows;
use crate::process::view::View;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;
use crate::value::tally::Tally;
use crate::version::member::Member;

/// Maximum number of homes tried for one packet.
const MAX_HOMES: usize = 3;
/// Time for which a home that did not answer is skipped.
const SUSPECT_TIME: Duration = Duration::from_secs(1);
/// Time between two removals of unused hints.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time for which an unused hint is kept, also before the first routes
/// are in force.
const MIN_IDLE_TIME: Duration = Duration::from_secs(15);

/// An entry. No flow depends on its state, which may be lost at any time.
#[derive(Debug)]
pub struct Entry {
    domain: Name,
    port: u16,
    view: View,
    hints: Hints,
    unrouted: UnroutedFlows,
    dropped: DroppedFlows,
    // Latest version of the routes that an agent has named.
    latest_routes: u64,
    suspects: HashMap<SocketAddr, Moment>,
    expired_at: Moment,
    queries: VersionQueries,
    rng: Pcg64Mcg,
    tally: Tally,
    actions: Vec<Action>,
}

impl Entry {
    /// Creates an entry in a failure domain; agents receive datagrams on
    /// `port`. `seed` seeds its random choices.
    pub fn open(domain: Name, port: u16, seed: u64, now: Moment) -> Self {
        Self {
            domain,
            port,
            view: View::default(),
            hints: Hints::default(),
            unrouted: UnroutedFlows::default(),
            dropped: DroppedFlows::default(),
            latest_routes: 0,
            suspects: HashMap::new(),
            expired_at: now,
            queries: VersionQueries::open(None, port, seed, now),
            rng: Pcg64Mcg::seed_from_u64(seed),
            tally: Tally::default(),
            actions: Vec::new(),
        }
    }

    /// Applies the routes and the roster that the process knows now.
    pub fn update_view(&mut self, view: View) {
        if !Arc::ptr_eq(&view.roster, &self.view.roster) {
            self.queries.update(&view.roster);
        }
        self.view = view;
    }

    /// Returns the versions that every message carries.
    pub fn known(&self) -> KnownVersions {
        KnownVersions::of(&self.view)
    }

    /// Takes the actions queued since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the counts per reason.
    pub fn tally(&mut self) -> &mut Tally {
        &mut self.tally
    }

    /// Returns the number of flows whose owner is remembered.
    pub fn hints(&self) -> usize {
        self.hints.count()
    }

    /// Returns the owner of a flow if it is remembered.
    pub fn hint(&self, flow: &FlowKey) -> Option<Owner> {
        self.hints.peek(flow)
    }

    /// Returns whether packets wait for a home's answer.
    pub fn has_pending(&self) -> bool {
        !self.unrouted.is_empty()
    }

    /// Handles a packet of a caller.
    pub fn handle_packet(&mut self, packet: Packet, now: Moment) {
        let segment = packet.segment;
        let Some(route) = self.view.routes.route(segment.flow.service).cloned() else {
            self.unknown_address(&packet, now);
            return;
        };
        let repeated = segment.is_opening() && segment.attempt > 0;
        // What is known belongs to an earlier flow between the same addresses.
        let hint = if segment.is_opening() { None } else { self.hints.find(&segment, now) };
        if let Some(owner) = hint {
            self.deliver(owner, packet);
            return;
        }
        // This applies to established flows too: their home belongs to the
        // service that the route selects by the flow's hash.
        let Some(service) = route.service(segment.flow.hash()).cloned() else {
            self.refuse(&packet, Reason::NoService);
            return;
        };
        if let Some(home) = self.unrouted.hold(&packet).filter(|_| !repeated) {
            self.route(home, service, false, packet);
            return;
        }
        let unrouted = Unrouted { service, packets: vec![packet], tried: Vec::new(), due: now };
        self.try_home(unrouted, now);
    }

    /// Handles a message of an agent.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        known: KnownVersions,
        message: Message,
        now: Moment,
    ) {
        self.suspects.remove(&from);
        self.latest_routes = self.latest_routes.max(known.routes);
        if known.exceed(&self.known()) {
            self.actions.push(Action::Behind { peer: from, known });
        }
        match message {
            Message::Found { flow, owner } => {
                self.hints.add(flow, owner, now);
                self.unrouted.end(&flow);
            }
            Message::Accepted { flow } => self.unrouted.end(&flow),
            Message::NotOwner { flow } => self.hints.remove(&flow, from),
            Message::VersionReply { .. } => {
                let mine = self.known();
                self.actions.extend(self.queries.handle_reply(from, known, mine, &message, now));
            }
            _ => self.tally.add(Reason::WrongService),
        }
    }

    /// Handles timeouts and periodic work.
    pub fn tick(&mut self, now: Moment) {
        for unrouted in self.unrouted.overdue(now) {
            if let Some(home) = unrouted.tried.last() {
                self.suspects.insert(*home, now + SUSPECT_TIME);
            }
            self.try_home(unrouted, now);
        }
        self.query_versions(now);
        if now.since(self.expired_at) >= EXPIRE_INTERVAL {
            self.expired_at = now;
            let idle = self.view.routes.published().idle.max(MIN_IDLE_TIME);
            self.hints.expire(idle, now);
            self.dropped.expire(now);
            self.suspects.retain(|_, until| *until > now);
        }
    }

    /// Asks observers whether this process's knowledge is current, if that is due.
    fn query_versions(&mut self, now: Moment) {
        if !self.queries.is_due(now) {
            return;
        }
        let any = self.view.roster.members().choose(&mut self.rng).map(|m| self.link(m));
        for (to, number) in self.queries.ask(&self.view, any, now) {
            let message = Message::VersionQuery { number };
            self.actions.push(Action::Send { to, message, packet: None });
        }
    }

    /// Sends the packets of a flow to the next of its homes.
    fn try_home(&mut self, mut unrouted: Unrouted, now: Moment) {
        let Some(first) = unrouted.packets.first() else { return };
        let flow = first.segment.flow;
        let Some(home) = self.next_home(&unrouted, &flow, now) else {
            let reason =
                if unrouted.tried.is_empty() { Reason::NoBackend } else { Reason::Suspected };
            let refuses = unrouted.tried.is_empty() && self.view.has_roster();
            if refuses && first.segment.is_opening() {
                let first = first.clone();
                self.refuse(&first, reason);
            } else {
                self.drop_packet(&flow, reason);
            }
            return;
        };
        if !unrouted.tried.is_empty() {
            self.tally.add(Reason::Suspected);
            let event = Event::of(Decision::NextHome).flow(flow).peer(home);
            self.actions.push(Action::Record(event.value(unrouted.tried.len() as u64)));
        }
        unrouted.tried.push(home);
        unrouted.due = now + HOME_TIMEOUT;
        let sole = unrouted.tried.len() == 1;
        for packet in &unrouted.packets {
            self.route(home, unrouted.service.clone(), sole, packet.clone());
        }
        self.unrouted.start(flow, unrouted);
    }

    /// Returns the next home of a flow that has not been tried, preferably one
    /// that is not suspected.
    fn next_home(&self, unrouted: &Unrouted, flow: &FlowKey, now: Moment) -> Option<SocketAddr> {
        if unrouted.tried.len() >= MAX_HOMES {
            return None;
        }
        let pool = self.view.roster.pool(&unrouted.service)?;
        let links = pool.ranks(flow.hash(), pool.members().len()).map(|m| self.link(m));
        let rest: Vec<_> = links.filter(|l| !unrouted.tried.contains(l)).collect();
        let suspect = |l: &SocketAddr| self.suspects.get(l).is_some_and(|until| *until > now);
        // If all are suspected, the first is tried.
        rest.iter().find(|l| !suspect(l)).or(rest.first()).copied()
    }

    fn link(&self, member: &Member) -> SocketAddr {
        SocketAddr::new(member.address.ip(), self.port)
    }

    fn route(&mut self, home: SocketAddr, service: Name, sole: bool, packet: Packet) {
        let message = Message::Route { service, domain: self.domain.clone(), sole };
        self.actions.push(Action::Send { to: home, message, packet: Some(packet) });
    }

    fn deliver(&mut self, owner: Owner, packet: Packet) {
        // The receiver uses the datagram's source address as the entry.
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let message = Message::Deliver { entry: unset, direct: true };
        self.actions.push(Action::Send { to: owner.link, message, packet: Some(packet) });
    }

    /// Handles a packet to an address that no route has.
    fn unknown_address(&mut self, packet: &Packet, now: Moment) {
        let segment = &packet.segment;
        if self.view.routes.version() == 0 {
            self.drop_packet(&segment.flow, Reason::NoService);
            return;
        }
        let dropped = self.view.routes.dropped(segment.flow.service);
        // An established flow may belong to a later version of the routes than
        // this entry has, but not if it was opened through this entry under the version
        // before.
        match self.hints.find(segment, now) {
            _ if segment.is_opening() => self.refuse(packet, Reason::NoService),
            Some(_) if dropped => self.refuse(packet, Reason::NoService),
            Some(owner) => self.deliver(owner, packet.clone()),
            None if dropped && self.is_over(segment, now) => {
                self.refuse(packet, Reason::NoService);
            }
            None => self.drop_packet(&segment.flow, Reason::NoService),
        }
    }

    /// Returns whether a flow whose route was dropped was not opened under later routes than
    /// this entry has.
    fn is_over(&mut self, segment: &Segment, now: Moment) -> bool {
        let latest = self.view.routes.version() >= self.latest_routes;
        let confirmed = (self.view.fresh && latest).then_some(self.view.read_at);
        self.dropped.is_over(segment, confirmed, now)
    }

    fn refuse(&mut self, packet: &Packet, reason: Reason) {
        let segment = &packet.segment;
        self.tally.add(reason);
        if segment.flags.aborts {
            return;
        }
        let event = Event::of(Decision::Refused).reason(reason).flow(segment.flow);
        self.actions.push(Action::Record(event.value(self.view.routes.version())));
        let seq = if segment.is_opening() { 0 } else { segment.ack };
        self.actions.push(Action::Reset { flow: segment.flow, seq });
    }

    fn drop_packet(&mut self, flow: &FlowKey, reason: Reason) {
        self.tally.add(reason);
        let event = Event::of(Decision::Dropped).reason(reason).flow(*flow);
        self.actions.push(Action::Record(event));
    }
}
