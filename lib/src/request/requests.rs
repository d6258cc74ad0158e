//! The requests that one agent works on, and the answers it keeps.

use std::time::Duration;

use super::admission::Admission;
use super::admission::Turn;
use super::answer::Answer;
use super::answer::Code;
use super::ballot::Ballot;
use super::ballot::witnesses;
use super::exchange::Exchange;
use super::exchange::Stage;
use super::exchanges::Exchanges;
use super::grant::Grant;
use super::key::RequestKey;
use super::lending::Lending;
use super::message::Request;
use super::run::Asking;
use super::run::Run;
use super::run::Started;
use super::votes::Votes;
use super::witness::Vote;
use crate::process::action::Action;
use crate::process::context::Context;
use crate::process::message::Message;
use crate::process::message::Mode;
use crate::process::message::Pass;
use crate::process::safeguard::Safeguard;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Time after which a silent witness is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// Time beyond its deadline that a backend server is given for an answer.
const GRACE: Duration = Duration::from_millis(500);
/// Time for which a backend server that refused work is given no more.
const SHED_PAUSE: Duration = Duration::from_millis(300);

/// Request decisions of one agent.
#[derive(Debug)]
pub struct Requests {
    exchanges: Exchanges,
    admission: Admission,
    lending: Lending,
    // Until when the backend server counts as refusing work.
    shedding: Moment,
}

impl Requests {
    /// Opens without requests, before a backend server with `slots` slots.
    pub fn open(run: Incarnation, slots: u32) -> Self {
        Self {
            exchanges: Exchanges::open(run),
            admission: Admission::open(slots),
            lending: Lending::open(),
            shedding: Moment(0),
        }
    }

    /// Returns the admission.
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

    /// Draws a number that was never used.
    pub fn number(&mut self) -> u64 {
        self.exchanges.number()
    }

    /// Takes in a transmission of a request.
    pub fn receive(
        &mut self,
        context: &mut Context,
        votes: &mut Votes,
        pass: Pass,
        request: Request,
        now: Moment,
    ) {
        let key = RequestKey { flow: pass.header.flow, id: request.id };
        if !context.freshness().is_fresh(pass.seen, now) {
            context.count(Reason::Stale);
            return;
        }
        if let Some(exchange) = self.exchanges.get_mut(&key).filter(|e| !e.is_stranded(context)) {
            exchange.repeat(context, key, pass);
            return;
        }
        if self.exchanges.is_full() {
            context.count(Reason::RequestsFull);
            return;
        }
        self.lending.earn();
        let lent = pass.mode == Mode::Lend;
        if !lent && let Some(peer) = self.lender(context, &request.path, now) {
            context.count(Reason::Lent);
            context.peers.hand(&peer);
            self.lend(context, key, pass, peer, now);
            return;
        }
        let deadline = now + self.deadline(context, &request.path);
        if request.method.is_idempotent() {
            self.exchanges.insert(
                key,
                Stage::Queued(Run::idempotent(request, pass.seen, deadline)),
                pass,
                now,
            );
            self.admit(context, key, now);
            return;
        }
        let ballot = Ballot::open(key, context);
        let run = Run::open(request, pass.seen, deadline, ballot, now);
        self.exchanges.insert(key, Stage::Asking(run), pass, now);
        self.ask(context, votes, key, now);
    }

    /// Takes in a witness's vote.
    pub fn voted(
        &mut self,
        context: &mut Context,
        witness: &Name,
        run: Incarnation,
        key: RequestKey,
        vote: Vote,
        now: Moment,
    ) {
        let Some(Stage::Asking(asking)) = self.exchanges.get_mut(&key).map(|e| &mut e.stage) else {
            return;
        };
        if now >= asking.deadline {
            return;
        }
        match vote {
            Vote::Granted => asking.state.ballot.vote(witness.clone(), run),
            Vote::Held(h) if h.agent == context.me && h.run == context.run => {}
            Vote::Held(h) => asking.state.ballot.vote_against(witness.clone(), h),
            Vote::Abstained => {}
        }
        self.count_votes(context, key, now);
    }

    /// Follows a change of the open memberships.
    pub fn joint_changed(&mut self, context: &mut Context) {
        self.exchanges.each_asking(|run| {
            run.state.ballot.extend(context);
            run.state.asked = Moment(0);
        });
    }

    /// Drops votes that a restarted witness has forgotten.
    pub fn restarted(&mut self, witness: &Name, run: Incarnation) {
        self.exchanges.each_asking(|asking| asking.state.ballot.drop_vote(witness, run));
    }

