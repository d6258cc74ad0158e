//! What agents tell each other about backend servers whose runs have ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::front::packet::action::Action;
use lagoonhollow_lib::front::packet::agent::Agent;
use lagoonhollow_lib::front::packet::context::Identity;
use lagoonhollow_lib::front::packet::event::Decision;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;
use lagoonhollow_lib::process::ended_runs::EndedRun;
use lagoonhollow_lib::process::liveness::KeepAlive;
use lagoonhollow_lib::process::neighbours::Neighbours;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;
use lagoonhollow_lib::version::roster::Roster;
use lagoonhollow_testutils::packets::world::World;

const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(10);
const SEEDS: u64 = 6;
const LINK_PORT: u16 = 7_720;
const START: Moment = Moment(1_790_000_000_000_000);

/// The target size.
const FLEET: usize = 6_200;
/// VMs of a failure domain.
const DOMAIN: usize = 900;
/// Maximum number of datagrams in one tick.
const PER_TICK: usize = 512;
/// Time of a planned stop of an agent.
const STOP: Duration = Duration::from_millis(300);
/// Time for which an ended run is remembered.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of ended runs that are remembered.
const MAX_RUNS: usize = 1_024;

fn member(i: usize) -> Member {
    Member {
        name: format!("b-{i:05}").into(),
        service: format!("s-{}", i % 40).into(),
        address: SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8 + 1], 8_000)),
        domain: format!("d-{}", i % 7).into(),
        slots: 4,
        standing: MemberState::Ready,
        warming: Duration::ZERO,
        born: START.0 / 1_000,
    }
}

fn link(member: &Member) -> SocketAddr {
    SocketAddr::new(member.address.ip(), LINK_PORT)
}

fn view(count: usize) -> View {
    let roster = Arc::new(Roster::open(1.into(), (0..count).map(member)));
    View { roster, fresh: true, read_at: START, ..View::default() }
}

/// Returns an agent whose backend server is registered.
fn running(i: usize, view: &View) -> Agent {
    let member = member(i);
    let me = Identity {
        link: link(&member),
        domain: member.domain.clone(),
        run: Incarnation(START.0 + i as u64),
        backend: member.address,
        service: member.service,
        reuse_delay: SECOND * 2,
        entry_ttl: SECOND * 4,
        first_start: true,
        allowance: None,
    };
    let mut agent = Agent::open(me, START);
    agent.update_view(view.clone(), START);
    agent.take_actions();
    agent
}

/// Returns an agent that stops after the end of its backend server's run.
fn stopping(i: usize, view: &View) -> Agent {
    let mut agent = running(i, view);
    agent.update_keep_alive(KeepAlive::Refused, START);
    agent.leave(START);
    agent.take_actions();
    agent
}

/// Returns the addresses of the agents that are told of an ended run.
fn told(actions: &[Action]) -> Vec<SocketAddr> {
    let to = |a: &Action| match a {
        Action::Send { to, message: Message::Ended { .. }, .. } => Some(*to),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

// Issue 33: homes of other services wait for the agent too, and learned of its end only when
// the registry entry lapsed.
#[test]
fn agents_of_other_services_are_told_of_the_end_while_the_entry_is_listed() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, 3, &[("alarm", 6), ("feed", 4)]);
        world.run(SECOND * 10);
        world.crash(9, false);
        world.run(SECOND);
        let now = world.now;
        world.agents[9].agent().unwrap().leave(now);
        world.run(STOP);
        world.kill_agent(9);
        let ended = world.backends[9].member.clone();
        let link = world.agents[9].link;
        for i in 0..9 {
            let node = &world.agents[i];
            assert!(node.view.roster.holder(ended.address).is_some(), "seed {seed}, agent {i}");
            let heard = world.events.iter().filter(|(at, to, event)| {
                let of_peer = event.decision == Decision::PeerRunEnded && event.peer == Some(link);
                *at >= now && *to == node.link && of_peer && event.value == ended.born
            });
            assert_eq!(heard.count(), 1, "seed {seed}, agent {i}");
        }
    }
}

// An agent is stopped beside a backend server that goes on: its flows are not lost.
#[test]
fn no_agent_is_told_of_an_end_while_the_run_goes_on() {
    let mut world = World::open(1, 3, &[("alarm", 6), ("feed", 4)]);
    world.run(SECOND * 10);
    let now = world.now;
    world.agents[9].agent().unwrap().leave(now);
    world.run(STOP);
    let heard = world.events.iter().any(|(_, _, e)| e.decision == Decision::PeerRunEnded);
    assert!(!heard);
}

// A datagram to each agent of the fleet in one tick would fill socket buffers.
#[test]
fn all_agents_of_a_large_fleet_are_told_twice_in_small_parts_within_a_planned_stop() {
    let view = view(FLEET);
    let mut agent = stopping(0, &view);
    let mut times: BTreeMap<SocketAddr, Vec<Moment>> = BTreeMap::new();
    let mut now = START;
    while now < START + STOP {
        now = now + TICK;
        agent.tick(now);
        // Changes of the view between two ticks send nothing more.
        agent.update_view(view.clone(), now + TICK / 2);
        let part = told(&agent.take_actions());
        assert!(part.len() <= PER_TICK, "{} datagrams in one tick", part.len());
        part.into_iter().for_each(|to| times.entry(to).or_default().push(now));
    }
    assert!(!agent.has_pending());
    let all: Vec<_> = (1..FLEET).map(|i| link(&member(i))).collect();
    assert_eq!(times.keys().copied().collect::<Vec<_>>(), all);
    for (to, times) in times {
        assert_eq!(times.len(), 2, "{to}");
        assert!(times[1].since(times[0]) >= Duration::from_millis(100), "{to}: {times:?}");
    }
}

