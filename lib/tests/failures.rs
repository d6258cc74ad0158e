//! Flows under crashes, partitions and pauses: an owner that does not answer still
//! owns its flows.

use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::world::World;

const SECOND: Duration = Duration::from_secs(1);
const FLOWS: u16 = 24;

fn open(seed: u64, members: u16) -> (World, Vec<FlowKey>) {
    let mut doc = docs::numbered(0, members);
    doc.lifetime = SECOND * 2;
    let mut world = World::open(seed, 3, vec![doc]);
    world.run(SECOND * 4);
    let address = world.docs()[0].address;
    let flows: Vec<_> = (0..FLOWS)
        .map(|i| {
            let protocol = if i % 2 == 0 { Protocol::Udp } else { Protocol::Tcp };
            world.flow(protocol, i, address)
        })
        .collect();
    for flow in &flows {
        world.observe(*flow);
    }
    world.run(SECOND * 2);
    (world, flows)
}

fn owner(world: &mut World, flow: &FlowKey) -> Name {
    let owners = world.owners(flow);
    assert_eq!(owners.len(), 1, "{flow:?} has one owner");
    owners[0].clone()
}

/// Sends two notifications over each flow; returns the flows on which the second
/// one does not arrive.
fn broken(world: &mut World, flows: &[FlowKey]) -> Vec<FlowKey> {
    for text in ["first", "second"] {
        world.notify(text);
        world.run(SECOND * 10);
    }
    let notes = &world.calls.notifications;
    let got = |f: &&FlowKey| notes.get(f).is_some_and(|n| n.iter().any(|t| t == "second"));
    flows.iter().filter(|f| !got(f)).copied().collect()
}

fn use_flows(world: &mut World, flows: &[FlowKey]) {
    for flow in flows {
        world.get(*flow, "level");
    }
}

#[test]
fn a_paused_owner_keeps_its_flows() {
    for seed in 0..8 {
        let (mut world, flows) = open(seed, 4);
        let before: Vec<_> = flows.iter().map(|f| owner(&mut world, f)).collect();
        let paused = before[0].clone();
        world.pause(&paused, SECOND * 12);
        for _ in 0..6 {
            use_flows(&mut world, &flows);
            world.run(SECOND * 2);
        }
        world.run(SECOND * 10);
        let after: Vec<_> = flows.iter().map(|f| owner(&mut world, f)).collect();
        assert_eq!(before, after, "seed {seed}: flows moved");
        assert_eq!(broken(&mut world, &flows), [], "seed {seed}");
    }
}

#[test]
fn a_cut_off_owner_keeps_its_flows() {
    for seed in 0..8 {
        for both in [true, false] {
            let (mut world, flows) = open(seed, 4);
            let before: Vec<_> = flows.iter().map(|f| owner(&mut world, f)).collect();
            let cut = before[0].clone();
            for other in world.agents().into_iter().filter(|n| *n != cut) {
                world.cut(&cut, &other, both);
            }
            for _ in 0..6 {
                use_flows(&mut world, &flows);
                world.run(SECOND * 2);
            }
            world.faults.cuts.clear();
            world.run(SECOND * 20);
            let after: Vec<_> = flows.iter().map(|f| owner(&mut world, f)).collect();
            assert_eq!(before, after, "seed {seed}, both {both}: flows moved");
            assert_eq!(broken(&mut world, &flows), [], "seed {seed}, both {both}");
        }
    }
}

#[test]
fn a_cut_during_a_change_of_version_places_no_flow_twice_for_good() {
    for seed in 0..8 {
        let (mut world, flows) = open(seed, 4);
        let cut = owner(&mut world, &flows[0]);
        for other in world.names().into_iter().filter(|n| *n != cut) {
            world.cut(&cut, &other, true);
        }
        let mut docs = world.docs();
        let joined = docs::numbered(0, 5).backends.pop().unwrap();
        let name = joined.name.clone();
        docs[0].backends.push(joined);
        let readers: Vec<_> = world.names().into_iter().filter(|n| *n != cut).collect();
        let version = world.publish(docs, &readers, SECOND);
        world.start(&name, version);
        for _ in 0..5 {
            use_flows(&mut world, &flows);
            world.run(SECOND * 2);
        }
        world.faults.cuts.clear();
        world.run(SECOND * 30);
        for flow in &flows {
            owner(&mut world, flow);
        }
        assert_eq!(broken(&mut world, &flows), [], "seed {seed}");
    }
}

#[test]
fn a_dead_agent_breaks_only_its_own_flows() {
    for seed in 0..8 {
        let (mut world, flows) = open(seed, 4);
        let dead = owner(&mut world, &flows[0]);
        let others: Vec<_> =
            flows.iter().filter(|f| owner(&mut world, f) != dead).copied().collect();
        world.kill(&dead);
        world.run(SECOND * 4);
        use_flows(&mut world, &others);
        assert_eq!(broken(&mut world, &others), [], "seed {seed}");
        // The callers of the dead agent reopen their channels.
        let lost: Vec<_> = flows.iter().filter(|f| !others.contains(f)).copied().collect();
        for flow in &lost {
            world.observe(*flow);
        }
        world.run(SECOND * 5);
        assert_eq!(broken(&mut world, &lost), [], "seed {seed}: channels reopened");
    }
}

#[test]
fn marked_flows_are_never_placed_by_a_packet_in_their_middle() {
    for seed in 0..8 {
        let (mut world, flows) = open(seed, 4);
        let marked: Vec<_> =
            flows.iter().filter(|f| f.protocol == Protocol::Tcp).copied().collect();
        let dead = owner(&mut world, &marked[0]);
        world.kill(&dead);
        world.run(SECOND * 4);
        let key = world.get(marked[0], "level");
        world.run(SECOND * 8);
        assert_eq!(world.owners(&marked[0]), [], "seed {seed}");
        assert_eq!(world.calls.all[&key].outcome(), None, "seed {seed}");
    }
}

#[test]
fn reports_are_answered_while_one_agent_is_down() {
    let (mut world, _) = open(3, 4);
    let address = world.docs()[0].address;
    let dead = world.agents()[1].clone();
    world.kill(&dead);
    world.run(SECOND * 4);
    let mut keys = Vec::new();
    for i in 0..200 {
        let flow = world.flow(Protocol::Udp, 500 + i, address);
        keys.push(world.post(flow, "report"));
    }
    world.run(SECOND * 20);
    let done = |c: Option<Code>| c == Some(Code::Content);
    let answered = keys.iter().filter(|k| done(world.calls.all[k].outcome())).count();
    assert_eq!(answered, keys.len());
}

#[test]
fn a_channel_is_answered_again_when_its_first_answer_is_lost() {
    for seed in 0..8 {
        let mut doc = docs::numbered(0, 4);
        doc.lifetime = SECOND * 2;
        let mut world = World::open(seed, 3, vec![doc]);
        world.run(SECOND * 4);
        let address = world.docs()[0].address;
        world.faults.loss = 0.5;
        let mut keys = Vec::new();
        for i in 0..FLOWS {
            let flow = world.flow(Protocol::Udp, i, address);
            keys.push(world.observe(flow));
        }
        // Every transmission but the last may be lost.
        world.run(SECOND * 5);
        world.faults.loss = 0.0;
        world.run(SECOND * 5);
        let unanswered = keys.iter().filter(|k| world.calls.all[k].outcome().is_none()).count();
        assert_eq!(unanswered, 0, "seed {seed}");
    }
}
