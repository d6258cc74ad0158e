//! Decisions of an agent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::desk::Desk;
use super::desk::Identity;
use super::event::Decision;
use super::event::Event;
use super::home::Home;
use super::host::Host;
use super::host::NotServed;
use super::message::Known;
use super::message::Message;
use super::placer::Placer;
use super::step::Step;
use crate::connection::flow::FlowKey;
use crate::connection::hints::Owner;
use crate::connection::placement::Placement;
use crate::connection::segment::Packet;
use crate::process::neighbours::Neighbour;
use crate::process::neighbours::beat_interval;
use crate::process::view::View;
use crate::process::vitals::Lifeline;
use crate::process::wakeup::Wakeup;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;
use crate::value::tally::Tally;

/// Time between two searches for what is no longer used.
const EXPIRE: Duration = Duration::from_secs(1);
/// Time between two questions to agents of any service.
const ASK: Duration = Duration::from_millis(500);
/// Copies of an opening packet that go to the backend server which answered
/// the first one; with the next the caller has waited for 600 ms.
const COPIES_TO_OWNER: u8 = 1;

/// The agent beside one backend server.
#[derive(Debug)]
pub struct Agent {
    desk: Desk,
    host: Host,
    home: Home,
    placer: Placer,
    wakeup: Wakeup,
    pauses: u64,
    greeted: bool,
    took: bool,
    beat: Moment,
    asked: Moment,
    expired: Moment,
}

impl Agent {
    /// Opens an agent that knows nothing yet.
    pub fn open(me: Identity, now: Moment) -> Self {
        let (run, complete) = (me.run, me.first_start);
        Self {
            desk: Desk::open(me, now),
            host: Host::open(complete, now),
            home: Home::default(),
            placer: Placer::open(run.0),
            wakeup: Wakeup::open(now),
            pauses: 0,
            greeted: false,
            took: false,
            beat: now,
            asked: now,
            expired: now,
        }
    }

    /// Takes in what the process knows now.
    pub fn enforce(&mut self, view: View, now: Moment) {
        let before = std::mem::replace(&mut self.desk.view, view);
        self.host.enforce(&mut self.desk, now);
        if before.roster.revision() != self.desk.view.roster.revision() {
            self.claim_at_new_homes(&before, now);
        }
        if !self.greeted {
            let service = self.host.service(&self.desk).clone();
            for link in self.desk.others(&service) {
                self.greeted = true;
                self.desk.send(link, Message::Hello);
            }
        }
    }

    /// Returns what every message tells of the process's knowledge.
    pub fn known(&self) -> Known {
        self.desk.known()
    }

    /// Takes the steps of the decisions since the last call.
    pub fn take_steps(&mut self) -> Vec<Step> {
        self.desk.take_steps()
    }

    /// Returns the counts per reason.
    pub fn tally(&mut self) -> &mut Tally {
        &mut self.desk.tally
    }

    /// Returns the number of flows of the backend server.
    pub fn flows(&self) -> usize {
        self.host.served().count()
    }

    /// Returns the number of flows recorded as their home.
    pub fn records(&self) -> usize {
        self.home.records()
    }

    /// Returns who owns a flow, as far as this agent knows.
    pub fn owner(&self, flow: &FlowKey) -> Option<Owner> {
        let mine = self.host.served().get(flow);
        let mine = mine.map(|s| Owner { link: self.desk.me.link, isn: s.isn() });
        mine.or_else(|| self.home.owner(flow))
    }

    /// Returns whether something is due within milliseconds.
    pub fn is_waiting(&self) -> bool {
        self.placer.is_waiting() || self.home.is_waiting()
    }

    /// Returns whether the backend server takes new flows.
    pub fn takes(&self, now: Moment) -> bool {
        self.host.takes(now)
    }

    /// Begins a planned stop: others place nothing here any more.
    pub fn leave(&mut self, now: Moment) {
        self.host.leave();
        self.tell(now);
    }

    /// Takes a message of another process, with the packet that it carries.
    pub fn message(
        &mut self,
        from: SocketAddr,
        known: Known,
        message: Message,
        packet: Option<Packet>,
        now: Moment,
    ) {
        self.placer.neighbours.alive(from, now);
        let mine = self.desk.known();
        if known.routes > mine.routes || known.roster > mine.roster {
            self.desk.step(Step::Behind { peer: from, known });
        }
        match packet {
            Some(packet) => self.carried(from, message, packet, now),
            None => self.told(from, message, now),
        }
    }

