//! The requests that one agent processes, and the answers it keeps.

use std::time::Duration;

use super::admission::Admission;
use super::admission::Dispatch;
use super::answer::Answer;
use super::answer::Code;
use super::delegation::Delegation;
use super::exchange::Exchange;
use super::exchange::Stage;
use super::exchanges::Exchanges;
use super::execution::Execution;
use super::execution::Started;
use super::execution::Voting;
use super::grant::Grant;
use super::key::RequestKey;
use super::local_witness::LocalWitness;
use super::message::Request;
use super::vote_set::VoteSet;
use super::vote_set::witnesses;
use super::witness::Vote;
use crate::process::action::Action;
use crate::process::context::Context;
use crate::process::message::Forward;
use crate::process::message::Message;
use crate::process::message::Mode;
use crate::process::safeguard::Safeguard;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Time after which a witness that has not voted is asked again.
const VOTE_RETRY: Duration = Duration::from_millis(200);
/// Time after the deadline of a request for which its answer is still awaited.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time for which a backend server that refused a request is reported as overloaded.
const SHED_PAUSE: Duration = Duration::from_millis(300);

/// The requests of one agent and the decisions on them.
#[derive(Debug)]
pub struct Requests {
    exchanges: Exchanges,
    admission: Admission,
    delegation: Delegation,
    // Until when the backend server is reported as overloaded.
    shed_until: Moment,
}

impl Requests {
    /// Creates an empty table for a backend server with `slots` slots.
    pub fn open(run: Incarnation, slots: u32) -> Self {
        Self {
            exchanges: Exchanges::open(run),
            admission: Admission::open(slots),
            delegation: Delegation::open(),
            shed_until: Moment(0),
        }
    }

    /// Returns the admission control.
    pub fn admission(&mut self) -> &mut Admission {
        &mut self.admission
    }

    /// Returns the number of requests that are not answered yet.
    pub fn open_count(&self) -> usize {
        self.exchanges.active().len()
    }

    /// Returns the number of requests kept.
    pub fn len(&self) -> usize {
        self.exchanges.len()
    }

