//! Established flows survive planned changes, single and combined.

use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::world::World;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const FLOWS: u16 = 40;
const SECOND: Duration = Duration::from_secs(1);

/// A change that an operator or the platform makes on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlannedChange {
    Join,
    Drop,
    Weight,
    Drain,
    RestartEntry,
    ReplaceAgent,
}

const CHANGES: [PlannedChange; 6] = [
    PlannedChange::Join,
    PlannedChange::Drop,
    PlannedChange::Weight,
    PlannedChange::Drain,
    PlannedChange::RestartEntry,
    PlannedChange::ReplaceAgent,
];

struct Fleet {
    world: World,
    rng: Pcg64Mcg,
    flows: Vec<FlowKey>,
    joined: u16,
}

impl Fleet {
    fn open(seed: u64) -> Self {
        let mut doc = docs::numbered(0, 5);
        doc.lifetime = SECOND * 2;
        let world = World::open(seed, 3, vec![doc]);
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = Self { world, rng, flows: Vec::new(), joined: 5 };
        fleet.world.run(SECOND * 4);
        fleet.open_flows();
        fleet.world.run(SECOND * 2);
        fleet
    }

    fn open_flows(&mut self) {
        let address = self.world.docs()[0].address;
        for i in 0..FLOWS {
            let protocol = if i % 2 == 0 { Protocol::Udp } else { Protocol::Tcp };
            let flow = self.world.flow(protocol, i, address);
            self.world.observe(flow);
            self.flows.push(flow);
        }
    }

    fn change(&mut self, change: PlannedChange) {
        let mut docs = self.world.docs();
        let count = docs[0].backends.len();
        let at = self.rng.random_range(0..count);
        match change {
            PlannedChange::Join => {
                self.joined += 1;
                let joined = docs::numbered(0, self.joined).backends.pop().unwrap();
                let name = joined.name.clone();
                docs[0].backends.push(joined);
                let version = self.publish(docs);
                self.world.start(&name, version);
            }
            PlannedChange::Drop if count > 3 => {
                docs[0].backends.remove(at);
                self.publish(docs);
            }
            PlannedChange::Weight => {
                docs[0].backends[at].weight = self.rng.random_range(50..200);
                self.publish(docs);
            }
            PlannedChange::Drain => {
                docs[0].backends[at].drain = true;
                self.publish(docs);
            }
            PlannedChange::RestartEntry => self.world.restart_entry(at % 3),
            PlannedChange::ReplaceAgent => self.replace(&docs[0].backends[at].name),
            PlannedChange::Drop => {}
        }
    }

    fn publish(&mut self, docs: Vec<Doc>) -> u64 {
        let names = self.world.names();
        self.world.publish(docs, &names, SECOND * 2)
    }

    // A planned stop hands the channels over before the agent restarts.
    fn replace(&mut self, name: &Name) {
        self.world.drain(name);
        for _ in 0..6 {
            self.world.run(SECOND / 2);
            self.world.hand_over(name);
        }
        self.world.restart(name);
    }

    /// Returns how often an agent gave up a flow that another agent owned.
    fn yielded(&mut self) -> u64 {
        let names = self.world.agents();
        let tally = |name: &Name| self.world.agent(name).map(|a| a.take_tally());
        names.iter().filter_map(tally).map(|t| t.get(Reason::OwnerYielded)).sum()
    }

    /// Sends a request on each flow, which could place the flow again.
    fn use_flows(&mut self) {
        for flow in self.flows.clone() {
            self.world.get(flow, "level");
        }
    }

    /// Returns the flows that don't work in both directions: the second notification
    /// is sent only once the first one was acknowledged.
    fn broken(&mut self) -> Vec<FlowKey> {
        for _ in 0..4 {
            self.use_flows();
            self.world.run(SECOND * 2);
        }
        for text in ["first", "second"] {
            self.world.notify(text);
            self.world.run(SECOND * 8);
        }
        let notes = &self.world.calls.notifications;
        let got = |f: &FlowKey| notes.get(f).is_some_and(|n| n.iter().any(|t| t == "second"));
        self.flows.iter().filter(|f| !got(f)).copied().collect()
    }

    fn owned_twice(&mut self) -> Vec<(FlowKey, Vec<Name>)> {
        let flows = self.flows.clone();
        let owners = flows.into_iter().map(|f| (f, self.world.owners(&f)));
        owners.filter(|(_, o)| o.len() > 1).collect()
    }

    fn assert_intact(&mut self, what: &str) {
        assert_eq!(self.broken(), [], "{what}: broken flows");
        assert_eq!(self.owned_twice(), [], "{what}: flows with two owners");
    }
}