    /// Takes a packet of the backend server.
    pub fn backend_packet(&mut self, packet: Packet, now: Moment) {
        if packet.segment.flags.returned {
            self.host.heard(now);
            self.returned(packet, now);
            return;
        }
        let segment = packet.segment;
        if let Some(served) = self.host.sent(&mut self.desk, &segment, now) {
            self.placer.taken(&segment.flow);
            let event = Event::of(Decision::Opened).flow(segment.flow);
            if segment.flags.opens {
                self.desk.record(event.value(u64::from(segment.seq)));
            }
            self.announce(&segment.flow, served.entry(), served.isn(), now);
            if let Some(search) = self.home.found_here(&mut self.desk, &segment.flow) {
                for packet in search.held {
                    self.deliver(search.entry, false, packet, now);
                }
            }
        }
        self.desk.step(Step::Caller(packet));
    }

    /// Takes in that the backend server's address refuses packets.
    pub fn backend_refused(&mut self, now: Moment) {
        self.host.refused(&mut self.desk, now);
    }

    /// Takes in how the connection to the backend server is.
    pub fn lifeline(&mut self, lifeline: Lifeline, now: Moment) {
        self.host.lifeline(&mut self.desk, lifeline, now);
    }

    /// Does what is due by time.
    pub fn tick(&mut self, now: Moment) {
        let pauses = self.wakeup.running(now);
        if pauses != self.pauses {
            self.pauses = pauses;
            self.host.woke(now);
        }
        for (flow, opening) in self.host.tick(&mut self.desk, now) {
            match opening.placer {
                Some(placer) => {
                    self.desk.send(placer, Message::Declined { flow, silent: true });
                }
                None => self.placer.overdue(&mut self.desk, &mut self.host, &flow, now),
            }
        }
        self.placer.tick(&mut self.desk, &mut self.host, now);
        self.home.tick(&mut self.desk, now);
        if now.since(self.expired) >= EXPIRE {
            self.expired = now;
            self.host.expire(&mut self.desk, now);
            self.home.expire(now);
            self.placer.neighbours.expire(now);
        }
        let service = self.host.service(&self.desk).clone();
        let others = self.desk.others(&service).len();
        let took = std::mem::replace(&mut self.took, self.host.takes(now));
        if took != self.took || now.since(self.beat) >= beat_interval(others) {
            self.tell(now);
        }
    }

    /// Takes a message that carries a packet.
    fn carried(&mut self, from: SocketAddr, message: Message, packet: Packet, now: Moment) {
        match message {
            Message::Route { service, domain } if packet.segment.is_opening() => {
                self.open_flow(from, service, domain, packet, now);
            }
            Message::Route { .. } => self.route(from, packet, now),
            Message::Deliver { entry, direct } => {
                let entry = if entry.port() == 0 { from } else { entry };
                self.deliver(entry, direct, packet, now);
            }
            Message::Place { entry, service } => self.offered(from, entry, service, packet, now),
            Message::Search { entry, offer } => self.searched(from, entry, offer, packet, now),
            _ => self.desk.tally.add(Reason::Malformed),
        }
    }

    /// Takes a message without a packet.
    fn told(&mut self, from: SocketAddr, message: Message, now: Moment) {
        match message {
            Message::Claim { flows, load } => {
                self.placer.neighbours.loaded(from, load);
                for (flow, isn) in flows {
                    self.placer.taken(&flow);
                    self.home.claim(&mut self.desk, flow, Owner { link: from, isn }, now);
                }
            }
            Message::Release { flow } => self.home.release(&flow, from),
            Message::NotHere { flow } => self.home.not_at(&mut self.desk, &flow, from),
            Message::Declined { flow, silent } => {
                let (desk, host) = (&mut self.desk, &mut self.host);
                if silent {
                    self.placer.neighbours.suspect(from, now);
                    self.placer.overdue(desk, host, &flow, now);
                } else {
                    self.placer.declined(desk, host, &flow, from, now);
                }
            }
            Message::Beat { run, service, load, takes } => {
                let neighbour = Neighbour { run, service, load, takes, heard: now, charged: 0 };
                self.placer.neighbours.heard(from, neighbour);
            }
            Message::Hello => self.greet(from, now),
            Message::Ask => self.desk.send(from, Message::News),
            Message::News => {}
            Message::Owned { flows } => self.host.recover(&mut self.desk, &flows, now),
            _ => self.desk.tally.add(Reason::Malformed),
        }
    }