// Ticks come every 50 ms unless something is pending, too rarely for the parts.
#[test]
fn a_notice_is_pending_until_all_have_been_told_twice() {
    let mut agent = stopping(0, &view(3));
    let mut parts = Vec::new();
    assert!(!agent.has_pending());
    let mut now = START;
    while now < START + STOP {
        now = now + TICK;
        agent.tick(now);
        let part = told(&agent.take_actions());
        if !part.is_empty() {
            parts.push((part.len(), agent.has_pending()));
        }
    }
    assert_eq!(parts, [(2, true), (2, false)]);
}

// Agents of a failure domain that stop at once and send in the order of the addresses would all
// send to the same receivers at a time, whose buffers overflow.
#[test]
fn agents_that_stop_together_send_to_different_agents_at_a_time() {
    let view = view(FLEET);
    let stopped = 100;
    let mut received: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for i in 0..stopped {
        let mut agent = stopping(i, &view);
        agent.tick(START + TICK);
        let part = told(&agent.take_actions());
        part.into_iter().for_each(|to| *received.entry(to).or_default() += 1);
    }
    let most = received.values().max().copied().unwrap_or_default();
    let average = stopped * PER_TICK / FLEET;
    assert!(most > 0 && most <= 4 * average, "{most} datagrams at one agent, {average} on average");
}

// All agents that are behind would read changes from a process that stops, at once.
#[test]
fn no_agent_reads_changes_from_one_that_says_it_stops() {
    let ended = || Message::Ended {
        link: link(&member(1)),
        run: Incarnation(1),
        ended: Some(member(1).run()),
    };
    // Another agent may pass the message on, and goes on running.
    let cases = [(1, ended(), false), (2, ended(), true), (1, Message::Hello, true)];
    for (from, message, reads) in cases {
        let mut agent = stopping(0, &view(3));
        let known = KnownVersions { roster: 9.into(), ..KnownVersions::default() };
        agent.handle_message(link(&member(from)), known, message.clone(), None, START);
        let behind = agent.take_actions().iter().any(|a| matches!(a, Action::Behind { .. }));
        assert_eq!(behind, reads, "{message:?} from {from}");
    }
}

fn ended(i: usize) -> EndedRun {
    EndedRun { agent: Incarnation(i as u64), run: Some(member(i).run()) }
}

fn knows(neighbours: &Neighbours, i: usize) -> bool {
    let member = member(i);
    neighbours.has_ended(link(&member), Some(&member))
}

#[test]
fn the_ends_of_a_whole_failure_domain_during_a_release_are_known() {
    let mut neighbours = Neighbours::default();
    // 1,300 VMs a day, all within one working hour of a release, before the domain stops.
    let release = 1_300 / (3_600 / RETENTION.as_secs() as usize);
    for i in 0..DOMAIN + release {
        assert!(neighbours.end(link(&member(i)), ended(i), START), "{i}");
    }
    assert!((0..DOMAIN + release).all(|i| knows(&neighbours, i)));
    assert!(!knows(&neighbours, DOMAIN + release));
}

// A run that can't be remembered counts as one that may go on, and displaces none.
#[test]
fn a_run_beyond_the_limit_is_not_known_as_ended() {
    let mut neighbours = Neighbours::default();
    for i in 0..MAX_RUNS {
        assert!(neighbours.end(link(&member(i)), ended(i), START), "{i}");
    }
    assert!(!neighbours.end(link(&member(MAX_RUNS)), ended(MAX_RUNS), START));
    assert!(!knows(&neighbours, MAX_RUNS));
    assert!((0..MAX_RUNS).all(|i| knows(&neighbours, i)));
    assert_eq!(neighbours.ended().count(), MAX_RUNS);
    // Its agent is remembered once others are forgotten.
    neighbours.expire(START + RETENTION);
    assert!(neighbours.end(link(&member(MAX_RUNS)), ended(MAX_RUNS), START + RETENTION));
    assert!(knows(&neighbours, MAX_RUNS));
    assert!(!knows(&neighbours, 0));
}

// An address is used again: the end of the run before says nothing about the one that is
// listed there.
#[test]
fn a_later_run_at_the_address_of_an_ended_one_is_not_known_as_ended() {
    let mut neighbours = Neighbours::default();
    neighbours.end(link(&member(0)), ended(0), START);
    let later = Member { born: member(0).born + 1, ..member(0) };
    assert!(!neighbours.has_ended(link(&later), Some(&later)));
    let other = Member { name: "other".into(), service: "s-1".into(), ..member(0) };
    assert!(!neighbours.has_ended(link(&other), Some(&other)));
}

// The keep-alive connection is opened again 300 ms after a refusal. An agent that stopped in that time
// told everyone that the run which had just registered itself had ended.
#[test]
fn a_refusal_before_a_run_registered_itself_is_no_end_of_that_run() {
    let before = view(3);
    let mut agent = running(0, &before);
    agent.update_keep_alive(KeepAlive::Refused, START);
    let mut later = member(0);
    later.name = "b-later".into();
    later.born += 1_000;
    let members = [later, member(1), member(2)];
    let roster = Roster::open(before.roster.revision(), members);
    let now = START + Duration::from_millis(100);
    agent.update_view(View { roster: Arc::new(roster), ..before }, now);
    agent.leave(now);
    agent.tick(now + TICK);
    assert_eq!(told(&agent.take_actions()), Vec::<SocketAddr>::new());
}
