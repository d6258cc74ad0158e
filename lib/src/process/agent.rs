//! All decisions of the agent beside one backend server.

use std::sync::Arc;

use super::action::Action;
use super::context::Context;
use super::flow_location::FlowLocation;
use super::gauges::Gauges;
use super::health::Health;
use super::heartbeat::Heartbeat;
use super::message::Envelope;
use super::message::Forward;
use super::message::Message;
use super::message::Mode;
use super::notice::Notice;
use super::peers::Contact;
use super::recovery::Recovery;
#[cfg(feature = "variants")]
use super::safeguard::Safeguard;
use crate::connection::arrival::Arrival;
use crate::connection::channel_manager::ChannelManager;
use crate::connection::flow::FlowKey;
use crate::connection::reconciliation::claims_for;
use crate::connection::router::MAX_HOPS;
use crate::connection::router::Outcome;
use crate::connection::router::Router;
use crate::request::answer::Answer;
use crate::request::local_witness::LocalWitness;
use crate::request::message::Content;
use crate::request::requests::Requests;
use crate::request::requests::is_witness;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;
use crate::value::tally::Tally;
use crate::version::manifest::InForce;
use crate::version::manifest::Manifest;
use crate::version::manifest::Service;
use crate::version::membership::Membership;

/// The agent beside one backend server, for front ends whose packets are CoAP
/// requests.
#[derive(Debug)]
pub struct Agent {
    context: Context,
    router: Router<Content>,
    requests: Requests,
    local_witness: LocalWitness,
    channels: ChannelManager,
    recovery: Recovery,
    heartbeat: Heartbeat,
    // Stamp of this agent's latest notice; stamps only grow, so that every process
    // can tell the latest notice.
    notice_stamp: u64,
}

impl Agent {
    /// Opens the agent beside backend server `me` of `service`.
    pub fn open(
        me: Name,
        run: Incarnation,
        manifest: Arc<Manifest<InForce>>,
        service: &Service,
        seed: u64,
        now: Moment,
    ) -> Self {
        let slots = service.doc.backend(me.as_str()).map_or(1, |b| b.slots);
        let context = Context::open(me, run, manifest, service, seed, now);
        Self {
            router: Router::open(&context, now),
            context,
            requests: Requests::open(run, slots),
            local_witness: LocalWitness::open(now),
            channels: ChannelManager::open(),
            recovery: Recovery::open(now),
            heartbeat: Heartbeat::open(),
            notice_stamp: run.0,
        }
    }

    /// Disables a safeguard, to show that its check can fail.
    #[cfg(feature = "variants")]
    pub fn disable(&mut self, safeguard: Safeguard, now: Moment) {
        self.context.disabled = Some(safeguard);
        if safeguard == Safeguard::ExpectedCost {
            self.requests.admission().charge_by_count();
        }
        self.local_witness.sweep(&self.context, now);
    }

    /// Returns the state that all decisions share.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Returns the counts per reason since the last call, and resets them.
    pub fn take_tally(&mut self) -> Tally {
        std::mem::take(&mut self.context.tally)
    }

    /// Returns the gauges that operators are shown.
    pub fn gauges(&mut self, now: Moment) -> Gauges {
        let (flows, redirects, lookups) = self.router.flows().counts();
        Gauges {
            flows,
            redirects,
            lookups,
            channels: self.channels.len(),
            requests: self.requests.open_count(),
            exchanges: self.requests.len(),
            grants: self.local_witness.len(),
            recovering: self.local_witness.abstains(&self.context, now),
            settled: self.router.reconciliation().unsynced().is_empty(),
        }
    }

    /// Returns the home of a flow and its owner, as far as known.
    pub fn explain(&mut self, flow: &FlowKey) -> FlowLocation {
        let owner = self.router.flows().ownership(flow).cloned();
        FlowLocation { home: self.context.home(flow), owner }
    }

    /// Puts a later version in force; an earlier one is ignored.
    pub fn enforce(&mut self, manifest: Arc<Manifest<InForce>>, now: Moment) -> Vec<Action> {
        if self.context.enforce(manifest, now) {
            if let Some(me) = self.context.joint.current().member(&self.context.me) {
                self.requests.admission().resize(me.slots);
            }
            self.requests.joint_changed(&mut self.context);
            self.local_witness.joint_changed(&self.context);
            let (reconciliation, flows) = self.router.parts_mut();
            reconciliation.enforce(&mut self.context, flows, now);
            self.recovery = Recovery::open(now);
            self.heartbeat.trigger();
        }
        self.tick(now)
    }

    /// Updates the state that the backend server reports of itself.
    pub fn update_health(&mut self, leaving: bool, cold: bool) {
        let health = self.context.health;
        self.context.health = Health { leaving, cold, ..health };
        if health.leaving != leaving {
            self.heartbeat.trigger();
        }
    }