    /// Places a flow that opens, as its home.
    fn open_flow(
        &mut self,
        entry: SocketAddr,
        service: Name,
        domain: Name,
        packet: Packet,
        now: Moment,
    ) {
        let segment = packet.segment;
        let flow = segment.flow;
        self.desk.send(entry, Message::Taken { flow });
        let again = segment.attempt <= COPIES_TO_OWNER;
        if again && self.host.deliver(&mut self.desk, &packet, entry, now).is_ok() {
            return;
        }
        if let Some(owner) = self.home.owner(&flow).filter(|_| again) {
            let message = Message::Deliver { entry, direct: true };
            self.desk.pass(owner.link, message, &packet);
            return;
        }
        let offers = self.placer.end(&flow).map(|p| p.offers).unwrap_or_default();
        let placement = Placement { entry, domain, service, packet, offers, due: now };
        self.placer.place(&mut self.desk, &mut self.host, placement, now);
    }

    /// Sends a packet of an established flow to its owner, as its home.
    fn route(&mut self, entry: SocketAddr, packet: Packet, now: Moment) {
        let flow = packet.segment.flow;
        match self.host.deliver(&mut self.desk, &packet, entry, now) {
            Ok(()) => self.tell_entry(entry, &flow),
            Err(_) => {
                self.desk.send(entry, Message::Taken { flow });
                self.find(entry, packet, now);
            }
        }
    }

    /// Passes a packet to the backend server, as the flow's owner.
    fn deliver(&mut self, entry: SocketAddr, direct: bool, packet: Packet, now: Moment) {
        let flow = packet.segment.flow;
        match self.host.deliver(&mut self.desk, &packet, entry, now) {
            Ok(()) if direct => {}
            Ok(()) => self.tell_entry(entry, &flow),
            // A copy of an opening packet whose flow was given up here.
            Err(_) if packet.segment.is_opening() => {
                self.host.offer(&mut self.desk, &packet, entry, None, now);
            }
            Err(NotServed::Unknown) => {
                self.host.try_unknown(&mut self.desk, &packet, entry, None, now);
            }
            Err(NotServed::Absent) => {
                self.desk.send(entry, Message::Gone { flow });
                self.find(entry, packet, now);
            }
        }
    }

    /// Takes a flow that its home offers, or declines it.
    fn offered(
        &mut self,
        home: SocketAddr,
        entry: SocketAddr,
        service: Name,
        packet: Packet,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        let fits = *self.host.service(&self.desk) == service;
        // Another home may have placed the flow here already.
        if !fits || !(self.host.takes(now) || self.host.holds(&flow)) {
            let reason = if fits { Reason::Leaving } else { Reason::WrongService };
            self.desk.tally.add(reason);
            self.desk.send(home, Message::Declined { flow, silent: false });
            return;
        }
        self.host.offer(&mut self.desk, &packet, entry, Some(home), now);
    }

    /// Answers a home that searches for a flow's owner.
    fn searched(
        &mut self,
        home: SocketAddr,
        entry: SocketAddr,
        offer: bool,
        packet: Packet,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        match self.host.deliver(&mut self.desk, &packet, entry, now) {
            Ok(()) => {
                self.tell_entry(entry, &flow);
                for claim in self.host.claims(|f| *f == flow, now) {
                    self.desk.send(home, claim);
                }
            }
            Err(NotServed::Absent) => self.desk.send(home, Message::NotHere { flow }),
            Err(NotServed::Unknown) if offer => {
                self.host.try_unknown(&mut self.desk, &packet, entry, Some(home), now);
            }
            Err(NotServed::Unknown) => self.desk.tally.add(Reason::OwnerUnknown),
        }
    }

