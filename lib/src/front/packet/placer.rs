//! Placement of new flows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use super::action::Action;
use super::context::AgentContext;
use super::decline::Decline;
use super::event::Decision;
use super::event::Event;
use super::local_backend::LocalBackend;
use super::message::Message;
use super::shortage::Shortage;
use crate::connection::candidate;
use crate::connection::candidate::Candidate;
use crate::connection::cold_placements::ColdPlacements;
use crate::connection::flow::FlowKey;
use crate::connection::placement::MAX_UNANSWERED;
use crate::connection::placement::OFFER_TIMEOUT;
use crate::connection::placement::Placement;
use crate::connection::placement::Placements;
use crate::process::cold_backends::ColdBackends;
use crate::process::neighbours::Neighbours;
use crate::request::load_meter::Load;
use crate::value::moment::Moment;
use crate::value::reason::Reason;
use crate::version::member::Member;
use crate::version::member::MemberState;
use crate::version::roster::Roster;

/// Penalty of a backend server outside the caller's failure domain: answers
/// that cross domains take longer and are charged for.
const DOMAIN_PENALTY: Duration = Duration::from_millis(3);
/// Penalty of a backend server whose agent was not heard from recently.
const UNHEARD_PENALTY: Duration = Duration::from_millis(50);
/// Longest random delay in milliseconds before a flow is offered to a cold backend server
/// again.
const COLD_SPREAD_MS: u64 = 20;

/// Chooses backend servers for new flows.
#[derive(Debug)]
pub struct Placer {
    placements: Placements,
    /// What other agents reported about themselves.
    pub neighbours: Neighbours,
    /// What other agents reported about warm-up limits.
    pub cold: ColdBackends,
    waiting: ColdPlacements,
    rng: Pcg64Mcg,
}

