//! Versions never go down, reach every process in time, and are refused if invalid.

use std::time::Duration;

use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_lib::version::index::Index;
use lagoonhollow_lib::version::manifest::Manifest;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::docs::Publisher;
use lagoonhollow_testutils::world::World;

const SECOND: Duration = Duration::from_secs(1);
/// Time within which a version must be in force everywhere.
const EVERYWHERE: Duration = Duration::from_secs(8);

fn services(count: u16) -> Vec<Doc> {
    (0..count).map(|i| docs::numbered(i, 4)).collect()
}

fn reweighed(mut docs: Vec<Doc>) -> Vec<Doc> {
    let weight = &mut docs[0].backends[0].weight;
    *weight = *weight % 500 + 1;
    docs
}

fn lowest(world: &World) -> u64 {
    world.versions_in_force().into_iter().map(|(_, v)| v).min().unwrap_or_default()
}

#[test]
fn one_reader_is_enough_for_everyone_within_eight_seconds() {
    for seed in 0..5 {
        let mut world = World::open(seed, 20, services(25));
        world.run(SECOND);
        world.faults.loss = 0.02;
        let reader: Vec<Name> = world.names().into_iter().take(1).collect();
        let version = world.publish(reweighed(world.docs()), &reader, Duration::ZERO);
        world.run(EVERYWHERE);
        assert_eq!(lowest(&world), version, "seed {seed}");
    }
}

#[test]
fn versions_published_faster_than_they_spread_never_go_down() {
    for seed in 0..5 {
        let mut world = World::open(seed, 3, services(3));
        let mut seen: Vec<(Name, u64)> = world.versions_in_force();
        for round in 0..20 {
            // Each version is read by only some processes, so later ones overtake
            // it.
            let names = world.names();
            let readers: Vec<_> = names.into_iter().skip(round % 5).step_by(3).collect();
            world.publish(reweighed(world.docs()), &readers, SECOND * 3);
            world.run(SECOND / 3);
            let now = world.versions_in_force();
            let mut pairs = seen.iter().zip(&now);
            assert!(pairs.all(|(a, b)| a.0 == b.0 && a.1 <= b.1), "seed {seed}");
            seen = now;
        }
        world.run(EVERYWHERE);
        assert_eq!(lowest(&world), 21, "seed {seed}");
    }
}

#[test]
fn a_restarted_process_with_a_stale_version_catches_up_from_peers() {
    let mut world = World::open(1, 2, services(2));
    let names = world.names();
    let version = world.publish(reweighed(world.docs()), &names, SECOND);
    world.run(SECOND * 3);
    let agent = world.agents()[0].clone();
    // The platform serves a stale version, so the process starts with the one
    // before.
    world.kill(&agent);
    world.start(&agent, version - 1);
    world.run(EVERYWHERE);
    assert_eq!(lowest(&world), version);
}

#[test]
fn a_partition_heals_to_the_latest_version() {
    let mut world = World::open(2, 2, services(2));
    let agents = world.agents();
    let (left, right) = agents.split_at(4);
    let everyone = world.names();
    for a in left {
        for b in everyone.iter().filter(|n| !left.contains(n)) {
            world.cut(a, b, true);
        }
    }
    let version = world.publish(reweighed(world.docs()), right, SECOND);
    world.run(EVERYWHERE);
    assert!(lowest(&world) < version, "a partition keeps the version out");
    world.faults.cuts.clear();
    world.run(EVERYWHERE);
    assert_eq!(lowest(&world), version);
}

#[test]
fn every_finding_is_reported_with_its_place() {
    let mut bad = services(2);
    bad[1].address = bad[0].address;
    bad[1].backends[0].weight = 0;
    bad[1].backends[1].slots = 0;
    bad[1].backends[2].name = bad[0].backends[0].name.clone();
    bad[1].former = vec![bad[1].service.clone()];
    bad[0].lifetime = Duration::ZERO;
    bad.push(docs::doc("empty", "10.9.9.9:5683".parse().unwrap(), Vec::new()));
    let mut publisher = Publisher::open();
    publisher.publish(bad);
    let findings = publisher.in_force(None).expect_err("the documents are wrong");
    let places: Vec<_> = findings.list().iter().map(|f| f.place.as_str()).collect();
    let expected = [
        "service/empty.backends",
        "service/s0.lifetime_ms",
        "service/s1.address",
        "service/s1.backends[0].weight",
        "service/s1.backends[1].slots",
        "service/s1.backends[2].name",
        "service/s1.former[0]",
    ];
    assert_eq!(places, expected);
}

#[test]
fn an_index_and_documents_that_disagree_are_refused() {
    let doc = std::sync::Arc::new(Doc { revision: 2, ..docs::numbered(0, 2) });
    let index = Index { version: 3, services: [("s0".into(), 1), ("s9".into(), 1)].into() };
    let findings = Manifest::open(index, [doc]).check().expect_err("they disagree");
    let places: Vec<_> = findings.list().iter().map(|f| f.place.as_str()).collect();
    assert_eq!(places, ["index.services.s0", "index.services.s9"]);
}

#[test]
fn an_earlier_version_is_never_put_in_force() {
    let mut publisher = Publisher::open();
    publisher.publish(services(1));
    let first = publisher.clone();
    publisher.publish(reweighed(services(1)));
    let second = publisher.in_force(None).unwrap();
    assert!(first.in_force(Some(&second)).is_err());
    assert!(publisher.in_force(Some(&second)).is_err(), "nor the same one again");
}
