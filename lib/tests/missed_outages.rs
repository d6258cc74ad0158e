//! Processes that start after an outage of the store, or learn of it from others, while entries
//! that lapsed meanwhile are not back yet. An entry that is missing for them proves nothing.

use std::time::Duration;

use lagoonhollow_lib::process::registry::Change;
use lagoonhollow_lib::process::registry::Entry;
use lagoonhollow_lib::process::registry::Listing;
use lagoonhollow_lib::process::registry::Registry;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::revision::Revision;
use lagoonhollow_lib::version::route::Share;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 10;
const ENTRIES: usize = 3;
const FLOWS: usize = 40;
/// Time after the store's return within which backend servers register again.
const RETURN_TIME: Duration = Duration::from_millis(1_900);

/// A standing channel, with a request every 300 ms for about 20 s.
const CHANNEL: Plan = Plan {
    requests: 60,
    pause: Duration::from_millis(300),
    work: Duration::from_millis(20),
    deadline: Duration::from_secs(8),
};

/// Starts a fleet with open flows to the first address, whose route goes to the first service.
fn open_flows(seed: u64, services: &[(&str, usize)]) -> World {
    let mut world = World::open(seed, ENTRIES, services);
    world.run(SECOND * 4);
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

/// An outage of the store in which the entries of the first `count` backend servers lapse.
fn outage(world: &mut World, count: usize) {
    world.store_up = false;
    (0..count).for_each(|i| world.deregister(i));
    world.run(SECOND);
    world.store_up = true;
}

fn return_entries(world: &mut World, count: usize) {
    world.run(RETURN_TIME);
    (0..count).for_each(|i| world.register(i));
    world.run(SECOND * 40);
}

fn assert_open_flows_last(world: &World, seed: u64) {
    assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    assert_eq!(world.ended(End::Done), FLOWS, "seed {seed}");
}

// A home that did not see the outage takes a lapsed backend server of another service of the
// route for gone, and resets its flows.
#[test]
fn a_home_that_starts_after_an_outage_resets_no_flow_of_another_service() {
    for seed in 0..SEEDS {
        let mut world = open_flows(seed, &[("gallery", 4), ("feed", 4)]);
        let share = |service: &str| Share { service: service.into(), weight: 1 };
        world.reroute(vec![share("gallery"), share("feed")]);
        world.run(SECOND);
        outage(&mut world, 4);
        (4..8).for_each(|i| world.kill_agent(i));
        (4..8).for_each(|i| world.start_agent(i, false));
        restart_entries(&mut world);
        return_entries(&mut world, 4);
        assert_open_flows_last(&world, seed);
    }
}

// The agents of a large service report themselves once a second, and only to those that they
// are told of: a home that starts settles before it has heard of all.
#[test]
fn a_home_that_starts_after_an_outage_resets_no_flow_of_an_agent_that_it_has_not_heard_of() {
    for seed in 0..SEEDS {
        let mut world = open_flows(seed, &[("alarm", 40)]);
        outage(&mut world, 20);
        (20..40).for_each(|i| world.kill_agent(i));
        (20..40).for_each(|i| world.start_agent(i, false));
        restart_entries(&mut world);
        return_entries(&mut world, 20);
        assert_open_flows_last(&world, seed);
    }
}

// No process saw the outage, so none can tell another one of the entries that lapsed.
#[test]
fn a_start_of_all_processes_after_an_outage_resets_no_open_flow() {
    for seed in 0..SEEDS {
        let mut world = open_flows(seed, &[("alarm", 5)]);
        world.store_up = false;
        (0..2).for_each(|i| world.deregister(i));
        (0..5).for_each(|i| world.kill_agent(i));
        (0..ENTRIES).for_each(|i| world.kill_entry(i));
        world.run(SECOND);
        world.store_up = true;
        (0..5).for_each(|i| world.start_agent(i, false));
        (0..ENTRIES).for_each(|i| world.start_entry(i));
        return_entries(&mut world, 2);
        assert_open_flows_last(&world, seed);
    }
}

// The agents beside the lapsed backend servers start later than the homes.
#[test]
fn flows_of_agents_that_start_later_than_the_homes_after_an_outage_are_not_reset() {
    for seed in 0..SEEDS {
        let mut world = open_flows(seed, &[("alarm", 5)]);
        world.store_up = false;
        (0..2).for_each(|i| world.deregister(i));
        (0..5).for_each(|i| world.kill_agent(i));
        (0..ENTRIES).for_each(|i| world.kill_entry(i));
        world.run(SECOND);
        world.store_up = true;
        (2..5).for_each(|i| world.start_agent(i, false));
        (0..ENTRIES).for_each(|i| world.start_entry(i));
        world.run(Duration::from_millis(700));
        (0..2).for_each(|i| world.start_agent(i, false));
        return_entries(&mut world, 2);
        assert_open_flows_last(&world, seed);
    }
}

// A backend server that leaves serves its flows for some time. Its entry may lapse in an outage
// that no read noticed, and is back within 2 s like any other.
#[test]
fn flows_of_a_leaving_backend_server_whose_entry_comes_back_are_not_reset() {
    for seed in 0..SEEDS {
        let mut world = open_flows(seed, &[("gallery", 4), ("feed", 4)]);
        let share = |service: &str| Share { service: service.into(), weight: 1 };
        world.reroute(vec![share("gallery"), share("feed")]);
        world.leave(0);
        world.run(SECOND);
        world.deregister(0);
        world.run(Duration::from_millis(350));
        restart_entries(&mut world);
        world.run(Duration::from_millis(1_550));
        world.register(0);
        world.run(SECOND * 40);
        assert_open_flows_last(&world, seed);
    }
}

/// Returns the registry of a process that knows two backend servers of `world`, and the
/// removal of the second one's entry, from a store that states no epoch.
fn known_entries(world: &World, now: Moment) -> (Registry, Change) {
    let at = |number| Revision { epoch: 0, number };
    let entry = |i: usize| Entry { member: world.backends[i].member.clone(), revision: at(1) };
    let mut registry = Registry::default();
    registry.replace(Listing { revision: at(2), entries: vec![entry(0), entry(1)] }, now);
    let name = world.backends[1].member.name.clone();
    (registry, Change::Removed { name, revision: at(3) })
}

// An entry that is missing is kept for a while by those that saw it vanish. A process that
// learns the registry from one of them must not take it for removed.
#[test]
fn a_process_that_learns_the_registry_does_not_take_a_lapsed_entry_for_removed() {
    let world = World::open(1, 0, &[("alarm", 2)]);
    let now = Moment::from_millis(10_000);
    let (mut peer, removal) = known_entries(&world, now);
    peer.change(vec![removal], now);
    let routes = Published::default();
    assert_eq!(peer.roster(&routes).members().len(), 2, "the peer expects it back");
    let mut learner = Registry::default();
    learner.learn(peer.updates_since(Revision::default()), now);
    let kept = learner.roster(&routes).members().len() == 2;
    assert!(kept || !learner.confirms_absence(now), "the learner takes it for gone");
}

// The same for a process that knew the entry and is told of its removal, while its own view is
// current.
#[test]
fn a_process_that_is_told_of_a_removal_keeps_the_entry_as_long_as_it_may_come_back() {
    let world = World::open(1, 0, &[("alarm", 2)]);
    let now = Moment::from_millis(10_000);
    let (mut peer, removal) = known_entries(&world, now);
    let (mut learner, _) = known_entries(&world, now);
    peer.change(vec![removal], now);
    learner.learn(peer.updates_since(learner.revision()), now);
    assert_eq!(learner.revision(), peer.revision());
    let routes = Published::default();
    let kept = learner.roster(&routes).members().len() == 2;
    assert!(kept || !learner.confirms_absence(now), "the learner takes it for gone");
}