impl Placer {
    /// Creates a placer; `seed` seeds its random choices.
    pub fn open(seed: u64) -> Self {
        Self {
            placements: Placements::default(),
            neighbours: Neighbours::default(),
            cold: ColdBackends::default(),
            waiting: ColdPlacements::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Offers an opening packet to the best backend server that has not been
    /// offered it yet.
    pub fn place(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        mut placement: Placement,
        now: Moment,
    ) {
        let flow = placement.packet.segment.flow;
        let mut shortage = Shortage::default();
        let choice = self.choose(context, backend, &placement, &mut shortage, now);
        let choice = choice.filter(|_| placement.unanswered() < MAX_UNANSWERED);
        let Some((Candidate { link, cost, .. }, firm)) = choice else {
            self.wait_or_reject(context, placement, shortage, now);
            return;
        };
        let decision = match placement.offers.len() {
            0 => Event::of(Decision::Placed),
            _ => Event::of(Decision::Replaced).reason(Reason::RetryElsewhere),
        };
        let decision = decision.flow(flow).service(placement.service.clone());
        context.record(decision.peer(link).value(cost as u64));
        placement.offer(link, now + OFFER_TIMEOUT);
        if link == context.me.link {
            backend.offer(context, &placement.packet, placement.entry, None, now);
        } else {
            self.neighbours.charge(link);
            self.cold.charge(link);
            let service = placement.service.clone();
            let message = Message::Place { entry: placement.entry, service, firm };
            context.send_packet(link, message, &placement.packet);
        }
        self.placements.start(placement);
    }

    /// Ends the placement of a flow that a backend server accepted.
    pub fn confirm(&mut self, flow: &FlowKey) {
        self.placements.end(flow);
        self.waiting.end(flow);
    }

    /// Handles a definite refusal of an offer by the agent at `link`, for the reason `why`.
    pub fn decline(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        flow: &FlowKey,
        (link, why): (SocketAddr, Decline),
        now: Moment,
    ) {
        if let Decline::Busy { load } = why {
            self.neighbours.update_load(link, load);
        }
        if let Some(mut placement) = self.placements.end(flow) {
            match why {
                Decline::Cold { after_ms } => {
                    self.cold.decline(link, Duration::from_millis(after_ms.into()), now);
                    placement.withdraw(link);
                }
                why => placement.decline(link, why.reason()),
            }
            self.place(context, backend, placement, now);
        }
    }

    /// Offers a flow again after a backend server has not answered in time.
    pub fn retry(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        flow: &FlowKey,
        now: Moment,
    ) {
        if let Some(placement) = self.placements.end(flow) {
            self.place(context, backend, placement, now);
        }
    }

    /// Ends a placement that a copy of the opening packet starts anew.
    pub fn cancel(&mut self, flow: &FlowKey) -> Option<Placement> {
        self.placements.end(flow).or_else(|| self.waiting.end(flow))
    }

    /// Repeats offers that have timed out.
    pub fn tick(&mut self, context: &mut AgentContext, backend: &mut LocalBackend, now: Moment) {
        for placement in self.placements.overdue(now) {
            if let Some(offer) = placement.offers.last() {
                self.neighbours.suspect(offer.link, now);
            }
            self.place(context, backend, placement, now);
        }
        for placement in self.waiting.due(now) {
            self.place(context, backend, placement, now);
        }
    }

    /// Returns a random registered backend server.
    pub fn random_member(&mut self, roster: &Roster) -> Option<Arc<Member>> {
        roster.members().choose(&mut self.rng).cloned()
    }

    /// Returns whether placements are in progress.
    pub fn has_pending(&self) -> bool {
        !self.placements.is_empty() || !self.waiting.is_empty()
    }

    /// Keeps a placement until a cold backend server may accept the flow, while its caller
    /// waits, and ends it if none will.
    fn wait_or_reject(
        &mut self,
        context: &mut AgentContext,
        placement: Placement,
        shortage: Shortage,
        now: Moment,
    ) {
        // Spread, since other homes were told the same time.
        let spread = Duration::from_millis(self.rng.random_range(0..=COLD_SPREAD_MS));
        let rejected = match shortage.wait() {
            Some(wait) => self.waiting.hold(placement, now + wait + spread),
            None => Some(placement),
        };
        if let Some(placement) = rejected {
            reject(context, placement, shortage, now);
        }
    }

    /// Chooses a backend server that has not been offered the flow yet, and returns whether
    /// the offer is firm: if enough agents were busy, or no other is left to ask. Adds to
    /// `shortage` why others can't be chosen.
    fn choose(
        &mut self,
        context: &AgentContext,
        backend: &mut LocalBackend,
        placement: &Placement,
        shortage: &mut Shortage,
        now: Moment,
    ) -> Option<(Candidate, bool)> {
        let pool = context.view.roster.pool(&placement.service)?;
        let (mut unasked, mut busy) = (Vec::new(), Vec::new());
        for member in pool.members() {
            let link = context.link(member);
            let asked = placement.offer_to(link);
            if let Some(offer) = asked.filter(|_| !placement.may_offer_firmly(link)) {
                offer.declined.into_iter().for_each(|reason| shortage.add_declined(reason));
                continue;
            }
            let cost = match self.cost(context, backend, member, link, now) {
                Ok(cost) => cost,
                Err(why) => {
                    shortage.add(why);
                    continue;
                }
            };
            let local = member.domain == placement.domain;
            let far = if local { 0.0 } else { DOMAIN_PENALTY.as_micros() as f64 };
            let suspect = self.neighbours.is_suspect(link, now);
            let load = self.load(context, backend, link, now);
            let candidate = Candidate::open(link, load.as_ref(), cost + far, local, suspect);
            let full = link == context.me.link && backend.is_busy(now);
            if asked.is_some() || full { busy.push(candidate) } else { unasked.push(candidate) }
        }
        let firm = placement.is_firm() || unasked.len() + busy.len() <= 1;
        let others = if unasked.is_empty() { (&busy, true) } else { (&unasked, firm) };
        candidate::choose(others.0, &mut self.rng).map(|c| (*c, others.1))
    }

    /// Returns the last reported load of a backend server.
    fn load(
        &self,
        context: &AgentContext,
        backend: &mut LocalBackend,
        link: SocketAddr,
        now: Moment,
    ) -> Option<Load> {
        if link == context.me.link {
            return Some(backend.load(now));
        }
        self.neighbours.get(link).map(|n| n.load)
    }

    /// Returns the expected completion time and penalties in microseconds.
    ///
    /// # Errors
    ///
    /// Returns why the backend server accepts no new flows.
    fn cost(
        &self,
        context: &AgentContext,
        backend: &mut LocalBackend,
        member: &Member,
        link: SocketAddr,
        now: Moment,
    ) -> Result<f64, Decline> {
        if member.standing != MemberState::Ready {
            return Err(Decline::Leaving);
        }
        // Whatever the member reported, since the report may be older than the order.
        if context.view.evacuations.covers(&member.domain) {
            return Err(Decline::Evacuated);
        }
        if link == context.me.link {
            // The address may be listed under a former holder's service.
            if *backend.service(context) != member.service {
                return Err(Decline::WrongService);
            }
            backend.check_opening(now)?;
            return Ok(backend.load(now).completion(0));
        }
        let wait = self.cold.wait(link, now);
        if !wait.is_zero() {
            return Err(Decline::cold(wait));
        }
        match self.neighbours.get(link) {
            Some(n) if !n.accepting || n.service != member.service => Err(Decline::Leaving),
            Some(n) => Ok(n.load.completion(n.charged)),
            None => {
                let charged = self.neighbours.charged_unheard(link);
                let load = Load::unknown(member.slots);
                Ok(load.completion(charged) + UNHEARD_PENALTY.as_micros() as f64)
            }
        }
    }
}

/// Ends a placement that no backend server accepted. The flow is refused only
/// if every offer was declined: after one that was not answered it may be open
/// already, with the answer late, and so after offers of another home. Without a roster it may be open anywhere, and without the
/// evacuations this agent declined only because it has just started.
fn reject(context: &mut AgentContext, placement: Placement, shortage: Shortage, now: Moment) {
    let flow = placement.packet.segment.flow;
    let unanswered = placement.unanswered();
    let known = context.view.has_roster() && context.view.evacuations.is_known();
    if unanswered > 0 || !placement.is_sole(now) || !known {
        let event = Event::of(Decision::Dropped).reason(Reason::NoBackend).flow(flow);
        context.record(event.value(unanswered as u64));
        return;
    }
    let event = Event::of(Decision::Refused).reason(shortage.reason()).flow(flow);
    context.record(event.value(placement.offers.len() as u64));
    context.act(Action::Reset { flow, seq: 0 });
}
