//! Open flows whose route changes its services, where their homes have not seen the version
//! under which they were opened.

use std::time::Duration;

use lagoonhollow_lib::version::route::Share;
use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 10;
const ENTRIES: usize = 3;
const FLOWS: usize = 40;

/// A standing channel, with a request every 300 ms for about 20 s.
const CHANNEL: Plan = Plan {
    requests: 60,
    pause: Duration::from_millis(300),
    work: Duration::from_millis(20),
    deadline: Duration::from_secs(8),
};

fn to(service: &str) -> Vec<Share> {
    vec![Share { service: service.into(), weight: 1 }]
}

/// Starts a fleet with open flows to the first address, whose route goes to "gallery".
fn open_flows(seed: u64) -> World {
    let mut world = World::open(seed, ENTRIES, &[("gallery", 4), ("feed", 4)]);
    world.run(SECOND * 2);
    for i in 0..FLOWS {
        world.call(0, CHANNEL, Duration::from_millis(10 * i as u64));
    }
    world.run(SECOND);
    world
}

/// Restarts all entries, which forget the flows' owners.
fn restart_entries(world: &mut World) {
    (0..ENTRIES).for_each(|i| world.kill_entry(i));
    (0..ENTRIES).for_each(|i| world.start_entry(i));
}

fn assert_open_flows_last(world: &World, seed: u64) {
    assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    assert_eq!(world.ended(End::Done), FLOWS, "seed {seed}");
}

// Issue 33: a home beside a new backend server did not ask the agents of the service that the
// route had before, and reset the flow.
#[test]
fn a_home_that_started_after_a_change_of_services_resets_no_open_flow() {
    for seed in 0..SEEDS {
        let mut world = open_flows(seed);
        world.reroute(to("feed"));
        world.run(SECOND);
        for _ in 0..8 {
            let new = world.add_backend("feed");
            world.start_agent(new, false);
        }
        world.run(SECOND * 2);
        restart_entries(&mut world);
        world.run(SECOND * 40);
        assert_open_flows_last(&world, seed);
    }
}

// No process has seen the version before, so none can tell another one of it.
#[test]
fn a_start_of_all_processes_after_a_change_of_services_resets_no_open_flow() {
    for seed in 0..SEEDS {
        let mut world = open_flows(seed);
        world.reroute(to("feed"));
        world.run(Duration::from_millis(100));
        (0..8).for_each(|i| world.kill_agent(i));
        world.run(Duration::from_millis(200));
        (0..8).for_each(|i| world.start_agent(i, false));
        restart_entries(&mut world);
        world.run(SECOND * 40);
        assert_open_flows_last(&world, seed);
    }
}

// A process that reads two changes at once has never seen the version between them.
#[test]
fn a_home_that_missed_a_version_resets_no_flow_that_was_opened_under_it() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, ENTRIES, &[("feed", 4), ("gallery", 4)]);
        world.run(SECOND * 2);
        (0..4).for_each(|i| world.agents[i].paused_until = world.now + SECOND * 3);
        world.reroute(to("gallery"));
        world.run(SECOND);
        for i in 0..FLOWS {
            world.call(0, CHANNEL, Duration::from_millis(10 * i as u64));
        }
        world.run(SECOND);
        world.reroute(to("feed"));
        world.run(SECOND * 3);
        restart_entries(&mut world);
        world.run(SECOND * 40);
        assert_open_flows_last(&world, seed);
    }
}

// Of the former services of a route, only the last few are remembered.
#[test]
fn a_route_that_has_had_many_services_keeps_the_flows_of_the_first() {
    for seed in 0..SEEDS {
        let services = [("gallery", 3), ("a", 1), ("b", 1), ("c", 1), ("d", 1), ("feed", 3)];
        let mut world = World::open(seed, ENTRIES, &services);
        world.run(SECOND * 2);
        for i in 0..FLOWS {
            world.call(0, CHANNEL, Duration::from_millis(10 * i as u64));
        }
        world.run(SECOND);
        for service in ["a", "b", "c", "d", "feed"] {
            world.reroute(to(service));
            world.run(Duration::from_millis(400));
        }
        restart_entries(&mut world);
        world.run(SECOND * 40);
        assert_open_flows_last(&world, seed);
    }
}

// The configuration lists the services that backend servers may be of. A process that has
// never seen a version with the owner's service takes its entry for that of another writer.
#[test]
fn flows_of_a_service_that_is_no_longer_listed_are_not_reset() {
    for seed in 0..SEEDS {
        let mut world = open_flows(seed);
        world.reroute(to("feed"));
        world.publish(|published| published.services.retain(|s| s.name.as_str() == "feed"));
        world.publish(|published| published.routes.truncate(1));
        world.run(SECOND);
        for _ in 0..8 {
            let new = world.add_backend("feed");
            world.start_agent(new, false);
        }
        world.run(SECOND * 2);
        restart_entries(&mut world);
        world.run(SECOND * 40);
        assert_open_flows_last(&world, seed);
    }
}

// A home reads the entries of backend servers late; its own service's report themselves to it,
// those of other services don't.
#[test]
fn a_home_resets_no_flow_of_a_backend_server_that_it_has_not_read_yet() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, ENTRIES, &[("gallery", 4), ("feed", 4)]);
        world.run(SECOND * 2);
        // The homes under the next version last read the store before the new entries.
        (4..8).for_each(|i| world.agents[i].read_delay = Duration::from_millis(2_000));
        world.run(SECOND * 2);
        let new: Vec<_> = (0..8).map(|_| world.add_backend("gallery")).collect();
        new.iter().for_each(|i| world.start_agent(*i, false));
        world.run(Duration::from_millis(700));
        for i in 0..FLOWS {
            world.call(0, CHANNEL, Duration::from_millis(5 * i as u64));
        }
        world.run(Duration::from_millis(400));
        world.reroute(to("feed"));
        world.run(Duration::from_millis(300));
        restart_entries(&mut world);
        world.run(SECOND * 40);
        assert_open_flows_last(&world, seed);
    }
}

// The packet of a probe reached all other backend servers after its own, and a caller that
// pauses sends no further one for seconds.
#[test]
fn the_last_copy_of_a_probed_packet_reaches_the_flows_own_backend_server() {
    let pausing = Plan { requests: 6, pause: SECOND * 3, ..CHANNEL };
    for seed in 0..SEEDS {
        for reroutes in [false, true] {
            let mut world = World::open(seed, ENTRIES, &[("gallery", 6), ("feed", 6)]);
            world.run(SECOND * 2);
            for i in 0..FLOWS {
                world.call(0, pausing, Duration::from_millis(20 * i as u64));
            }
            world.run(SECOND * 2);
            if reroutes {
                world.reroute(to("feed"));
            }
            (0..12).for_each(|i| world.kill_agent(i));
            world.run(Duration::from_millis(200));
            (0..12).for_each(|i| world.start_agent(i, false));
            restart_entries(&mut world);
            world.run(SECOND * 40);
            assert_open_flows_last(&world, seed);
        }
    }
}