#[test]
fn each_planned_change_alone_breaks_no_flow() {
    for change in CHANGES {
        for seed in 0..8 {
            let mut fleet = Fleet::open(seed);
            fleet.change(change);
            fleet.assert_intact(&format!("{change:?}, seed {seed}"));
        }
    }
}

#[test]
fn a_planned_change_places_no_established_flow_twice() {
    for change in CHANGES.into_iter().filter(|c| *c != PlannedChange::ReplaceAgent) {
        for seed in 0..8 {
            let mut fleet = Fleet::open(seed);
            // The longer delay lets packets overtake control messages.
            fleet.world.faults.delay = Duration::from_millis(50);
            fleet.change(change);
            for _ in 0..20 {
                fleet.use_flows();
                fleet.world.run(SECOND / 5);
            }
            assert_eq!(fleet.yielded(), 0, "{change:?}, seed {seed}: flows placed twice");
            fleet.assert_intact(&format!("{change:?}, seed {seed}"));
        }
    }
}

#[test]
fn planned_changes_in_pairs_break_no_flow() {
    for (i, first) in CHANGES.into_iter().enumerate() {
        for second in &CHANGES[i..] {
            for seed in 0..3 {
                let mut fleet = Fleet::open(seed);
                fleet.change(first);
                fleet.world.run(SECOND / 4);
                fleet.change(*second);
                fleet.assert_intact(&format!("{first:?} and {second:?}, seed {seed}"));
            }
        }
    }
}

#[test]
fn many_planned_changes_under_loss_break_no_flow() {
    for seed in 0..10 {
        let mut fleet = Fleet::open(seed);
        fleet.world.faults.loss = 0.02;
        fleet.world.faults.duplicate = 0.02;
        fleet.world.faults.delay = Duration::from_millis(80);
        for _ in 0..8 {
            let change = CHANGES[fleet.rng.random_range(0..CHANGES.len())];
            fleet.change(change);
            let pause = fleet.rng.random_range(0..2_000);
            fleet.world.run(Duration::from_millis(pause));
        }
        fleet.world.faults.loss = 0.0;
        fleet.assert_intact(&format!("many changes, seed {seed}"));
    }
}

#[test]
fn rolling_replacement_of_everything_breaks_no_flow() {
    let mut fleet = Fleet::open(7);
    for entry in 0..3 {
        fleet.world.restart_entry(entry);
        fleet.world.run(SECOND / 2);
    }
    for name in docs::names(&fleet.world.docs()[0]) {
        fleet.replace(&name);
        fleet.world.run(SECOND);
    }
    fleet.assert_intact("rolling replacement");
}

#[test]
fn a_leaving_backend_server_gets_no_new_work_after_three_seconds() {
    for by_manifest in [true, false] {
        for seed in 0..8 {
            let mut fleet = Fleet::open(seed);
            let docs = fleet.world.docs();
            let leaving = docs[0].backends[1].name.clone();
            if by_manifest {
                let mut docs = docs.clone();
                docs[0].backends[1].drain = true;
                fleet.publish(docs);
            } else {
                fleet.world.drain(&leaving);
            }
            fleet.world.run(SECOND * 3);
            let mut keys = Vec::new();
            for i in 0..120 {
                // New flows, and established ones of which the leaving backend
                // server owns some.
                let new = fleet.world.flow(Protocol::Udp, 500 + i, docs[0].address);
                let old = fleet.flows[usize::from(i) % fleet.flows.len()];
                keys.push(fleet.world.post(new, "report"));
                keys.push(fleet.world.get(old, "level"));
                fleet.world.run(SECOND / 50);
            }
            fleet.world.run(SECOND * 8);
            for key in keys {
                let runs = &fleet.world.calls.all[&key].runs;
                assert_eq!(runs.len(), 1, "seed {seed}: {key:?} ran on {runs:?}");
                assert_ne!(runs[0], leaving, "seed {seed}: {key:?}");
            }
            fleet.assert_intact(&format!("leaving, seed {seed}"));
        }
    }
}

#[test]
fn a_backend_server_dropped_and_added_again_breaks_no_flow() {
    for seed in 0..8 {
        for pause in [Duration::ZERO, SECOND / 4, SECOND * 5] {
            let mut fleet = Fleet::open(seed);
            let before = fleet.world.docs();
            let mut without = before.clone();
            without[0].backends.remove(1);
            fleet.publish(without);
            fleet.use_flows();
            fleet.world.run(pause);
            fleet.publish(before);
            fleet.use_flows();
            fleet.assert_intact(&format!("dropped for {pause:?}, seed {seed}"));
        }
    }
}
