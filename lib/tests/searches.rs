//! Searches of homes for the owners of flows: whom they ask, what they conclude, and what
//! they cost when many agents can't answer.

use std::time::Duration;

use lagoonhollow_lib::front::packet::event::Decision;
use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 20;
const ENTRIES: usize = 3;

/// A standing channel, with a request every 300 ms.
const CHANNEL: Plan = Plan {
    requests: 60,
    pause: Duration::from_millis(300),
    work: Duration::from_millis(20),
    deadline: Duration::from_secs(10),
};

fn channels(world: &mut World, count: u64) {
    for i in 0..count {
        world.call(0, CHANNEL, Duration::from_millis(10 * i));
    }
    world.run(SECOND + Duration::from_millis(10 * count));
}

/// Returns how many agents were asked by searches so far.
fn questions(world: &World) -> u64 {
    let searched = world.events.iter().filter(|(_, _, e)| e.decision == Decision::Searched);
    searched.map(|(_, _, e)| e.value).sum()
}

// A home took an agent that had reported within 2.5 s for one that answers, and had the
// packets of a flow whose agent was just killed passed to all other backend servers (soak
// seeds 3 and 155).
#[test]
fn no_other_backend_server_gets_a_flows_packets_while_its_agent_is_down() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, ENTRIES, &[("alarm", 6)]);
        world.run(SECOND * 2);
        // After a restart beside a running backend server no table counts as complete.
        (0..6).for_each(|i| world.kill_agent(i));
        (0..6).for_each(|i| world.start_agent(i, false));
        world.run(SECOND * 3);
        // Half of the claims are lost, so homes have to search.
        world.loss = 0.5;
        channels(&mut world, 60);
        world.loss = 0.0;
        (0..ENTRIES).for_each(|i| world.kill_entry(i));
        (0..ENTRIES).for_each(|i| world.start_entry(i));
        world.kill_agent(0);
        world.run(Duration::from_millis(2_400));
        world.start_agent(0, false);
        world.run(SECOND * 30);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// A power loss of all VMs in the middle of a release: all channels are lost, the VM of the
/// last backend server does not come back, and its entry stays until it expires.
fn power_loss(seed: u64, agents: usize) -> World {
    let mut world = World::open(seed, ENTRIES, &[("alarm", agents)]);
    world.run(SECOND * 2);
    channels(&mut world, 60);
    let last = agents - 1;
    (0..agents).for_each(|i| world.crash(i, true));
    // Packets that are under way get lost with their receivers.
    world.run(Duration::from_millis(10));
    (0..agents).for_each(|i| world.kill_agent(i));
    (0..ENTRIES).for_each(|i| world.kill_entry(i));
    (0..ENTRIES).for_each(|i| world.start_entry(i));
    (0..last).for_each(|i| world.start_agent(i, false));
    // Backend servers register a moment after their VMs have started.
    world.run(Duration::from_millis(400));
    (0..last).for_each(|i| world.restart_backend(i, None));
    world.run(Duration::from_millis(400));
    world
}

// Each retransmission of each lost channel asked every agent again as long as one of them
// could not answer.
#[test]
fn agents_that_have_answered_are_not_asked_again() {
    for seed in 0..SEEDS {
        let agents = 20;
        let mut world = power_loss(seed, agents);
        let before = questions(&world);
        world.run(SECOND * 3);
        let asked = questions(&world) - before;
        // A flow's home asks everyone once, and only the silent agent for each of the
        // caller's four retransmissions.
        let most = 60 * (agents as u64 + 4);
        assert!(asked <= most, "seed {seed}: {asked} questions, at most {most}");
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

// A caller of a lost channel learned that it is lost only with its next retransmission
// after the last silent agent's entry was removed, up to 1.6 s later.
#[test]
fn lost_channels_are_reset_once_the_last_silent_agent_is_known_to_be_gone() {
    for seed in 0..SEEDS {
        let mut world = power_loss(seed, 8);
        world.run(SECOND * 3);
        assert_eq!(world.ended(End::Reset), 0, "seed {seed}: the silent one may have the flow");
        world.deregister(7);
        // A process reads the removal within 300 ms; it counts 2.2 s later, as the entry may
        // come back after an outage of the store.
        world.run(Duration::from_millis(2_700));
        assert_eq!(world.ended(End::Reset), 60, "seed {seed}");
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn channels_of_a_frozen_agent_survive_the_loss_of_all_other_vms() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, ENTRIES, &[("alarm", 8)]);
        world.run(SECOND * 2);
        channels(&mut world, 60);
        let kept = world.backends[7].held.len();
        world.agents[7].paused_until = world.now + SECOND * 4;
        (0..7).for_each(|i| world.crash(i, true));
        (0..7).for_each(|i| world.kill_agent(i));
        (0..ENTRIES).for_each(|i| world.kill_entry(i));
        (0..ENTRIES).for_each(|i| world.start_entry(i));
        (0..7).for_each(|i| world.restart_backend(i, None));
        (0..7).for_each(|i| world.start_agent(i, false));
        world.run(SECOND * 40);
        assert_eq!(world.ended(End::Done), kept, "seed {seed}");
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

// Agents that first knew an outdated roster, from one that had not been restarted, did not
// take the entry of a new run for one. Their tables never counted as complete, and each
// search probed all backend servers.
#[test]
fn a_new_run_is_known_though_the_store_answers_only_after_it_has_registered() {
    for seed in 0..SEEDS {
        let mut world = World::open(seed, ENTRIES, &[("alarm", 6)]);
        world.run(SECOND * 2);
        channels(&mut world, 30);
        world.store_up = false;
        (0..6).for_each(|i| world.crash(i, true));
        world.run(Duration::from_millis(10));
        (1..6).for_each(|i| world.kill_agent(i));
        (1..6).for_each(|i| world.start_agent(i, false));
        world.run(SECOND);
        (0..6).for_each(|i| world.restart_backend(i, None));
        world.store_up = true;
        world.run(Duration::from_millis(500));
        let probes =
            |w: &World| w.events.iter().filter(|(_, _, e)| e.decision == Decision::Probed).count();
        let before = probes(&world);
        world.run(SECOND * 8);
        assert_eq!(probes(&world), before, "seed {seed}");
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}