    /// Takes back a packet that the backend server did not take.
    fn returned(&mut self, packet: Packet, now: Moment) {
        let segment = packet.segment;
        let flow = segment.flow;
        if segment.is_opening() {
            match self.host.refused_opening(&flow) {
                Some(Some(placer)) => {
                    self.desk.send(placer, Message::Declined { flow, silent: false });
                }
                Some(None) => {
                    let link = self.desk.me.link;
                    self.placer.declined(&mut self.desk, &mut self.host, &flow, link, now);
                }
                None => {}
            }
            return;
        }
        if let Some(offer) = self.host.take_offer(&flow) {
            match offer.home {
                Some(home) if home == self.desk.me.link => {
                    self.home.not_at(&mut self.desk, &flow, home);
                }
                Some(home) => self.desk.send(home, Message::NotHere { flow }),
                None => {
                    self.desk.send(offer.entry, Message::Gone { flow });
                    self.find(offer.entry, packet, now);
                }
            }
            return;
        }
        if self.host.was_ours(&flow) {
            self.host.end(&mut self.desk, &flow, now);
            if !segment.flags.aborts {
                let event = Event::of(Decision::Reset).why(Reason::NotHere).flow(flow);
                self.desk.record(event);
                self.desk.step(Step::Reset { flow, seq: segment.ack });
            }
        } else if let Some(entry) = self.host.served().get(&flow).and_then(|s| s.entry()) {
            // Others told that the flow is here, and it is not.
            self.host.end(&mut self.desk, &flow, now);
            self.desk.send(entry, Message::Gone { flow });
            self.find(entry, packet, now);
        }
    }

    fn find(&mut self, entry: SocketAddr, packet: Packet, now: Moment) {
        let (home, host) = (&mut self.home, &mut self.host);
        home.find(&mut self.desk, host, &self.placer.neighbours, entry, packet, now);
    }

    /// Tells an entry that the flow is here.
    fn tell_entry(&mut self, entry: SocketAddr, flow: &FlowKey) {
        let isn = self.host.served().get(flow).and_then(|s| s.isn());
        let owner = Owner { link: self.desk.me.link, isn };
        self.desk.send(entry, Message::Found { flow: *flow, owner });
    }

    /// Tells the flow's homes and its entry that the flow is here.
    fn announce(
        &mut self,
        flow: &FlowKey,
        entry: Option<SocketAddr>,
        isn: Option<u32>,
        now: Moment,
    ) {
        if let Some(entry) = entry {
            self.tell_entry(entry, flow);
        }
        let service = self.host.service(&self.desk).clone();
        let load = self.host.load(now);
        for home in self.desk.homes(&service, flow) {
            if home != self.desk.me.link {
                let flows = vec![(*flow, isn)];
                self.desk.send(home, Message::Claim { flows, load });
            }
        }
    }

    /// Claims flows at homes that a change of the roster gave them.
    fn claim_at_new_homes(&mut self, before: &View, now: Moment) {
        let service = self.host.service(&self.desk).clone();
        let mut news: BTreeMap<SocketAddr, BTreeSet<FlowKey>> = BTreeMap::new();
        for (flow, _) in self.host.served().iter() {
            let old = self.desk.homes_in(&before.roster, &service, flow);
            for home in self.desk.homes(&service, flow) {
                if home != self.desk.me.link && !old.contains(&home) {
                    news.entry(home).or_default().insert(*flow);
                }
            }
        }
        for (home, flows) in news {
            for claim in self.host.claims(|flow| flows.contains(flow), now) {
                self.desk.send(home, claim);
            }
        }
    }

    /// Tells an agent that has just started what it needs to know.
    fn greet(&mut self, link: SocketAddr, now: Moment) {
        for owned in self.home.owned_by(link) {
            self.desk.send(link, owned);
        }
        let service = self.host.service(&self.desk).clone();
        let desk = &self.desk;
        let claims = self.host.claims(|f| desk.homes(&service, f).contains(&link), now);
        for claim in claims {
            self.desk.send(link, claim);
        }
    }

    /// Tells the other agents of the service how this one is, and asks one of
    /// any service what it knows.
    fn tell(&mut self, now: Moment) {
        self.beat = now;
        if now.since(self.asked) >= ASK {
            self.asked = now;
            if let Some(member) = self.placer.any(&self.desk.view.roster) {
                let link = self.desk.link(&member);
                self.desk.send(link, Message::Ask);
            }
        }
        let service = self.host.service(&self.desk).clone();
        let load = self.host.load(now);
        let (run, takes) = (self.desk.me.run, self.host.takes(now));
        for link in self.desk.others(&service) {
            let service = service.clone();
            self.desk.send(link, Message::Beat { run, service, load, takes });
        }
    }
}