    /// Handles the removal of a backend server's VM from the live list.
    pub fn removed(&mut self, name: &Name, now: Moment) {
        self.context.removed(name, now);
        let (reconciliation, flows) = self.router.parts_mut();
        reconciliation.removed(flows, name);
    }

    /// Handles a caller's packet that an entry or another agent forwarded.
    pub fn packet(
        &mut self,
        from: &Name,
        forward: Forward,
        content: Content,
        now: Moment,
    ) -> Vec<Action> {
        if forward.hops > MAX_HOPS {
            self.context.count(Reason::Looping);
            return Vec::new();
        }
        self.context.remember_entry(&forward.via);
        let may_open = content.may_open() && forward.header.may_open();
        let delegated = forward.mode == Mode::Delegate;
        let arrival = Arrival { forward, may_open, content };
        if delegated {
            self.serve(arrival, now);
        } else if let Some(outcome) = self.router.route(&mut self.context, from, arrival, now) {
            self.deliver(outcome, now);
        }
        self.context.take_actions()
    }

    /// Handles a message from another agent.
    pub fn message(&mut self, envelope: Envelope, now: Moment) -> Vec<Action> {
        let Envelope { from, run, message, .. } = envelope;
        match self.context.peers.heard(&from, run, now) {
            Contact::Unchanged => {}
            Contact::Outdated => return Vec::new(),
            // No need to resend claims that it missed: they are repeated until it
            // answers.
            Contact::Returned => self.spread(&from, false, now),
            Contact::Restarted => {
                self.spread(&from, false, now);
                self.requests.restarted(&from, run);
                let (reconciliation, flows) = self.router.parts_mut();
                reconciliation.restarted(&mut self.context, flows, &from, now);
            }
        }
        self.handle(from, run, message, now);
        self.context.take_actions()
    }

    /// Handles an answer or notification of the backend server for ID `id`.
    pub fn backend(&mut self, id: u64, answer: Answer, now: Moment) -> Vec<Action> {
        let context = &mut self.context;
        let known = self.requests.answered(context, id, answer.clone(), now)
            || self.channels.notified(context, id, answer, now);
        if !known {
            context.count(Reason::LateAnswer);
        }
        self.context.take_actions()
    }

    /// Handles a notice that another process gossiped.
    pub fn notice(&mut self, notice: &Notice) {
        self.context.peers.notice(&notice.agent, notice.down);
    }

