//! Flows of a lost backend server are reset, and no others, even after a restart of
//! all agents and entries.

use std::time::Duration;

use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 20;
const AGENTS: usize = 5;
const ENTRIES: usize = 3;

/// A channel whose caller waits longer than entries stay in the store.
const CHANNEL: Plan = Plan {
    requests: 60,
    pause: Duration::from_millis(300),
    work: Duration::from_millis(20),
    deadline: Duration::from_secs(20),
};

/// Opens a fleet with 40 channels.
fn fleet(seed: u64) -> World {
    let mut world = World::open(seed, ENTRIES, &[("alarm", AGENTS)]);
    world.run(SECOND * 2);
    for i in 0..40 {
        world.call(0, CHANNEL, Duration::from_millis(10 * i));
    }
    world.run(SECOND);
    world
}

fn restart_all(world: &mut World) {
    (0..ENTRIES).for_each(|i| world.kill_entry(i));
    (0..AGENTS).for_each(|i| world.kill_agent(i));
    (0..ENTRIES).for_each(|i| world.start_entry(i));
    (0..AGENTS).for_each(|i| world.start_agent(i, false));
}

#[test]
fn an_agent_whose_backend_server_refuses_connections_resets_its_flows() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        // Packets to the address are dropped silently, and its entry stays.
        world.refusals = false;
        // Which backend servers get flows depends on random choices; this one got the most.
        let held = |i: &usize| world.backends[*i].held.len();
        let busiest = (0..AGENTS).max_by_key(held).expect("there are backend servers");
        let lost = held(&busiest);
        assert!(lost > 0);
        world.crash(busiest, false);
        restart_all(&mut world);
        world.run(SECOND * 3);
        assert_eq!(world.ended(End::Reset), lost, "seed {seed}");
        assert_eq!(world.checks.violations, Vec::<String>::new());
    }
}

#[test]
fn flows_of_a_silent_backend_server_are_reset_once_its_registration_has_lapsed() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        let lost = world.backends[1].held.len();
        world.crash(1, true);
        world.deregister(1);
        restart_all(&mut world);
        world.run(SECOND * 10);
        assert_eq!(world.ended(End::Reset), lost, "seed {seed}");
        assert_eq!(world.checks.violations, Vec::<String>::new());
    }
}

#[test]
fn entries_that_are_missing_until_a_moment_after_the_stores_return_end_no_flow() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.store_up = false;
        (0..AGENTS).for_each(|i| world.deregister(i));
        world.run(SECOND);
        restart_all(&mut world);
        world.run(SECOND * 3);
        world.store_up = true;
        world.run(Duration::from_millis(1_900));
        (0..AGENTS).for_each(|i| world.register(i));
        world.run(SECOND * 40);
        assert_eq!(world.checks.violations, Vec::<String>::new());
        assert_eq!(world.ended(End::Reset), 0, "seed {seed}");
    }
}

#[test]
fn an_entry_that_is_missing_for_long_ends_no_flow_of_a_backend_server_that_is_there() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        // Its entry was overwritten with data that can't be read.
        world.deregister(1);
        restart_all(&mut world);
        world.run(SECOND * 40);
        assert_eq!(world.checks.violations, Vec::<String>::new());
        assert_eq!(world.ended(End::Reset), 0, "seed {seed}");
    }
}

#[test]
fn a_process_that_starts_during_an_outage_takes_nobody_for_absent_until_entries_are_back() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.store_up = false;
        (0..AGENTS).for_each(|i| world.deregister(i));
        world.run(SECOND);
        restart_all(&mut world);
        world.run(SECOND);
        world.store_up = true;
        // The entries come back one after the other.
        for i in 0..AGENTS {
            world.run(Duration::from_millis(400));
            world.register(i);
        }
        world.run(SECOND * 40);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.ended(End::Reset), 0, "seed {seed}");
    }
}