    /// Takes in the backend server's answer to the request with number `id`.
    ///
    /// Returns false if no request waits for it.
    pub fn answered(
        &mut self,
        context: &mut Context,
        id: u64,
        answer: Answer,
        now: Moment,
    ) -> bool {
        let Some(key) = self.exchanges.take_number(id) else {
            return false;
        };
        let Some(run) = self.exchanges.running(&key) else {
            return false;
        };
        let shed = matches!(answer.code, Code::NotRun(_));
        self.admission.done(&key, !shed, now);
        if shed {
            self.shed(context, key, run, now);
        } else {
            self.finish(context, key, run.finish(answer));
        }
        self.pump(context, now);
        true
    }

    /// Returns the majorities that this agent holds and `concerns` selects.
    pub fn held(&self, context: &Context, concerns: impl Fn(&RequestKey) -> bool) -> Vec<Grant> {
        let held = |e: &Exchange| match &e.stage {
            Stage::Queued(run) => !run.request.method.is_idempotent(),
            Stage::Running(run) => !run.request.method.is_idempotent(),
            Stage::Done(_) => true,
            Stage::Asking(_) | Stage::Lent(_) => false,
        };
        let keys = self.exchanges.iter().filter(|(k, e)| held(e) && concerns(k)).map(|(k, _)| *k);
        let grant = |key| Grant { key, holder: context.holder(), held: true };
        let mut grants: Vec<_> = keys.map(grant).collect();
        grants.sort_by_key(|g| g.key);
        grants
    }

    /// Repeats, gives up and forgets what is due.
    pub fn sweep(&mut self, context: &mut Context, votes: &mut Votes, now: Moment) {
        for key in self.exchanges.active().clone() {
            let Some(exchange) = self.exchanges.get_mut(&key) else { continue };
            match &exchange.stage {
                Stage::Asking(run) if now >= run.deadline => {
                    self.give_up(context, key, Reason::NoMajority);
                }
                Stage::Asking(run) if now.since(run.state.asked) >= ASK_AGAIN => {
                    context.count(Reason::RetryGrant);
                    self.ask(context, votes, key, now);
                }
                Stage::Running(run) if now >= run.deadline + GRACE => {
                    self.lose(context, key, now);
                }
                _ => {}
            }
        }
        self.pump(context, now);
        self.exchanges.forget(context.freshness().memory(), now);
    }

    /// Starts queued work while slots are free.
    pub fn pump(&mut self, context: &mut Context, now: Moment) {
        while let Some(turn) = self.admission.next(now) {
            match turn {
                Turn::Start(key) => self.start(context, key, now),
                Turn::Expire(key) => self.refuse(context, key, Reason::Expired, now),
            }
        }
        context.health.shedding = now < self.shedding;
        context.health.backlog = micros(self.admission.backlog(now));
        context.health.pace = micros(self.admission.pace());
    }

    // A peer that would complete the work clearly sooner, or any that takes
    // work if this agent does not.
    fn lender(&self, context: &mut Context, path: &Name, now: Moment) -> Option<Name> {
        let mine = context.takes_work().then(|| self.admission.completion(path, now));
        self.lending.sooner(context, mine)
    }

    fn lend(
        &mut self,
        context: &mut Context,
        key: RequestKey,
        pass: Pass,
        peer: Name,
        now: Moment,
    ) {
        let hops = pass.hops + 1;
        let lent = Pass { mode: Mode::Lend, hops, ..pass.clone() };
        context.send(&peer, Message::Pass(lent));
        self.exchanges.insert(key, Stage::Lent(peer), pass, now);
    }

    fn deadline(&self, context: &Context, path: &Name) -> Duration {
        let service = context.manifest.service(&context.joint.current().service);
        service.map_or(crate::version::doc::DEFAULT_DEADLINE, |s| s.doc.deadline(path.as_str()))
    }

    /// Asks the witnesses that have not voted, this agent's own vote among them.
    fn ask(&mut self, context: &mut Context, votes: &mut Votes, key: RequestKey, now: Moment) {
        let Some(Stage::Asking(asking)) = self.exchanges.get_mut(&key).map(|e| &mut e.stage) else {
            return;
        };
        asking.state.asked = now;
        let seen = asking.seen;
        if context.joint.is_full() {
            return;
        }
        let revisions = asking.state.ballot.revisions();
        let missing = asking.state.ballot.missing();
        let holder = context.holder();
        let me = context.me.clone();
        for witness in missing.iter().filter(|w| **w != me) {
            let revisions = revisions.clone();
            let holder = holder.clone();
            context.send(witness, Message::Elect { key, holder, seen, revisions });
        }
        if missing.contains(&me)
            && let Ok(vote) = votes.elect(context, key, &holder, seen, &revisions, now)
        {
            let run = context.run;
            self.voted(context, &me, run, key, vote, now);
        }
    }

