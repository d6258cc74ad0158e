//! Homes whose roster lacks the backend server that holds an open flow.

use std::ops::Range;
use std::time::Duration;

use lagoonhollow_lib::front::packet::event::Decision;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::member::Member;
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
    deadline: Duration::from_secs(12),
};

fn shares(services: &[&str]) -> Vec<Share> {
    services.iter().map(|s| Share { service: (*s).into(), weight: 1 }).collect()
}

fn call(world: &mut World) {
    for i in 0..FLOWS {
        world.call(0, CHANNEL, Duration::from_millis(5 * i as u64));
    }
}

fn assert_open_flows_last(world: &World, seed: u64) {
    assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    assert_eq!(world.ended(End::Done), FLOWS, "seed {seed}");
}

// A home's view is current although it is 2 s old, and lacks a new backend server of the service
// that the route had until a moment ago.
#[test]
fn a_home_that_last_read_the_entries_before_a_flow_opened_does_not_reset_it() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, ENTRIES, &[("gallery", 4), ("feed", 4)]);
        world.run(SECOND * 4);
        (4..8).for_each(|i| world.agents[i].read_delay = SECOND * 2);
        world.run(Duration::from_millis(350));
        let new: Vec<_> = (0..8).map(|_| world.add_backend("gallery")).collect();
        new.iter().for_each(|i| world.start_agent(*i, false));
        world.run(Duration::from_millis(700));
        call(&mut world);
        world.run(Duration::from_millis(400));
        world.reroute(shares(&["feed"]));
        world.run(Duration::from_millis(350));
        for home in &world.agents[4..8] {
            assert_eq!(home.view.roster.members().len(), 8, "seed {seed}: it lacks the new ones");
            assert!(home.view.fresh);
        }
        (0..ENTRIES).for_each(|i| world.kill_entry(i));
        (0..ENTRIES).for_each(|i| world.start_entry(i));
        let since = world.now;
        world.run(SECOND * 40);
        assert!(searches(&world, 4..8, since) > 0, "seed {seed}");
        assert_open_flows_last(&world, seed);
    }
}

/// Returns the number of searches of these agents since `since`.
fn searches(world: &World, agents: Range<usize>, since: Moment) -> usize {
    let homes: Vec<_> = world.agents[agents].iter().map(|a| a.link).collect();
    let searched = world.events.iter().filter(|(at, link, event)| {
        *at >= since && homes.contains(link) && event.decision == Decision::Searched
    });
    searched.count()
}

/// Lets restarted agents lack proof that their flow tables are complete, so that homes probe.
fn restart_agents(world: &mut World, agents: Range<usize>) {
    agents.clone().for_each(|i| world.kill_agent(i));
    agents.for_each(|i| world.start_agent(i, false));
}

// The store was back for a moment between two outages. A process that starts in the second one
// learns the roster from others without the entries that they expect back; its roster counts
// as neither current nor partial, so it probes all others' backend servers.
#[test]
fn a_home_that_starts_during_an_outage_probes_no_others_while_entries_may_come_back() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, ENTRIES, &[("gallery", 4), ("feed", 4)]);
        world.run(SECOND * 4);
        restart_agents(&mut world, 1..4);
        world.run(SECOND);
        call(&mut world);
        world.run(SECOND);
        world.reroute(shares(&["gallery", "feed"]));
        world.run(SECOND);
        world.store_up = false;
        world.deregister(0);
        world.run(SECOND);
        world.store_up = true;
        world.run(Duration::from_millis(350));
        world.store_up = false;
        world.run(SECOND);
        restart_agents(&mut world, 4..6);
        world.run(SECOND);
        // The callers' packets go through entries that don't know the owners.
        world.kill_entry(0);
        world.run(SECOND * 4);
        world.store_up = true;
        world.register(0);
        world.start_entry(0);
        world.run(SECOND * 40);
        assert_open_flows_last(&world, seed);
    }
}

// A home that was cut off while a backend server joined and got flows asks the others first.
#[test]
fn a_home_that_was_cut_off_while_a_backend_server_joined_finds_its_flows() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, ENTRIES, &[("gallery", 4), ("feed", 4)]);
        world.run(SECOND * 4);
        restart_agents(&mut world, 0..4);
        world.reroute(shares(&["gallery", "feed"]));
        world.run(SECOND);
        (4..8).for_each(|i| world.agents[i].isolated = true);
        (4..8).for_each(|i| world.agents[i].reads_store = false);
        for _ in 0..4 {
            let new = world.add_backend("gallery");
            world.start_agent(new, false);
        }
        world.run(SECOND);
        world.reroute(shares(&["gallery"]));
        world.run(SECOND);
        call(&mut world);
        world.run(SECOND);
        world.reroute(shares(&["feed"]));
        world.run(Duration::from_millis(350));
        (4..8).for_each(|i| world.agents[i].isolated = false);
        (0..ENTRIES).for_each(|i| world.kill_entry(i));
        (0..ENTRIES).for_each(|i| world.start_entry(i));
        let since = world.now;
        world.run(SECOND * 40);
        assert!(searches(&world, 4..8, since) > 0, "seed {seed}");
        assert_open_flows_last(&world, seed);
    }
}

// The entry of a former holder of the address is written late, under another name, and states a
// later start as its clock was ahead. It hides that of the present holder.
#[test]
fn a_late_entry_of_a_former_holder_of_the_address_ends_no_flow() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, ENTRIES, &[("gallery", 4), ("misc", 1)]);
        world.run(SECOND * 4);
        call(&mut world);
        world.run(SECOND);
        let present = world.backends[0].member.clone();
        world.write_entry(Member {
            name: "former".into(),
            service: "misc".into(),
            born: present.born + 3_000,
            ..present
        });
        world.run(Duration::from_millis(350));
        restart_agents(&mut world, 1..4);
        (0..ENTRIES).for_each(|i| world.kill_entry(i));
        (0..ENTRIES).for_each(|i| world.start_entry(i));
        let since = world.now;
        world.run(SECOND * 40);
        assert!(searches(&world, 1..4, since) > 0, "seed {seed}");
        assert_open_flows_last(&world, seed);
    }
}
