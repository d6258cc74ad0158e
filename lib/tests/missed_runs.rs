//! Flow tables of agents whose earlier processes opened flows that no other process remembers.

use std::ops::Range;
use std::time::Duration;

use lagoonhollow_lib::front::packet::event::Decision;
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

fn call(world: &mut World) {
    for i in 0..FLOWS {
        world.call(0, CHANNEL, Duration::from_millis(5 * i as u64));
    }
}

fn kill_agents(world: &mut World, agents: Range<usize>) {
    agents.for_each(|i| world.kill_agent(i));
}

fn start_agents(world: &mut World, agents: Range<usize>) {
    agents.for_each(|i| world.start_agent(i, false));
}

fn restart_entries(world: &mut World) {
    (0..ENTRIES).for_each(|i| world.kill_entry(i));
    (0..ENTRIES).for_each(|i| world.start_entry(i));
}

/// Returns how many agents took their flow tables for complete by the start of their process.
fn proofs(world: &World) -> usize {
    world.events.iter().filter(|(_, _, e)| e.decision == Decision::Complete).count()
}

/// Opens flows at a fleet in which one backend server registered with a clock that was ahead
/// by 3 s and was set right since. Runs until 80 ms before the time of day at which that
/// server claims to have started.
fn open_at_a_run_of_the_future(seed: u64) -> World {
    let mut world = World::open(seed, ENTRIES, &[("alarm", 6)]);
    world.run(SECOND * 10);
    world.crash(0, false);
    world.kill_agent(0);
    world.run(SECOND * 2);
    world.agents[0].ahead_ms = 3_000;
    world.restart_backend(0, None);
    world.run(Duration::from_millis(38));
    world.start_agent(0, false);
    world.run(Duration::from_millis(400));
    world.agents[0].ahead_ms = 0;
    call(&mut world);
    world.run(Duration::from_millis(2_482));
    world
}

// The time of day reaches the stated start of a run that began earlier, and all processes
// start at that moment: no clock differs, and nobody remembers the earlier process.
#[test]
fn a_run_that_states_a_later_start_is_not_taken_for_one_that_began_with_the_process() {
    for seed in 0..SEEDS {
        let mut world = open_at_a_run_of_the_future(seed);
        assert!(!world.backends[0].held.is_empty(), "seed {seed}");
        kill_agents(&mut world, 0..6);
        world.run(Duration::from_millis(130));
        start_agents(&mut world, 0..6);
        restart_entries(&mut world);
        world.run(SECOND * 40);
        assert_eq!(proofs(&world), 0, "seed {seed}: {:?}", world.checks.violations.first());
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

// As before, but the other agents remember the earlier process.
#[test]
fn agents_that_remember_an_earlier_process_refute_a_run_that_states_a_later_start() {
    for seed in 0..SEEDS {
        let mut world = open_at_a_run_of_the_future(seed);
        kill_agents(&mut world, 0..1);
        world.run(Duration::from_millis(130));
        start_agents(&mut world, 0..1);
        restart_entries(&mut world);
        world.run(SECOND * 40);
        assert_eq!(proofs(&world), 0, "seed {seed}");
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

// The agent, its peers and its homes all start anew, at an address that another service had.
#[test]
fn a_table_at_a_reused_address_is_not_complete_after_a_start_of_all_agents() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, ENTRIES, &[("alarm", 6), ("feed", 4)]);
        world.run(SECOND * 4);
        world.crash(6, false);
        world.kill_agent(6);
        world.run(SECOND * 3);
        world.restart_backend(6, Some("alarm"));
        world.run(Duration::from_millis(38));
        world.start_agent(6, false);
        world.run(SECOND);
        let before = proofs(&world);
        call(&mut world);
        world.run(SECOND);
        assert!(!world.backends[6].held.is_empty(), "seed {seed}");
        kill_agents(&mut world, 0..10);
        // The shortest time in which a supervisor starts a process again.
        world.run(Duration::from_millis(100));
        start_agents(&mut world, 0..10);
        restart_entries(&mut world);
        world.run(SECOND * 40);
        assert_eq!(proofs(&world), before, "seed {seed}");
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.ended(End::Done), FLOWS, "seed {seed}");
    }
}