    fn count_votes(&mut self, context: &mut Context, key: RequestKey, now: Moment) {
        let Some(asking) = self.exchanges.asking(&key) else { return };
        match asking.hold() {
            Ok(run) => {
                self.exchanges.put(key, Stage::Queued(run));
                self.admit(context, key, now);
            }
            Err(run) => match run.state.ballot.lost_to() {
                Some(holder) => self.yield_to(context, key, *run, holder.agent, now),
                None => self.exchanges.put(key, Stage::Asking(*run)),
            },
        }
    }

    // Another agent has the request: it answers, unless it had to be asked
    // already and this agent was asked in turn.
    fn yield_to(
        &mut self,
        context: &mut Context,
        key: RequestKey,
        run: Run<Asking>,
        holder: Name,
        now: Moment,
    ) {
        let pass = self.exchanges.get(&key).map(|e| (e.lent, e.pass.clone()));
        match pass {
            Some((false, pass)) if context.peers.get(&holder).is_some() => {
                self.lend(context, key, pass, holder, now);
            }
            _ => self.finish(context, key, run.give_up(Reason::HeldElsewhere)),
        }
    }

    fn admit(&mut self, context: &mut Context, key: RequestKey, now: Moment) {
        let Some(Stage::Queued(run)) = self.exchanges.get(&key).map(|e| &e.stage) else {
            return;
        };
        let offered = if context.told_health().leaving {
            Err(Reason::Leaving)
        } else {
            self.admission.offer(key, &run.request.path, run.deadline, now)
        };
        match offered {
            Ok(()) => self.pump(context, now),
            Err(reason) => self.refuse(context, key, reason, now),
        }
    }

    fn start(&mut self, context: &mut Context, key: RequestKey, now: Moment) {
        let Some(run) = self.exchanges.queued(&key) else {
            self.admission.done(&key, false, now);
            return;
        };
        let id = self.number();
        let (request, deadline) = (run.request.clone(), run.deadline);
        self.exchanges.set_number(id, key);
        self.exchanges.put(key, Stage::Running(run.start(id, now)));
        context.act(Action::Run { id, request, deadline });
    }

    fn refuse(&mut self, context: &mut Context, key: RequestKey, reason: Reason, now: Moment) {
        let Some(run) = self.exchanges.queued(&key) else { return };
        context.count(reason);
        if run.request.method.is_idempotent() && self.retry(context, key, now) {
            return;
        }
        self.finish(context, key, run.refuse(reason));
    }

    // The backend server said that it did not start the work.
    fn shed(&mut self, context: &mut Context, key: RequestKey, run: Run<Started>, now: Moment) {
        context.count(Reason::Shed);
        self.shedding = now + SHED_PAUSE;
        let idempotent = run.request.method.is_idempotent();
        if idempotent && self.retry(context, key, now) {
            return;
        }
        self.finish(context, key, run.take_back().refuse(Reason::Shed));
    }

    /// Hands idempotent work to a peer, within the retry budget.
    fn retry(&mut self, context: &mut Context, key: RequestKey, now: Moment) -> bool {
        let Some((false, pass)) = self.exchanges.get(&key).map(|e| (e.lent, e.pass.clone())) else {
            return false;
        };
        let Some(peer) = self.lending.retry(context) else { return false };
        self.lend(context, key, pass, peer, now);
        true
    }

    fn lose(&mut self, context: &mut Context, key: RequestKey, now: Moment) {
        let Some(run) = self.exchanges.running(&key) else { return };
        let id = run.state.id;
        self.exchanges.take_number(id);
        // A lost answer says that the path takes at least this long.
        self.admission.done(&key, true, now);
        context.count(Reason::AnswerLost);
        context.act(Action::Cancel { id });
        self.finish(context, key, run.lose(Reason::AnswerLost));
    }

    fn give_up(&mut self, context: &mut Context, key: RequestKey, reason: Reason) {
        let Some(run) = self.exchanges.asking(&key) else { return };
        context.count(reason);
        let mut answer = run.give_up(reason);
        if !context.keeps(Safeguard::MajorityBeforeRefusal) {
            answer.code = Code::NotRun(reason);
        }
        self.finish(context, key, answer);
    }

    fn finish(&mut self, context: &mut Context, key: RequestKey, answer: Answer) {
        if let Some(via) = self.exchanges.get(&key).map(|e| e.pass.via.clone()) {
            let (flow, id) = (key.flow, key.id);
            context.act(Action::Answer { via, flow, id, answer: answer.clone() });
            self.exchanges.put(key, Stage::Done(answer));
        }
    }
}

/// Returns whether `witness` is a witness of `key` under an open membership.
pub fn concerns(context: &Context, witness: &Name, key: &RequestKey) -> bool {
    context.joint.all().any(|m| witnesses(m, key).contains(witness))
}

fn micros(d: Duration) -> u32 {
    u32::try_from(d.as_micros()).unwrap_or(u32::MAX)
}
