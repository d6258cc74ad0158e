//! Processes that lack a version of the routes, or a route, that a flow was opened under.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::front::packet::action::Action;
use lagoonhollow_lib::front::packet::entry::Entry;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::route::Route;
use lagoonhollow_lib::version::route::Share;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes::Routes;
use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;
use lagoonhollow_testutils::packets::world::address;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 10;
const ENTRIES: usize = 3;
const FLOWS: usize = 40;

/// A standing channel, with a request every 300 ms for about 20 s.
const CHANNEL: Plan = Plan {
    requests: 60,
    pause: Duration::from_millis(300),
    work: Duration::from_millis(20),
    deadline: Duration::from_secs(12),
};

fn to(service: &str) -> Vec<Share> {
    vec![Share { service: service.into(), weight: 1 }]
}

fn open(seed: u64) -> World {
    let mut world = World::open(seed, ENTRIES, &[("gallery", 4), ("feed", 4)]);
    world.run(SECOND * 4);
    world
}

fn call(world: &mut World) {
    for i in 0..FLOWS {
        world.call(0, CHANNEL, Duration::from_millis(5 * i as u64));
    }
}

fn restart_entries(world: &mut World) {
    (0..ENTRIES).for_each(|i| world.kill_entry(i));
    (0..ENTRIES).for_each(|i| world.start_entry(i));
}

fn assert_open_flows_last(world: &World, seed: u64) {
    assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    assert_eq!(world.ended(End::Done), FLOWS, "seed {seed}");
}

/// Publishes a version without the first route; returns the route.
fn drop_route(world: &mut World) -> Route {
    let mut route = None;
    world.publish(|published| route = Some(published.routes.remove(0)));
    route.expect("there is a route")
}

// A home whose version has no route of a flow asks the agents of its own service only, and
// takes their answers for proof.
#[test]
fn a_home_that_does_not_know_a_route_yet_resets_none_of_its_flows() {
    for seed in 0..SEEDS {
        let mut world = open(seed);
        let route = drop_route(&mut world);
        world.run(SECOND);
        (4..8).for_each(|i| world.agents[i].read_delay = SECOND * 2);
        world.run(Duration::from_millis(350));
        world.publish(|published| published.routes.insert(0, route));
        world.run(Duration::from_millis(350));
        call(&mut world);
        world.run(Duration::from_millis(500));
        world.reroute(to("feed"));
        world.run(Duration::from_millis(350));
        restart_entries(&mut world);
        world.run(SECOND * 40);
        assert_open_flows_last(&world, seed);
    }
}

// An entry that missed the version in which the route was away serves its flows.
#[test]
fn an_entry_that_skipped_the_version_without_a_route_resets_none_of_its_flows() {
    for seed in 0..SEEDS {
        let mut world = open(seed);
        call(&mut world);
        world.run(SECOND);
        (0..ENTRIES).for_each(|i| world.entries[i].paused_until = world.now + SECOND);
        let route = drop_route(&mut world);
        world.run(Duration::from_millis(500));
        world.publish(|published| published.routes.insert(0, route));
        world.run(SECOND * 40);
        assert_open_flows_last(&world, seed);
    }
}

/// Checks that flows which were opened through some entries last, those that were not opened
/// aside.
fn assert_opened_flows_last(world: &World, seed: u64) {
    assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    let (done, refused) = (world.ended(End::Done), world.ended(End::Refused));
    assert!(done > 0, "seed {seed}");
    assert_eq!(done + refused, FLOWS, "seed {seed}");
}

// Flows that opened once the route was back come to entries that last read the version without
// it.
#[test]
fn an_entry_that_is_behind_the_return_of_a_route_resets_none_of_its_flows() {
    for seed in 0..SEEDS {
        let mut world = open(seed);
        let route = drop_route(&mut world);
        world.run(SECOND);
        (0..2).for_each(|i| world.entries[i].read_delay = SECOND * 2);
        world.run(Duration::from_millis(350));
        world.publish(|published| published.routes.insert(0, route));
        world.run(Duration::from_millis(350));
        call(&mut world);
        world.run(Duration::from_millis(500));
        world.kill_entry(2);
        assert!(world.entries[..2].iter().all(|e| e.view.routes.version() == 2));
        world.run(SECOND * 40);
        assert_opened_flows_last(&world, seed);
    }
}

// An entry that starts after the drop knows only the version without the route.
#[test]
fn an_entry_that_starts_before_the_return_of_a_route_resets_none_of_its_flows() {
    for seed in 0..SEEDS {
        let mut world = open(seed);
        let route = drop_route(&mut world);
        world.kill_entry(0);
        world.run(SECOND);
        world.start_entry(0);
        world.entries[0].read_delay = SECOND * 2;
        world.run(Duration::from_millis(100));
        world.publish(|published| published.routes.insert(0, route));
        world.run(Duration::from_millis(350));
        call(&mut world);
        world.run(Duration::from_millis(500));
        world.kill_entry(1);
        world.kill_entry(2);
        assert_eq!(world.entries[0].view.routes.version(), 2);
        world.run(SECOND * 40);
        assert_opened_flows_last(&world, seed);
    }
}

/// Returns a packet of an established flow whose backend server began with `isn`.
fn established(isn: u32) -> Packet {
    let caller = SocketAddr::from(([100, 64, 0, 1], 5_000));
    let flow = FlowKey { protocol: Protocol::Tcp, caller, service: address(0) };
    let flags = Flags { acks: true, ..Flags::default() };
    let segment = Segment { flow, flags, seq: 10, ack: isn + 1, len: 5, attempt: 0 };
    Packet { segment, raw: vec![0].into() }
}

/// Passes a packet to an entry; returns whether the entry resets its flow.
fn resets(entry: &mut Entry, packet: Packet, ms: u64) -> bool {
    entry.handle_packet(packet, Moment::from_millis(ms));
    entry.take_actions().iter().any(|a| matches!(a, Action::Reset { .. }))
}

// An entry remembers when the first packet of a flow came. A later flow between the same
// addresses may have opened under a later version since.
#[test]
fn a_flow_that_reuses_addresses_is_not_over_because_the_one_before_was() {
    let mut world = World::open(1, 1, &[("gallery", 1)]);
    world.run(SECOND);
    let before = world.entries[0].view.routes.clone();
    let dropped = Published { version: 2, routes: Vec::new(), ..before.published().clone() };
    let routes = Arc::new(Routes::open(dropped).enforce(&before));
    let read = |ms| View {
        routes: routes.clone(),
        fresh: true,
        read_at: Moment::from_millis(ms),
        ..View::default()
    };
    let mut entry = Entry::open("d".into(), 7_000, 1, Moment::default());
    entry.update_view(read(400));
    assert!(!resets(&mut entry, established(1_000), 500));
    entry.update_view(read(1_000));
    // The route is back since 1.2 s, and the caller opened a flow through another entry.
    let later = established(3_000_000_000);
    assert!(!resets(&mut entry, later.clone(), 1_400), "the flow is 0.1 s old");
    // Once the entry is known to have the present routes, it is over as well.
    entry.update_view(read(1_500));
    assert!(resets(&mut entry, later, 1_600));
}
