//! Messages of other processes, and reports to them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::Agent;
use crate::connection::flow::FlowKey;
use crate::connection::hints::Owner;
use crate::front::packet::event::Decision;
use crate::front::packet::event::Event;
use crate::front::packet::message::KnownVersions;
use crate::front::packet::message::Message;
use crate::process::ended_runs::EndedRun;
use crate::process::neighbours::Neighbour;
use crate::process::view::View;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

/// Maximum number of ended runs that are passed on to an agent that starts: more than a
/// release takes away within the time for which they are remembered.
const ENDED_PER_HELLO: usize = 32;

impl Agent {
    /// Handles a message without a packet.
    pub(super) fn handle_control(&mut self, from: SocketAddr, message: Message, now: Moment) {
        match message {
            Message::Claim { flows, load } => {
                self.placer.neighbours.update_load(from, load);
                self.placer.cold.report(from, load.openings, now);
                for (flow, isn) in flows {
                    self.placer.confirm(&flow);
                    self.home.claim(&mut self.context, flow, Owner { link: from, isn }, now);
                }
            }
            Message::Release { flow } => self.home.release(&flow, from),
            Message::NotHere { flow } => {
                let (context, backend) = (&mut self.context, &mut self.backend);
                self.home.not_owner(context, backend, &self.placer.neighbours, &flow, from, now);
            }
            Message::Ask { flow, ack } => self.handle_ask(from, flow, ack, now),
            Message::Unsure { flow } => {
                let (context, backend) = (&mut self.context, &mut self.backend);
                self.home.unsure(context, backend, &self.placer.neighbours, &flow, from, now);
            }
            Message::Declined { flow, why } => {
                let (context, backend) = (&mut self.context, &mut self.backend);
                if why.is_certain() {
                    self.placer.decline(context, backend, &flow, (from, why), now);
                } else {
                    self.placer.neighbours.suspect(from, now);
                    self.placer.retry(context, backend, &flow, now);
                }
            }
            Message::Heartbeat { run, service, load, accepting } => {
                self.exchange.known.heard(from, run, now);
                let neighbour = Neighbour { run, service, load, accepting, heard: now, charged: 0 };
                self.placer.neighbours.heard(from, neighbour);
                self.placer.cold.report(from, load.openings, now);
                self.home.ask_again(&mut self.context, from);
            }
            Message::Hello => {
                self.home.ask_again(&mut self.context, from);
                self.send_recovery(from, now);
            }
            Message::VersionQuery { number } => {
                let age_ms = self.context.view.age_ms(now);
                self.context.send(from, Message::VersionReply { number, age_ms });
            }
            Message::RunQuery { run, token, age_ms } => {
                let started = now - Duration::from_millis(age_ms.into());
                let earlier = self.exchange.known.heard(from, run, now)
                    || self.home.knew_owner(from, started)
                    || self.backend.had_placer(from, started);
                if let Some(wall) = self.exchange.wall(now) {
                    self.context.send(from, Message::RunReply { token, wall, earlier });
                }
            }
            Message::RunReply { token, wall, earlier } => {
                if let Some(first_run) = &mut self.exchange.first_run {
                    first_run.replied(from, token, wall, earlier, now);
                }
                self.follow_runs(now);
            }
            Message::Ended { link, run, ended } => {
                let born = ended.as_ref().map_or(0, |run| run.start);
                let ended = EndedRun { agent: run, run: ended };
                if self.placer.neighbours.end(link, ended, now) {
                    self.context.record(Event::of(Decision::PeerRunEnded).peer(link).value(born));
                    self.review_absences(now);
                }
            }
            Message::Owned { flows } => {
                if flows.iter().any(|(f, _)| self.backend.served().get(f).is_none()) {
                    self.exchange.refute();
                }
                self.backend.recover(&mut self.context, &flows, now);
            }
            _ => self.context.tally.add(Reason::Malformed),
        }
    }

    /// Claims flows at the homes that they gained by a change of the roster.
    pub(super) fn claim_at_new_homes(&mut self, before: &View, now: Moment) {
        let service = self.backend.service(&self.context).clone();
        let mut gained: BTreeMap<SocketAddr, BTreeSet<FlowKey>> = BTreeMap::new();
        for (flow, _) in self.backend.served().iter() {
            let old = self.context.homes_in(&before.roster, &service, flow);
            for home in self.context.homes(&service, flow) {
                if home != self.context.me.link && !old.contains(&home) {
                    gained.entry(home).or_default().insert(*flow);
                }
            }
        }
        for (home, flows) in gained {
            for claim in self.backend.claims(|flow| flows.contains(flow), now) {
                self.context.send(home, claim);
            }
        }
    }

    /// Sends an agent that has just started the flows that its earlier run
    /// owned, and claims those that it is a home of.
    pub(super) fn send_recovery(&mut self, link: SocketAddr, now: Moment) {
        for owned in self.home.owned_by(link) {
            self.context.send(link, owned);
        }
        for (agent, ended) in self.placer.neighbours.ended().take(ENDED_PER_HELLO) {
            let (run, ended) = (ended.agent, ended.run.clone());
            self.context.send(link, Message::Ended { link: agent, run, ended });
        }
        let service = self.backend.service(&self.context).clone();
        let context = &self.context;
        let claims = self.backend.claims(|f| context.homes(&service, f).contains(&link), now);
        for claim in claims {
            self.context.send(link, claim);
        }
    }

    /// Asks observers whether this process's knowledge is current, if that is due.
    pub(super) fn query_versions(&mut self, now: Moment) {
        if !self.queries.is_due(now) {
            return;
        }
        let any = self.placer.random_member(&self.context.view.roster);
        let any = any.map(|m| self.context.link(&m));
        for (link, number) in self.queries.ask(&self.context.view, any, now) {
            self.context.send(link, Message::VersionQuery { number });
        }
    }

    /// Handles the answer to a version query.
    pub(super) fn handle_reply(
        &mut self,
        peer: SocketAddr,
        known: KnownVersions,
        message: &Message,
        now: Moment,
    ) {
        let mine = self.context.known();
        if let Some(action) = self.queries.handle_reply(peer, known, mine, message, now) {
            self.context.act(action);
        }
    }

    /// Sends heartbeats to the other agents of the service.
    pub(super) fn send_heartbeats(&mut self, now: Moment) {
        self.heartbeat_at = now;
        let service = self.backend.service(&self.context).clone();
        let load = self.backend.load(now);
        let (run, accepting) = (self.context.me.run, self.backend.accepts_flows(now));
        for link in self.context.peers(&service) {
            let service = service.clone();
            self.context.send(link, Message::Heartbeat { run, service, load, accepting });
        }
    }
}
