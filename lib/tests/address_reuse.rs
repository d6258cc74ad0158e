//! Addresses of backend servers that end go to other ones, also of another service, while
//! processes know an outdated roster. A flow that is opened by address alone then reaches a
//! service that no route allows.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::front::packet::action::Action;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;
use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;
use lagoonhollow_testutils::packets::world::address;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 20;
const ENTRIES: usize = 3;

/// One request on a flow of its own.
const SINGLE_REQUEST: Plan =
    Plan { requests: 1, pause: Duration::ZERO, work: Duration::from_millis(30), deadline: SECOND };

/// Requests on one flow, over about 20 s.
const LONG_FLOW: Plan = Plan {
    requests: 60,
    pause: Duration::from_millis(300),
    work: Duration::from_millis(20),
    deadline: Duration::from_secs(4),
};

/// Starts a fleet of two services; the first one's agents have the indices 0 to 4.
fn fleet(seed: u64) -> World {
    let mut world = World::open(seed, ENTRIES, &[("alarm", 5), ("firmware", 3)]);
    world.run(SECOND * 2);
    world
}

fn calls(world: &mut World, count: u64) {
    for i in 0..count {
        world.call(0, SINGLE_REQUEST, Duration::from_millis(10 * i));
    }
}

/// Restarts all processes; the settings of agent 1 name `service`, if one is given.
fn restart_all(world: &mut World, service: Option<&str>) {
    let agents = world.agents.len();
    (0..ENTRIES).for_each(|i| world.kill_entry(i));
    (0..agents).for_each(|i| world.kill_agent(i));
    (0..ENTRIES).for_each(|i| world.start_entry(i));
    for i in 0..agents {
        match service.filter(|_| i == 1) {
            Some(service) => world.start_agent_of(i, service.into(), false),
            None => world.start_agent(i, false),
        }
    }
}

// A VM took over the address of one that was lost, for another service, while no process
// could read the store. Its agent learned the outdated roster from other agents, took the
// former holder's entry for its own backend server's and placed flows on itself.
#[test]
fn an_agent_that_starts_at_a_reused_address_takes_no_flow_of_the_former_service() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.store_up = false;
        world.crash(1, true);
        world.kill_agent(1);
        world.run(Duration::from_millis(500));
        world.restart_backend(1, Some("firmware"));
        world.start_agent(1, false);
        calls(&mut world, 300);
        world.run(SECOND * 4);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        world.store_up = true;
        world.run(SECOND);
        let begun = world.backends[1].begun;
        for i in 0..300 {
            world.call(1, SINGLE_REQUEST, Duration::from_millis(10 * i));
        }
        world.run(SECOND * 4);
        assert!(world.backends[1].begun > begun, "seed {seed}: the new holder is not used");
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

// The settings name the service at the start of the process; an address may go to another
// service while the process runs, and an agent that is killed then starts with outdated ones.
#[test]
fn an_entry_under_another_service_than_the_settings_counts_once_it_outlasts_its_heartbeats() {
    let mut world = fleet(1);
    world.kill_agent(1);
    world.start_agent(1, false);
    world.run(Duration::from_millis(100));
    world.restart_backend(1, Some("firmware"));
    world.run(SECOND * 6);
    for i in 0..100 {
        world.call(1, SINGLE_REQUEST, Duration::from_millis(10 * i));
    }
    world.run(SECOND * 4);
    assert!(world.backends[1].begun > 0);
    assert_eq!(world.checks.violations, Vec::<String>::new());
}

// An owner passed a repeated opening packet of a flow that it no longer had to its backend
// server, whatever service the flow was for.
#[test]
fn a_delivered_opening_packet_of_another_service_is_not_passed_on() {
    let mut world = fleet(1);
    let now = world.now;
    let entry = world.entries[0].link;
    for (service, passed) in [(1, false), (0, true)] {
        let caller = SocketAddr::from(([100, 64, 0, 9], 5_000));
        let flow = FlowKey { protocol: Protocol::Tcp, caller, service: address(service) };
        let flags = Flags { opens: true, ..Flags::default() };
        let segment = Segment { flow, flags, seq: 1, ack: 1, len: 0, attempt: 1 };
        let packet = Packet { segment, raw: vec![0].into() };
        let agent = world.agents[1].agent().unwrap();
        agent.take_actions();
        let message = Message::Deliver { entry, direct: true };
        agent.handle_message(entry, KnownVersions::default(), message, Some(packet), now);
        let actions = agent.take_actions();
        let reached = actions.iter().any(|a| matches!(a, Action::Backend(_)));
        assert_eq!(reached, passed, "service {service}");
    }
}

// All processes started anew just as the store came back from a copy in which an address
// had its earlier holder, so no process knew the present one (soak seed 193). Its agent
// took the present holder's next write for a new run: it reset the flows that had been
// opened meanwhile, and counted its empty table as complete.
#[test]
fn flows_survive_a_restart_of_all_processes_as_the_store_comes_back_from_a_copy() {
    for seed in 0..SEEDS {
        for service in ["alarm", "firmware"] {
            let mut world = fleet(seed);
            let copy = world.copy_store();
            world.restart_backend(1, Some(service));
            world.run(SECOND * 3);
            for i in 0..40 {
                world.call((i % 2) as usize, LONG_FLOW, Duration::from_millis(10 * i));
            }
            world.run(SECOND);
            world.store_up = false;
            world.run(SECOND);
            world.restore_store(copy);
            world.store_up = true;
            restart_all(&mut world, None);
            calls(&mut world, 60);
            world.run(Duration::from_millis(700));
            (0..8).for_each(|i| world.register(i));
            world.run(SECOND * 40);
            let seen = &world.checks.violations;
            assert_eq!(*seen, Vec::<String>::new(), "seed {seed}, {service}");
            assert_eq!(world.ended(End::Reset), 0, "seed {seed}, {service}");
        }
    }
}

// As before, but the settings of the agent still name the service of the former holder, so
// the copy's entry had the service of the settings: the agent took it for its own at once and
// placed flows of that service at a backend server of another one (soak seed 193).
#[test]
fn an_agent_with_outdated_settings_believes_no_entry_of_a_copy_until_entries_are_written_again() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        let copy = world.copy_store();
        world.restart_backend(1, Some("firmware"));
        world.run(SECOND * 3);
        world.store_up = false;
        world.run(SECOND);
        world.restore_store(copy);
        world.store_up = true;
        restart_all(&mut world, Some("alarm"));
        calls(&mut world, 300);
        world.run(Duration::from_millis(1_200));
        (0..8).for_each(|i| world.register(i));
        world.run(SECOND * 8);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        // It serves the other service once its own entry has outlasted its heartbeats.
        let begun = world.backends[1].begun;
        for i in 0..100 {
            world.call(1, SINGLE_REQUEST, Duration::from_millis(10 * i));
        }
        world.run(SECOND * 3);
        assert!(world.backends[1].begun > begun, "seed {seed}: it is not used");
    }
}