    /// Returns whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.exchanges.is_empty()
    }

    /// Returns an ID that has never been used.
    pub fn next_id(&mut self) -> u64 {
        self.exchanges.next_id()
    }

    /// Handles a transmission of a request.
    pub fn receive(
        &mut self,
        context: &mut Context,
        local_witness: &mut LocalWitness,
        forward: Forward,
        request: Request,
        now: Moment,
    ) {
        let key = RequestKey { flow: forward.header.flow, id: request.id };
        if !context.freshness().is_fresh(forward.seen, now) {
            context.count(Reason::Stale);
            return;
        }
        if let Some(exchange) = self.exchanges.get_mut(&key).filter(|e| !e.is_orphaned(context)) {
            exchange.handle_retransmission(context, key, forward);
            return;
        }
        if self.exchanges.is_full() {
            context.count(Reason::RequestsFull);
            return;
        }
        self.delegation.earn();
        let delegated = forward.mode == Mode::Delegate;
        if !delegated && let Some(peer) = self.faster_peer(context, &request.path, now) {
            context.count(Reason::Lent);
            context.peers.charge(&peer);
            self.delegate(context, key, forward, peer, now);
            return;
        }
        let deadline = now + self.deadline(context, &request.path);
        if request.method.is_idempotent() {
            self.exchanges.insert(
                key,
                Stage::Queued(Execution::idempotent(request, forward.seen, deadline)),
                forward,
                now,
            );
            self.admit(context, key, now);
            return;
        }
        let votes = VoteSet::open(key, context);
        let execution = Execution::open(request, forward.seen, deadline, votes, now);
        self.exchanges.insert(key, Stage::Voting(execution), forward, now);
        self.ask(context, local_witness, key, now);
    }

    /// Handles a witness's vote.
    pub fn voted(
        &mut self,
        context: &mut Context,
        witness: &Name,
        run: Incarnation,
        key: RequestKey,
        vote: Vote,
        now: Moment,
    ) {
        let Some(Stage::Voting(voting)) = self.exchanges.get_mut(&key).map(|e| &mut e.stage) else {
            return;
        };
        if now >= voting.deadline {
            return;
        }
        match vote {
            Vote::Granted => voting.state.votes.add_grant(witness.clone(), run),
            Vote::Held(h) if h.agent == context.me && h.run == context.run => {}
            Vote::Held(h) => voting.state.votes.add_denial(witness.clone(), h),
            Vote::Abstained => {}
        }
        self.count_votes(context, key, now);
    }

    /// Extends the votes in progress to newly opened memberships; missing votes are
    /// requested again at the next sweep.
    pub fn joint_changed(&mut self, context: &mut Context) {
        self.exchanges.for_each_voting(|execution| {
            execution.state.votes.extend(context);
            execution.state.asked = Moment(0);
        });
    }

    /// Removes the votes that a witness lost when it restarted as `run`.
    pub fn restarted(&mut self, witness: &Name, run: Incarnation) {
        self.exchanges.for_each_voting(|voting| voting.state.votes.remove_vote(witness, run));
    }

    /// Handles the backend server's answer to the request with the ID `id`.
    ///
    /// Returns false if no request waits for it.
    pub fn answered(
        &mut self,
        context: &mut Context,
        id: u64,
        answer: Answer,
        now: Moment,
    ) -> bool {
        let Some(key) = self.exchanges.take_id(id) else {
            return false;
        };
        let Some(execution) = self.exchanges.running(&key) else {
            return false;
        };
        let shed = matches!(answer.code, Code::NotRun(_));
        self.admission.done(&key, !shed, now);
        if shed {
            self.shed(context, key, execution, now);
        } else {
            self.finish(context, key, execution.finish(answer));
        }
        self.dispatch(context, now);
        true
    }

    /// Returns a grant for each request that `concerns` selects and for which this
    /// agent holds a majority.
    pub fn held_grants(
        &self,
        context: &Context,
        concerns: impl Fn(&RequestKey) -> bool,
    ) -> Vec<Grant> {
        let held = |e: &Exchange| match &e.stage {
            Stage::Queued(execution) => !execution.request.method.is_idempotent(),
            Stage::Running(execution) => !execution.request.method.is_idempotent(),
            Stage::Done(_) => true,
            Stage::Voting(_) | Stage::Delegated(_) => false,
        };
        let keys = self.exchanges.iter().filter(|(k, e)| held(e) && concerns(k)).map(|(k, _)| *k);
        let grant = |key| Grant { key, holder: context.holder(), held: true };
        let mut grants: Vec<_> = keys.map(grant).collect();
        grants.sort_by_key(|g| g.key);
        grants
    }

    /// Requests missing votes again, ends requests after their deadline, dispatches
    /// queued ones and removes those whose retention period has ended.
    pub fn sweep(&mut self, context: &mut Context, local_witness: &mut LocalWitness, now: Moment) {
        for key in self.exchanges.active().clone() {
            let Some(exchange) = self.exchanges.get_mut(&key) else { continue };
            match &exchange.stage {
                Stage::Voting(execution) if now >= execution.deadline => {
                    self.give_up(context, key, Reason::NoMajority);
                }
                Stage::Voting(execution) if now.since(execution.state.asked) >= VOTE_RETRY => {
                    context.count(Reason::RetryGrant);
                    self.ask(context, local_witness, key, now);
                }
                Stage::Running(execution) if now >= execution.deadline + ANSWER_GRACE => {
                    self.time_out(context, key, now);
                }
                _ => {}
            }
        }
        self.dispatch(context, now);
        self.exchanges.expire(context.freshness().retention(), now);
    }

    /// Starts queued requests while slots are free, and updates the agent's health.
    pub fn dispatch(&mut self, context: &mut Context, now: Moment) {
        while let Some(next) = self.admission.next(now) {
            match next {
                Dispatch::Start(key) => self.start(context, key, now),
                Dispatch::Expire(key) => self.refuse(context, key, Reason::Expired, now),
            }
        }
        context.health.shedding = now < self.shed_until;
        context.health.backlog = micros(self.admission.backlog(now));
        context.health.service_time = micros(self.admission.service_time());
    }

    /// Returns a peer that would complete a request clearly sooner, or any peer that
    /// accepts requests if this agent does not.
    fn faster_peer(&self, context: &mut Context, path: &Name, now: Moment) -> Option<Name> {
        let mine = context.takes_work().then(|| self.admission.completion(path, now));
        self.delegation.faster_peer(context, mine)
    }

    fn delegate(
        &mut self,
        context: &mut Context,
        key: RequestKey,
        forward: Forward,
        peer: Name,
        now: Moment,
    ) {
        let hops = forward.hops + 1;
        let delegated = Forward { mode: Mode::Delegate, hops, ..forward.clone() };
        context.send(&peer, Message::Forward(delegated));
        self.exchanges.insert(key, Stage::Delegated(peer), forward, now);
    }

    fn deadline(&self, context: &Context, path: &Name) -> Duration {
        let service = context.manifest.service(&context.joint.current().service);
        service.map_or(crate::version::doc::DEFAULT_DEADLINE, |s| s.doc.deadline(path.as_str()))
    }

    /// Requests the votes of all witnesses that have not voted, including this agent.
    fn ask(
        &mut self,
        context: &mut Context,
        local_witness: &mut LocalWitness,
        key: RequestKey,
        now: Moment,
    ) {
        let Some(Stage::Voting(voting)) = self.exchanges.get_mut(&key).map(|e| &mut e.stage) else {
            return;
        };
        voting.state.asked = now;
        let seen = voting.seen;
        if context.joint.is_full() {
            return;
        }
        let revisions = voting.state.votes.revisions();
        let missing = voting.state.votes.missing();
        let holder = context.holder();
        let me = context.me.clone();
        for witness in missing.iter().filter(|w| **w != me) {
            let revisions = revisions.clone();
            let holder = holder.clone();
            context.send(witness, Message::RequestVote { key, holder, seen, revisions });
        }
        if missing.contains(&me)
            && let Ok(vote) = local_witness.vote(context, key, &holder, seen, &revisions, now)
        {
            let run = context.run;
            self.voted(context, &me, run, key, vote, now);
        }
    }

    fn count_votes(&mut self, context: &mut Context, key: RequestKey, now: Moment) {
        let Some(voting) = self.exchanges.voting(&key) else { return };
        match voting.hold() {
            Ok(execution) => {
                self.exchanges.set_stage(key, Stage::Queued(execution));
                self.admit(context, key, now);
            }
            Err(execution) => match execution.state.votes.winner() {
                Some(holder) => self.yield_to(context, key, *execution, holder.agent, now),
                None => self.exchanges.set_stage(key, Stage::Voting(*execution)),
            },
        }
    }

    /// Delegates a request to the agent `holder` that was granted it.
    ///
    /// If the request was itself delegated to this agent, or `holder` is not a
    /// known peer, the request ends with an unknown outcome.
    fn yield_to(
        &mut self,
        context: &mut Context,
        key: RequestKey,
        execution: Execution<Voting>,
        holder: Name,
        now: Moment,
    ) {
        let forward = self.exchanges.get(&key).map(|e| (e.delegated, e.forward.clone()));
        match forward {
            Some((false, forward)) if context.peers.get(&holder).is_some() => {
                self.delegate(context, key, forward, holder, now);
            }
            _ => self.finish(context, key, execution.abandon(Reason::HeldElsewhere)),
        }
    }

    fn admit(&mut self, context: &mut Context, key: RequestKey, now: Moment) {
        let Some(Stage::Queued(execution)) = self.exchanges.get(&key).map(|e| &e.stage) else {
            return;
        };
        let offered = if context.reported_health().leaving {
            Err(Reason::Leaving)
        } else {
            self.admission.offer(key, &execution.request.path, execution.deadline, now)
        };
        match offered {
            Ok(()) => self.dispatch(context, now),
            Err(reason) => self.refuse(context, key, reason, now),
        }
    }

    fn start(&mut self, context: &mut Context, key: RequestKey, now: Moment) {
        let Some(execution) = self.exchanges.queued(&key) else {
            self.admission.done(&key, false, now);
            return;
        };
        let id = self.next_id();
        let (request, deadline) = (execution.request.clone(), execution.deadline);
        self.exchanges.assign_id(id, key);
        self.exchanges.set_stage(key, Stage::Running(execution.start(id, now)));
        context.act(Action::Run { id, request, deadline });
    }

    fn refuse(&mut self, context: &mut Context, key: RequestKey, reason: Reason, now: Moment) {
        let Some(execution) = self.exchanges.queued(&key) else { return };
        context.count(reason);
        if execution.request.method.is_idempotent() && self.retry(context, key, now) {
            return;
        }
        self.finish(context, key, execution.refuse(reason));
    }

    /// Handles the backend server's refusal of a request, which it did not start.
    fn shed(
        &mut self,
        context: &mut Context,
        key: RequestKey,
        execution: Execution<Started>,
        now: Moment,
    ) {
        context.count(Reason::Shed);
        self.shed_until = now + SHED_PAUSE;
        let idempotent = execution.request.method.is_idempotent();
        if idempotent && self.retry(context, key, now) {
            return;
        }
        self.finish(context, key, execution.return_unstarted().refuse(Reason::Shed));
    }

    /// Delegates an idempotent request to a peer, within the retry budget; returns
    /// whether it did.
    fn retry(&mut self, context: &mut Context, key: RequestKey, now: Moment) -> bool {
        let Some((false, forward)) =
            self.exchanges.get(&key).map(|e| (e.delegated, e.forward.clone()))
        else {
            return false;
        };
        let Some(peer) = self.delegation.retry_peer(context) else { return false };
        self.delegate(context, key, forward, peer, now);
        true
    }

    fn time_out(&mut self, context: &mut Context, key: RequestKey, now: Moment) {
        let Some(execution) = self.exchanges.running(&key) else { return };
        let id = execution.state.id;
        self.exchanges.take_id(id);
        // The service time of the path is at least the time that has passed.
        self.admission.done(&key, true, now);
        context.count(Reason::AnswerLost);
        context.act(Action::Cancel { id });
        self.finish(context, key, execution.answer_lost(Reason::AnswerLost));
    }

    fn give_up(&mut self, context: &mut Context, key: RequestKey, reason: Reason) {
        let Some(execution) = self.exchanges.voting(&key) else { return };
        context.count(reason);
        let mut answer = execution.abandon(reason);
        if !context.enforces(Safeguard::MajorityBeforeRefusal) {
            answer.code = Code::NotRun(reason);
        }
        self.finish(context, key, answer);
    }

    fn finish(&mut self, context: &mut Context, key: RequestKey, answer: Answer) {
        if let Some(via) = self.exchanges.get(&key).map(|e| e.forward.via.clone()) {
            let (flow, id) = (key.flow, key.id);
            context.act(Action::Answer { via, flow, id, answer: answer.clone() });
            self.exchanges.set_stage(key, Stage::Done(answer));
        }
    }
}

/// Returns whether `witness` is a witness of `key` under an open membership.
pub fn is_witness(context: &Context, witness: &Name, key: &RequestKey) -> bool {
    context.joint.all().any(|m| witnesses(m, key).contains(witness))
}

fn micros(d: Duration) -> u32 {
    u32::try_from(d.as_micros()).unwrap_or(u32::MAX)
}
