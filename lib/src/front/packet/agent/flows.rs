//! Packets of flows: as their home, as their owner, and in searches.

use std::net::SocketAddr;

use super::Agent;
use crate::connection::flow::FlowKey;
use crate::connection::placement::Placement;
use crate::connection::segment::Packet;
use crate::front::packet::action::Action;
use crate::front::packet::decline::Decline;
use crate::front::packet::event::Decision;
use crate::front::packet::event::Event;
use crate::front::packet::local_backend::NotServed;
use crate::front::packet::local_backend::retransmit_delay;
use crate::front::packet::message::Message;
use crate::front::packet::unsure_answers::Question;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Number of retransmissions of an opening packet that go to the backend server
/// which answered the first one. The next one comes when the caller has waited
/// for 600 ms, and is placed anew. An owner that is known before the first one comes
/// has an earlier flow between the same addresses.
const COPIES_TO_OWNER: u8 = 1;

impl Agent {
    /// Places a new flow of a service for a caller in a failure domain, as its home. `sole`
    /// tells that its entry has sent the packet to no other home.
    pub(super) fn open_flow(
        &mut self,
        entry: SocketAddr,
        (service, domain): (Name, Name),
        sole: bool,
        packet: Packet,
        now: Moment,
    ) {
        let segment = packet.segment;
        let flow = segment.flow;
        self.context.send(entry, Message::Accepted { flow });
        if segment.attempt == 0 {
            self.home.forget(&flow);
        }
        let to_owner = segment.attempt <= COPIES_TO_OWNER;
        if to_owner && self.backend.deliver(&mut self.context, &packet, entry, now).is_ok() {
            return;
        }
        if let Some(owner) = self.home.owner(&flow).filter(|_| to_owner && segment.attempt > 0) {
            let message = Message::Deliver { entry, direct: true };
            self.context.send_packet(owner.link, message, &packet);
            return;
        }
        // A copy may follow offers of another home, or of this one that have timed out.
        let (offers, known) = match self.placer.cancel(&flow) {
            Some(placement) => (placement.offers, placement.sole),
            None => (Vec::new(), segment.attempt == 0),
        };
        let (sole, since) = (sole && known, now - retransmit_delay(&segment));
        let placement = Placement { entry, domain, service, packet, since, sole, offers, due: now };
        self.placer.place(&mut self.context, &mut self.backend, placement, now);
    }

    /// Forwards a packet of an established flow to its owner, as its home.
    pub(super) fn route(&mut self, entry: SocketAddr, packet: Packet, now: Moment) {
        let flow = packet.segment.flow;
        match self.backend.deliver(&mut self.context, &packet, entry, now) {
            Ok(()) => self.notify_entry(entry, &flow),
            Err(_) => {
                self.context.send(entry, Message::Accepted { flow });
                self.locate(entry, packet, now);
            }
        }
    }

    /// Passes a packet to the backend server, as the flow's owner.
    pub(super) fn deliver(&mut self, entry: SocketAddr, direct: bool, packet: Packet, now: Moment) {
        let flow = packet.segment.flow;
        match self.backend.deliver(&mut self.context, &packet, entry, now) {
            Ok(()) if direct => {}
            Ok(()) => self.notify_entry(entry, &flow),
            // A retransmitted opening packet of a flow that was removed here.
            Err(_) if packet.segment.is_opening() => {
                let check = match self.backend.is_routed(&self.context, &flow) {
                    true => self.backend.check_opening(now),
                    false => Err(Decline::WrongService),
                };
                match check {
                    Ok(()) => self.backend.offer(&mut self.context, &packet, entry, None, now),
                    Err(why) => {
                        // The caller's next copy is placed anew by the flow's home.
                        let event = Event::of(Decision::Dropped).reason(why.reason()).flow(flow);
                        self.context.record(event);
                        self.context.send(entry, Message::NotOwner { flow });
                    }
                }
            }
            Err(NotServed::Unknown) => {
                self.backend.probe(&mut self.context, &packet, entry, None, now);
            }
            Err(NotServed::Absent) => {
                self.context.send(entry, Message::NotOwner { flow });
                self.locate(entry, packet, now);
            }
        }
    }

