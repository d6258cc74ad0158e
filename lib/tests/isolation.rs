//! Checks that a packet for one service never reaches another service, whichever
//! versions the processes have in force.

use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::world::World;

const SECOND: Duration = Duration::from_secs(1);
const FLOWS: u16 = 24;

/// Opens two services and flows to the address of the first one, which
/// [`swap_addresses`] moves to the second one.
fn open(seed: u64) -> (World, Vec<FlowKey>) {
    let mut docs = vec![docs::numbered(0, 4), docs::numbered(1, 4)];
    docs.iter_mut().for_each(|d| d.lifetime = SECOND * 2);
    let mut world = World::open(seed, 3, docs);
    world.run(SECOND * 4);
    let address = world.docs()[0].address;
    let flows: Vec<_> = (0..FLOWS).map(|i| world.flow(Protocol::Udp, i, address)).collect();
    for flow in &flows {
        world.observe(*flow);
    }
    world.run(SECOND * 2);
    (world, flows)
}

fn swap_addresses(world: &mut World, spread: Duration) {
    let mut docs = world.docs();
    let first = docs[0].address;
    docs[0].address = docs[1].address;
    docs[1].address = first;
    let (a, b) = (docs[0].service.clone(), docs[1].service.clone());
    docs[0].former = vec![b];
    docs[1].former = vec![a];
    let names = world.names();
    world.publish(docs, &names, spread);
}

/// Returns the service digit of a backend server's name, such as 0 in `s0-b1`.
fn service_of(name: &Name) -> char {
    name.as_str().chars().nth(1).unwrap_or_default()
}

#[test]
fn established_flows_stay_with_their_service_when_its_address_moves() {
    for seed in 0..8 {
        let (mut world, flows) = open(seed);
        let before: Vec<_> = flows.iter().map(|f| world.owners(f)).collect();
        swap_addresses(&mut world, SECOND * 3);
        let mut keys = Vec::new();
        for _ in 0..8 {
            keys.extend(flows.iter().map(|f| world.get(*f, "level")));
            world.run(SECOND);
        }
        world.run(SECOND * 8);
        let after: Vec<_> = flows.iter().map(|f| world.owners(f)).collect();
        assert_eq!(before, after, "seed {seed}: flows moved");
        for key in keys {
            let runs = &world.calls.all[&key].runs;
            let all_first = runs.iter().all(|name| service_of(name) == '0');
            assert!(all_first, "seed {seed}: a packet of service 0 reached {runs:?}");
        }
    }
}

#[test]
fn an_agent_restarted_after_the_move_still_finds_the_owner() {
    for seed in 0..8 {
        let (mut world, flows) = open(seed);
        let before: Vec<_> = flows.iter().map(|f| world.owners(f)).collect();
        swap_addresses(&mut world, SECOND);
        world.run(SECOND * 6);
        for name in docs::names(&world.docs()[1]) {
            world.restart(&name);
            flows.iter().for_each(|f| {
                world.get(*f, "level");
            });
            world.run(SECOND * 3);
        }
        world.run(SECOND * 8);
        let after: Vec<_> = flows.iter().map(|f| world.owners(f)).collect();
        assert_eq!(before, after, "seed {seed}: flows moved");
    }
}

#[test]
fn new_flows_reach_the_service_that_holds_the_address_at_either_version() {
    for seed in 0..8 {
        let (mut world, _) = open(seed);
        let address = world.docs()[0].address;
        swap_addresses(&mut world, SECOND * 3);
        world.run(SECOND * 6);
        let mut keys = Vec::new();
        for i in 0..FLOWS {
            let flow = world.flow(Protocol::Udp, 900 + i, address);
            keys.push(world.get(flow, "level"));
        }
        world.run(SECOND * 6);
        for key in keys {
            let runs = &world.calls.all[&key].runs;
            assert!(!runs.is_empty(), "seed {seed}: a request was not served");
            let all_second = runs.iter().all(|name| service_of(name) == '1');
            assert!(all_second, "seed {seed}: a packet of service 1 reached {runs:?}");
        }
    }
}

#[test]
fn a_flow_opened_while_the_address_moves_reaches_one_service_only() {
    for seed in 0..40 {
        let (mut world, _) = open(seed);
        let address = world.docs()[0].address;
        swap_addresses(&mut world, SECOND);
        let mut keys = Vec::new();
        for round in 0..30 {
            let flows: Vec<_> =
                (0..4).map(|i| world.flow(Protocol::Udp, 900 + round * 4 + i, address)).collect();
            for _ in 0..3 {
                keys.extend(flows.iter().map(|f| world.get(*f, "level")));
                world.run(Duration::from_millis(12));
            }
        }
        world.run(SECOND * 6);
        let mut served = std::collections::BTreeMap::new();
        for key in keys {
            let runs = world.calls.all[&key].runs.iter().map(service_of);
            served.entry(key.flow).or_insert_with(Vec::new).extend(runs);
        }
        for (flow, mut by) in served {
            by.dedup();
            assert!(by.len() <= 1, "seed {seed}: {flow:?} was served by services {by:?}");
        }
    }
}
