//! What an agent asks and tells others about runs: its own, and those of backend servers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::context::AgentContext;
use super::event::Decision;
use super::event::Event;
use super::local_backend::LocalBackend;
use super::message::Message;
use super::unsure_answers::UnsureAnswers;
use crate::process::end_notice::EndNotice;
use crate::process::first_run::FirstRun;
use crate::process::known_runs::KnownRuns;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::wall_time::WallTime;
use crate::version::member::Member;

/// Maximum number of agents of the service that are asked in one round.
const ASKED_OF_SERVICE: usize = 12;
/// Maximum number of agents of other services that are asked in one round, as a service may
/// have few.
const ASKED_OF_OTHERS: usize = 4;

/// Evidence about this process, and the memory of other processes' runs.
#[derive(Debug, Default)]
pub struct RunExchange {
    /// Evidence that this process is its agent's first one beside its backend server's run;
    /// none without a clock.
    pub first_run: Option<FirstRun>,
    /// Processes of other agents.
    pub known: KnownRuns,
    /// Questions to answer again once the flow table is complete.
    pub unsure: UnsureAnswers,
    // How far the time of day is ahead of the steady time, in milliseconds.
    ahead: Option<i64>,
    // Whether the flow table was complete before.
    complete: bool,
    // The last registered run of the backend server.
    last: Option<Arc<Member>>,
    // Progress of telling its end.
    notice: EndNotice,
}

impl RunExchange {
    /// Follows the clock of the VM.
    pub fn update_clock(&mut self, wall: WallTime, now: Moment) {
        self.ahead = Some(wall.ahead_of(now));
        if let Some(first_run) = &mut self.first_run {
            first_run.check_clock(wall, now);
        }
    }

    /// Returns the time of day; none without a clock.
    pub fn wall(&self, now: Moment) -> Option<WallTime> {
        self.ahead.map(|ahead| WallTime::at(now, ahead))
    }

    /// Records that another agent knows flows of an earlier process.
    pub fn refute(&mut self) {
        if let Some(first_run) = &mut self.first_run {
            first_run.refute();
        }
    }

    /// Collects evidence for the registered run and draws the conclusion from it, and tells
    /// others, when the agent stops, that the run has ended. Returns whether the flow table
    /// has become complete, by this evidence or by another.
    pub fn follow(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        now: Moment,
    ) -> bool {
        if let Some(member) = backend.health().member().cloned() {
            if !backend.is_complete() {
                self.ask(context, &member, now);
            }
            if !backend.is_complete() && self.proves(&member) {
                backend.prove_complete();
                context.record(Event::of(Decision::Complete).value(member.born));
            }
            self.last = Some(member);
        }
        if backend.health().is_leaving() {
            self.tell_end(context, backend, now);
        }
        let before = std::mem::replace(&mut self.complete, backend.is_complete());
        self.complete && !before
    }

    /// Returns whether other agents are being told that the run of the backend server has ended.
    pub fn has_pending(&self) -> bool {
        self.notice.is_pending()
    }

    /// Tells all other agents that the run of the backend server has ended, once it has. At
    /// the target size that is two rounds to 6,200 agents, of at most 512 datagrams every 10 ms.
    fn tell_end(&mut self, context: &mut AgentContext, backend: &LocalBackend, now: Moment) {
        let last = self.last.as_ref();
        if !backend.health().has_ended(last.map(Arc::as_ref), now) {
            return;
        }
        let part = self.notice.next_part(|| others(context), now);
        let (link, run) = (context.me.link, context.me.run);
        let ended = Message::Ended { link, run, ended: last.map(|m| m.run()) };
        for peer in part {
            context.send(peer, ended.clone());
        }
    }

    /// Asks other agents, if due, whether they have heard of an earlier process of this one.
    /// The same agents are asked as far as possible, so that they know the processes that
    /// asked before.
    fn ask(&mut self, context: &mut AgentContext, member: &Member, now: Moment) {
        let Some(first_run) = &mut self.first_run else { return };
        let Some(token) = first_run.ask(WallTime(member.born), now) else { return };
        let (run, age_ms) = (context.me.run, first_run.age(now).as_millis() as u32);
        for link in asked(context, &member.service) {
            if !first_run.has_replied(link) {
                context.send(link, Message::RunQuery { run, token, age_ms });
            }
        }
    }

    /// Returns whether this process is certainly its agent's first one beside this run.
    fn proves(&self, member: &Member) -> bool {
        self.first_run.as_ref().is_some_and(|f| f.proves(WallTime(member.born)))
    }
}

/// Returns the other agents of the roster in an order of this process's own. Agents of many VMs
/// that stop at once send to different ones at a time.
fn others(context: &AgentContext) -> Vec<SocketAddr> {
    let members = context.view.roster.members().iter();
    let links: BTreeSet<_> = members.map(|m| context.link(m)).collect();
    let mut links: Vec<_> = links.into_iter().filter(|l| *l != context.me.link).collect();
    let seed = xxh3_64_with_seed(context.me.link.to_string().as_bytes(), context.me.run.0);
    links.shuffle(&mut Pcg64Mcg::seed_from_u64(seed));
    links
}

/// Returns the agents to ask, which follow from the roster and this agent's address.
fn asked(context: &AgentContext, service: &Name) -> Vec<SocketAddr> {
    let roster = &context.view.roster;
    // Addresses are as good as hashes here: only that processes agree on the order matters.
    let key = u64::from(context.me.backend.port()) + hash_ip(context.me.link);
    let pool = roster.pool(service);
    let own = pool.into_iter().flat_map(|p| p.ranks(key, ASKED_OF_SERVICE + 1));
    let own = own.map(|m| context.link(m)).filter(|l| *l != context.me.link);
    let mut others: Vec<_> = roster.members().iter().filter(|m| m.service != *service).collect();
    let start = key as usize % others.len().max(1);
    others.rotate_left(start);
    let others = others.into_iter().take(ASKED_OF_OTHERS).map(|m| context.link(m));
    own.take(ASKED_OF_SERVICE).chain(others).collect()
}

fn hash_ip(link: SocketAddr) -> u64 {
    match link {
        SocketAddr::V4(v4) => u64::from(u32::from(*v4.ip())),
        SocketAddr::V6(v6) => u128::from(*v6.ip()) as u64,
    }
}
