//! Flows of the run that follows one whose end its agent told.

use std::time::Duration;

use lagoonhollow_lib::front::packet::event::Decision;
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

fn restart_entries(world: &mut World) {
    (0..ENTRIES).for_each(|i| world.kill_entry(i));
    (0..ENTRIES).for_each(|i| world.start_entry(i));
}

/// Ends a backend server, starts a later run at the address, and opens flows. `told` tells
/// whether the agent says so when it stops, `known` whether the homes of the service "feed" read
/// the later run's entry.
fn replace(seed: u64, told: bool, known: bool) -> World {
    let mut world = World::open(seed, ENTRIES, &[("gallery", 2), ("feed", 4)]);
    world.reroute(shares(&["gallery", "feed"]));
    world.run(SECOND * 4);
    (2..6).for_each(|i| world.agents[i].read_delay = SECOND * 2);
    world.run(Duration::from_millis(350));
    world.crash(0, false);
    world.run(Duration::from_millis(50));
    if told {
        let now = world.now;
        world.agents[0].agent().unwrap().leave(now);
    }
    world.run(Duration::from_millis(250));
    world.kill_agent(0);
    if known {
        (2..6).for_each(|i| world.agents[i].read_delay = Duration::ZERO);
        world.run(SECOND * 2);
    }
    world.restart_backend(0, None);
    world.run(Duration::from_millis(38));
    world.start_agent(0, false);
    world.run(Duration::from_millis(600));
    world.reroute(shares(&["gallery"]));
    world.run(Duration::from_millis(50));
    call(&mut world);
    world.run(Duration::from_millis(400));
    assert!(!world.backends[0].held.is_empty(), "seed {seed}");
    world.reroute(shares(&["feed"]));
    restart_entries(&mut world);
    let heard = world.events.iter().any(|(_, _, e)| e.decision == Decision::PeerRunEnded);
    assert_eq!(heard, told, "seed {seed}");
    world.run(SECOND * 40);
    world
}

// The word that a run has ended is not that of the next run at the address.
#[test]
fn flows_of_a_later_run_at_an_address_whose_run_has_ended_are_not_reset() {
    for seed in 0..SEEDS {
        let world = replace(seed, true, true);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.ended(End::Done), FLOWS, "seed {seed}");
    }
}

// A home that has not read the later run's entry leaves its agent out, although the roster
// lists an agent at the address.
#[test]
fn flows_of_a_later_run_that_a_home_has_not_read_are_not_reset_after_word_of_the_earlier_ones_end()
{
    for seed in 0..SEEDS {
        let world = replace(seed, true, false);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.ended(End::Done), FLOWS, "seed {seed}");
    }
}

// Without that word the agent at the listed address is asked.
#[test]
fn flows_of_a_later_run_that_a_home_has_not_read_are_found_at_the_address_of_the_earlier_one() {
    for seed in 0..SEEDS {
        let world = replace(seed, false, false);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.ended(End::Done), FLOWS, "seed {seed}");
    }
}
