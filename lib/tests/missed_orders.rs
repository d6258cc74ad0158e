//! Processes that start without having seen an evacuation's order or withdrawal.

use std::time::Duration;

use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 10;
const AGENTS: usize = 9;

const SINGLE_REQUEST: Plan =
    Plan { requests: 1, pause: Duration::ZERO, work: Duration::from_millis(5), deadline: SECOND };

fn calls(world: &mut World, seconds: u64) {
    for i in 0..seconds * 50 {
        world.call(0, SINGLE_REQUEST, Duration::from_millis(20 * i));
    }
}

/// Restarts agents on VMs that can't read the store.
fn restart_cut_off(world: &mut World, agents: impl Iterator<Item = usize> + Clone) {
    agents.clone().for_each(|i| world.kill_agent(i));
    for i in agents {
        world.start_agent(i, false);
        world.agents[i].reads_store = false;
    }
}

fn begun(world: &World, agents: impl Iterator<Item = usize>) -> u64 {
    agents.map(|i| world.backends[i].begun).sum()
}

// They learn the evacuations from others, of which some have not read the order either.
#[test]
fn agents_that_start_without_the_store_open_no_flow_in_an_evacuated_domain() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, 3, &[("alarm", AGENTS)]);
        world.run(SECOND * 4);
        world.agents[0].isolated = true;
        world.agents[0].reads_store = false;
        world.evacuate(&["d-1"]);
        world.run(SECOND);
        world.store_up = false;
        world.agents[0].isolated = false;
        restart_cut_off(&mut world, (1..AGENTS).step_by(3));
        calls(&mut world, 10);
        world.run(SECOND * 15);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert!(begun(&world, (0..AGENTS).step_by(3)) > 0, "seed {seed}");
    }
}

// Those that read the withdrawal tell them.
#[test]
fn agents_that_start_without_the_store_after_a_withdrawal_get_flows_again() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, 3, &[("alarm", AGENTS)]);
        world.run(SECOND * 4);
        world.evacuate(&["d-1"]);
        world.run(SECOND);
        (1..AGENTS).step_by(3).for_each(|i| world.agents[i].reads_store = false);
        world.evacuate(&[]);
        world.run(SECOND);
        world.store_up = false;
        restart_cut_off(&mut world, (1..AGENTS).step_by(3));
        let before = begun(&world, (1..AGENTS).step_by(3));
        world.run(SECOND);
        calls(&mut world, 5);
        world.run(SECOND * 8);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert!(begun(&world, (1..AGENTS).step_by(3)) > before, "seed {seed}");
    }
}