    /// Accepts or declines a flow that its home offers.
    pub(super) fn handle_place(
        &mut self,
        home: SocketAddr,
        entry: SocketAddr,
        service: Name,
        firm: bool,
        packet: Packet,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        let check = match *self.backend.service(&self.context) == service {
            false => Err(Decline::WrongService),
            // Another home may have placed the flow here already.
            true if self.backend.has_answered(&packet.segment) => Ok(()),
            true if !firm && self.backend.is_busy(now) => {
                Err(Decline::Busy { load: self.backend.load(now) })
            }
            true => self.backend.check_opening(now),
        };
        match check {
            Ok(()) => self.backend.offer(&mut self.context, &packet, entry, Some(home), now),
            Err(why) => {
                let event = Event::of(Decision::Declined).reason(why.reason());
                self.context.record(event.flow(flow).peer(home));
                self.context.send(home, Message::Declined { flow, why });
            }
        }
    }

    /// Answers a home that asks for a flow's owner.
    pub(super) fn handle_ask(
        &mut self,
        home: SocketAddr,
        flow: FlowKey,
        ack: Option<u32>,
        now: Moment,
    ) {
        match self.backend.owns(&flow, ack) {
            Ok(()) => {
                for claim in self.backend.claims(|f| *f == flow, now) {
                    self.context.send(home, claim);
                }
            }
            Err(NotServed::Absent) => self.deny(home, flow),
            Err(NotServed::Unknown) => {
                self.exchange.unsure.add(Question { home, flow, ack }, now);
                self.context.send(home, Message::Unsure { flow });
            }
        }
    }

    /// Answers a home that this agent does not own a flow.
    fn deny(&mut self, home: SocketAddr, flow: FlowKey) {
        if let Some(other) = self.backend.served().get(&flow) {
            let event = Event::of(Decision::Denied).reason(Reason::NotHere).flow(flow).peer(home);
            self.context.record(event.value(other.isn().unwrap_or_default().into()));
        }
        self.context.send(home, Message::NotHere { flow });
    }

    /// Answers a home that searches for a flow's owner with its packet.
    pub(super) fn handle_search(
        &mut self,
        home: SocketAddr,
        entry: SocketAddr,
        probe: bool,
        packet: Packet,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        match self.backend.deliver(&mut self.context, &packet, entry, now) {
            Ok(()) => {
                self.notify_entry(entry, &flow);
                for claim in self.backend.claims(|f| *f == flow, now) {
                    self.context.send(home, claim);
                }
            }
            Err(NotServed::Absent) => self.deny(home, flow),
            Err(NotServed::Unknown) if probe => {
                self.backend.probe(&mut self.context, &packet, entry, Some(home), now);
            }
            Err(NotServed::Unknown) => {
                let ack = packet.segment.flags.acks.then_some(packet.segment.ack);
                self.exchange.unsure.add(Question { home, flow, ack }, now);
                self.context.send(home, Message::Unsure { flow });
            }
        }
    }

    /// Handles a packet that the backend server returned.
    pub(super) fn handle_returned(&mut self, packet: Packet, now: Moment) {
        let segment = packet.segment;
        let flow = segment.flow;
        if segment.is_opening() {
            match self.backend.take_refused(&flow, now) {
                Some(Some(placer)) => {
                    self.context.send(placer, Message::Declined { flow, why: Decline::Full });
                }
                Some(None) => {
                    let link = self.context.me.link;
                    let by = (link, Decline::Full);
                    self.placer.decline(&mut self.context, &mut self.backend, &flow, by, now);
                }
                None => {}
            }
            return;
        }
        if let Some(probe) = self.backend.take_probe(&flow) {
            match probe.home {
                Some(home) if home == self.context.me.link => {
                    let (context, backend) = (&mut self.context, &mut self.backend);
                    let neighbours = &self.placer.neighbours;
                    self.home.not_owner(context, backend, neighbours, &flow, home, now);
                }
                Some(home) => self.context.send(home, Message::NotHere { flow }),
                None => {
                    self.context.send(probe.entry, Message::NotOwner { flow });
                    self.locate(probe.entry, packet, now);
                }
            }
            return;
        }
        if self.backend.is_proven(&flow) {
            self.backend.end(&mut self.context, &flow, now);
            if !segment.flags.aborts {
                let event = Event::of(Decision::Reset).reason(Reason::NotHere).flow(flow);
                self.context.record(event);
                self.context.act(Action::Reset { flow, seq: segment.ack });
            }
        } else if let Some(entry) = self.backend.served().get(&flow).and_then(|s| s.entry()) {
            // Other agents reported the flow as owned here, but it is not.
            self.backend.end(&mut self.context, &flow, now);
            self.context.send(entry, Message::NotOwner { flow });
            self.locate(entry, packet, now);
        }
    }
}