    /// Runs what is due: timeouts, retries and heartbeats.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        for peer in self.context.peers.sweep(now) {
            self.spread(&peer, true, now);
            for outcome in self.router.peer_down(&mut self.context, &peer, now) {
                self.deliver(outcome, now);
            }
        }
        self.recovery.ask(&mut self.context, &self.router, &self.local_witness, now);
        self.heartbeat.send_due(&mut self.context, now);
        self.router.sweep(&mut self.context, now);
        self.requests.sweep(&mut self.context, &mut self.local_witness, now);
        let (router, requests) = (&mut self.router, &mut self.requests);
        self.channels.sweep(&mut self.context, router, requests, now);
        self.local_witness.sweep(&self.context, now);
        if self.context.joint.sweep(now) {
            self.context.refresh_peers(now);
        }
        self.context.take_actions()
    }

    /// Moves every channel to a peer that takes new work, before a planned stop.
    ///
    /// Returns whether the new agents have confirmed every channel.
    pub fn hand_over(&mut self, now: Moment) -> (bool, Vec<Action>) {
        let all = self.channels.hand_over(&mut self.context, &mut self.router, now);
        (all, self.context.take_actions())
    }

    fn handle(&mut self, from: Name, run: Incarnation, message: Message, now: Moment) {
        let context = &mut self.context;
        match message {
            Message::OwnerQuery { flow } => self.router.owner_query(context, &from, flow),
            Message::OwnerReply { flow, owner } => {
                for outcome in self.router.owner_reply(context, &from, flow, owner, now) {
                    self.deliver(outcome, now);
                }
            }
            Message::NotOwner { flow } => self.router.not_owner(&from, &flow),
            Message::RequestVote { key, holder, seen, revisions } => {
                let vote = self.local_witness.vote(context, key, &holder, seen, &revisions, now);
                let reply = match vote {
                    Ok(vote) => Message::Voted { key, vote, requester: run },
                    Err(memberships) => Message::Behind { key, memberships },
                };
                context.send(&from, reply);
            }
            Message::Voted { requester, .. } | Message::Synced { requester, .. }
                if requester != context.run => {}
            Message::Voted { key, vote, .. } => {
                self.requests.voted(context, &from, run, key, vote, now);
            }
            Message::Behind { memberships, .. } => self.learn_memberships(&memberships, now),
            Message::Heartbeat { revision, health } => {
                context.peers.update(&from, revision, health);
                context.joint.acknowledge(&from, revision, now);
            }
            Message::Sync { version, recovering } => self.sync(&from, run, version, recovering),
            Message::Synced { version, flows, grants, memberships, former, recovering, .. } => {
                self.learn_memberships(&memberships, now);
                let context = &mut self.context;
                let (reconciliation, owned) = self.router.parts_mut();
                reconciliation.add_unsynced(context.merge_former(&former, now));
                self.local_witness.learn(context, &from, &grants, recovering, now);
                if version == context.manifest.version() {
                    let yielded = reconciliation.synced(context, owned, &from, flows, now);
                    self.channels.give_up(context, yielded, now);
                }
            }
            Message::Claims { flows } => {
                let (reconciliation, owned) = self.router.parts_mut();
                let yielded = reconciliation.claimed_by(context, owned, &from, flows, now);
                self.channels.give_up(context, yielded, now);
            }
            Message::Claimed { flows, refused } => {
                let (reconciliation, owned) = self.router.parts_mut();
                let yielded =
                    reconciliation.acknowledged(context, owned, &from, &flows, refused, now);
                self.channels.give_up(context, yielded, now);
            }
            Message::Adopt { ownership, channels, via } => {
                let (router, requests) = (&mut self.router, &mut self.requests);
                self.channels
                    .adopt(context, router, requests, &from, ownership, channels, via, now);
            }
            Message::Adopted { flow } => self.channels.confirmed(&from, &flow),
            Message::Forward(_) | Message::Reply { .. } | Message::Ack | Message::Gossip { .. } => {
            }
        }
    }

    fn deliver(&mut self, outcome: Outcome<Content>, now: Moment) {
        match outcome {
            Outcome::Deliver(arrival) => {
                let header = arrival.forward.header;
                self.serve(arrival, now);
                self.router.close(&mut self.context, &header);
            }
            Outcome::OwnerDown(arrival) => self.serve_for_owner(arrival, now),
        }
    }

    // A request of a flow whose owner is presumed dead is served without owning the
    // flow; a channel needs an owner, so its flow is taken over.
    fn serve_for_owner(&mut self, arrival: Arrival<Content>, now: Moment) {
        let opens = matches!(&arrival.content, Content::Request(r) if r.observe == Some(true));
        if !opens {
            let forward = Forward { mode: Mode::Delegate, ..arrival.forward };
            self.serve(Arrival { forward, ..arrival }, now);
        } else if let Some(outcome) = self.router.take_over(&mut self.context, arrival, now) {
            self.deliver(outcome, now);
        }
    }

    fn serve(&mut self, arrival: Arrival<Content>, now: Moment) {
        let Arrival { forward, content, .. } = arrival;
        let context = &mut self.context;
        let flow = forward.header.flow;
        match content {
            Content::Request(request) if request.observe == Some(true) => {
                let (router, requests) = (&mut self.router, &mut self.requests);
                self.channels.register(context, router, requests, forward, request, now);
            }
            Content::Request(request) => {
                if request.observe == Some(false) {
                    let token = &request.token;
                    self.channels.deregister(context, &mut self.router, flow, token);
                }
                self.requests.receive(context, &mut self.local_witness, forward, request, now);
            }
            Content::Acknowledge(id) => {
                self.channels.acknowledged(context, flow, id, forward.via, now);
            }
            Content::Reset(id) => {
                self.channels.reset(context, &mut self.router, flow, id);
            }
        }
    }

    fn learn_memberships(&mut self, memberships: &[Membership], now: Moment) {
        let service = self.context.joint.current().service.clone();
        let mut learned = false;
        for membership in memberships.iter().filter(|m| m.service == service) {
            learned |= self.context.joint.learn(membership);
        }
        if learned {
            self.context.refresh_peers(now);
            self.requests.joint_changed(&mut self.context);
        }
    }

    // The flows that concern a peer follow from the manifest, so an agent with an
    // older version than the peer's does not answer, except to send grants to a
    // recovering peer.
    fn sync(&mut self, peer: &Name, requester: Incarnation, version: u64, recovering: bool) {
        let context = &mut self.context;
        let mine = context.manifest.version();
        if mine < version && !recovering {
            return;
        }
        let flows = claims_for(context, self.router.flows(), peer);
        let mut grants = Vec::new();
        if recovering {
            grants = self.local_witness.grants_for(|key| is_witness(context, peer, key));
            grants.extend(self.requests.held_grants(context, |key| is_witness(context, peer, key)));
        }
        let memberships = context.joint.all().map(|m| (**m).clone()).collect();
        let recovering = self.local_witness.is_recovering();
        let former = context.former().to_vec();
        let version = mine;
        let synced =
            Message::Synced { version, flows, grants, memberships, former, recovering, requester };
        context.send(peer, synced);
    }

    fn spread(&mut self, agent: &Name, down: bool, now: Moment) {
        self.notice_stamp = self.notice_stamp.max(now.0) + 1;
        let notice = Notice { agent: agent.clone(), down, stamp: self.notice_stamp };
        self.context.act(Action::Spread(notice));
    }
}
