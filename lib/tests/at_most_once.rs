//! Checks that a report runs at most once, and that a request that was answered as
//! not run did not run.
//!
//! `LAGOONHOLLOW_SCHEDULES` sets the number of schedules of the long run.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::process::safeguard::Safeguard;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::property::holds_times;
use lagoonhollow_testutils::world::World;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::TestResult;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Schedules in a run of normal length.
const SCHEDULES: u64 = 1_500;
/// Schedules within which the check must fail if a safeguard is switched off.
const VARIANT_SCHEDULES: u64 = 6_000;
/// Request lifetime; callers retransmit a request for 6 s.
const LIFETIME: Duration = Duration::from_secs(8);
const MEMBERS: u16 = 4;

/// A fault, or a change that an operator makes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Pauses an agent for a time in milliseconds.
    Pause(u8, u16),
    /// Cuts the link from one agent to another, in both directions if true.
    CutLink(u8, u8, bool),
    /// Cuts all links of an agent.
    Isolate(u8),
    /// Separates the processes whose bits are set from the others.
    Partition(u8),
    /// Restores all links and the reading of new versions.
    Heal,
    Restart(u8),
    Kill(u8),
    /// Adds a member.
    Join,
    /// Removes a member from the service.
    Leave(u8),
    /// Changes the weight of a member.
    Weight(u8),
    /// Sets the share of lost packets in per cent.
    PacketLoss(u8),
}

/// A fault and the time in milliseconds before it occurs.
type Step = (u16, Fault);

/// A schedule of faults under a stream of reports.
#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    steps: Vec<Step>,
}

impl Schedule {
    fn open(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let count = rng.random_range(1..9);
        let steps = (0..count).map(|_| Self::step(&mut rng)).collect();
        Self { seed, steps }
    }

    /// Opens a schedule in which members change while a part of the fleet is cut off
    /// from the rest and continues to work under the previous version.
    fn churn(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut steps = vec![(rng.random_range(0..500), Fault::Partition(rng.random()))];
        for _ in 0..rng.random_range(2..6) {
            let fault = if rng.random_bool(0.7) { Fault::Join } else { Fault::Leave(rng.random()) };
            steps.push((rng.random_range(0..400), fault));
        }
        steps.push((rng.random_range(500..1_500), Fault::PacketLoss(20)));
        steps.push((1_500, Fault::Heal));
        Self { seed, steps }
    }

    fn step(rng: &mut Pcg64Mcg) -> Step {
        let a = rng.random();
        let fault = match rng.random_range(0..13) {
            0 | 1 => Fault::Pause(a, rng.random_range(100..9_000)),
            2 => Fault::CutLink(a, rng.random(), rng.random()),
            3 => Fault::Isolate(a),
            4 => Fault::Heal,
            5..=7 => Fault::Restart(a),
            8 => Fault::Kill(a),
            9 => Fault::Join,
            10 => Fault::Leave(a),
            11 => Fault::Weight(a),
            _ => Fault::PacketLoss(rng.random_range(0..30)),
        };
        (rng.random_range(0..1_500), fault)
    }

    /// Runs the schedule and returns all violations of the guarantees.
    fn run(&self, without: Option<Safeguard>) -> Vec<String> {
        let mut doc = docs::numbered(0, MEMBERS);
        doc.lifetime = LIFETIME;
        let mut world = World::open(self.seed, 3, vec![doc]);
        world.faults.delay = Duration::from_millis(40);
        world.run(LIFETIME + Duration::from_secs(2));
        // Long enough that callers retransmit requests before they are answered.
        world.service_time = Duration::from_millis(300);
        world.disabled_safeguard = without;
        let names = world.agents();
        if let Some(safeguard) = without {
            let now = lagoonhollow_lib::value::moment::Moment(0);
            for name in &names {
                world.agent(name).into_iter().for_each(|a| a.disable(safeguard, now));
            }
        }
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ 1);
        let mut injector = Injector { joined: MEMBERS, unreachable: Vec::new() };
        for (after, fault) in &self.steps {
            send_reports(&mut world, &mut rng, *after);
            injector.inject(&mut world, *fault);
        }
        send_reports(&mut world, &mut rng, 1_000);
        world.run(Duration::from_secs(4));
        world.faults.cuts.clear();
        world.faults.loss = 0.0;
        world.run(Duration::from_secs(10));
        violations(&world)
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Self::open(u64::arbitrary(g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        let without = move |i: usize| {
            let mut schedule = whole.clone();
            schedule.steps.remove(i);
            schedule
        };
        Box::new((0..self.steps.len()).map(without))
    }
}

fn violations(world: &World) -> Vec<String> {
    let calls = &world.calls;
    let double = calls.double_runs().into_iter().map(|k| format!("ran twice: {k:?}"));
    let not_run = calls.false_not_run().into_iter().map(|k| format!("not run, but ran: {k:?}"));
    let wrong = calls.wrong_answers().into_iter().map(|k| format!("wrong answer: {k:?}"));
    double.chain(not_run).chain(wrong).collect()
}

/// Sends reports from random callers for `time` milliseconds.
fn send_reports(world: &mut World, rng: &mut Pcg64Mcg, time: u16) {
    let address = world.docs()[0].address;
    for _ in 0..4 {
        for _ in 0..2 {
            let flow = world.flow(Protocol::Udp, rng.random_range(0..30), address);
            world.post(flow, "report");
        }
        world.run(Duration::from_millis(u64::from(time) / 4));
    }
}

/// Applies faults and tracks what they have changed.
struct Injector {
    /// Members that have joined, including the initial ones.
    joined: u16,
    /// Processes behind a partition, which receive no new version.
    unreachable: Vec<Name>,
}

impl Injector {
    fn inject(&mut self, world: &mut World, fault: Fault) {
        let agents = world.agents();
        let pick = |i: u8| agents[usize::from(i) % agents.len()].clone();
        let mut docs = world.docs();
        let count = docs[0].backends.len();
        let everyone = world.names();
        match fault {
            Fault::Pause(a, ms) => world.pause(&pick(a), Duration::from_millis(ms.into())),
            Fault::CutLink(a, b, both) => world.cut(&pick(a), &pick(b), both),
            Fault::Isolate(a) => {
                let name = pick(a);
                everyone.iter().filter(|n| **n != name).for_each(|n| world.cut(&name, n, true));
            }
            Fault::Partition(mask) => {
                let side = |i: usize| mask >> (i % 8) & 1 == 1;
                let names = everyone.iter().enumerate();
                self.unreachable =
                    names.filter(|(i, _)| side(*i)).map(|(_, n)| n.clone()).collect();
                everyone.iter().for_each(|name| self.isolate_sides(world, name));
            }
            Fault::Heal => {
                world.faults.cuts.clear();
                self.unreachable.clear();
            }
            Fault::Restart(a) => world.restart(&pick(a)),
            Fault::Kill(a) if agents.len() > 2 => world.kill(&pick(a)),
            Fault::Join if count < 8 => {
                self.joined += 1;
                let backend = docs::numbered(0, self.joined).backends.pop().unwrap();
                let name = backend.name.clone();
                docs[0].backends.push(backend);
                let version = self.publish(world, docs);
                self.isolate_sides(world, &name);
                world.start(&name, version);
            }
            Fault::Leave(a) if count > 2 => {
                docs[0].backends.remove(usize::from(a) % count);
                self.publish(world, docs);
            }
            Fault::Weight(a) => {
                let backend = &mut docs[0].backends[usize::from(a) % count];
                backend.weight = 300 - backend.weight;
                self.publish(world, docs);
            }
            Fault::PacketLoss(percent) => world.faults.loss = f64::from(percent) / 100.0,
            Fault::Kill(_) | Fault::Join | Fault::Leave(_) => {}
        }
    }

    fn publish(&self, world: &mut World, docs: Vec<Doc>) -> u64 {
        let names = world.names().into_iter();
        let readers: Vec<_> = names.filter(|n| !self.unreachable.contains(n)).collect();
        world.publish(docs, &readers, Duration::from_secs(3))
    }

    /// Cuts a process that can receive new versions off from those that can't.
    fn isolate_sides(&self, world: &mut World, name: &Name) {
        if !self.unreachable.contains(name) {
            self.unreachable.iter().for_each(|other| world.cut(name, other, true));
        }
    }
}

/// Runs schedules on up to six processors and returns the lowest seed that fails.
fn first_failure(
    schedule: fn(u64) -> Schedule,
    schedules: u64,
    without: Option<Safeguard>,
) -> Option<u64> {
    let next = AtomicU64::new(0);
    let failed = AtomicU64::new(u64::MAX);
    let threads = thread::available_parallelism().map_or(2, usize::from).min(6);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= schedules.min(failed.load(Ordering::Relaxed)) {
                        return;
                    }
                    if !schedule(seed).run(without).is_empty() {
                        failed.fetch_min(seed, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    Some(failed.into_inner()).filter(|seed| *seed != u64::MAX)
}

#[test]
fn reports_run_at_most_once() {
    let schedules = schedules(SCHEDULES);
    if let Some(seed) = first_failure(Schedule::open, schedules, None) {
        let shrunk = minimise(Schedule::open(seed));
        panic!("seed {seed}: {shrunk:?} violates {:#?}", shrunk.run(None));
    }
    println!("{schedules} schedules");
}

#[test]
fn reports_run_at_most_once_in_random_schedules() {
    fn property(schedule: Schedule) -> TestResult {
        TestResult::from_bool(schedule.run(None).is_empty())
    }
    holds_times(200, property as fn(Schedule) -> TestResult);
}

#[test]
fn reports_run_at_most_once_while_members_change_often() {
    let schedules = schedules(SCHEDULES / 3);
    assert_eq!(first_failure(Schedule::churn, schedules, None), None);
    println!("{schedules} schedules");
}

/// Returns the number of schedules that the environment sets, or `default`.
fn schedules(default: u64) -> u64 {
    let given = std::env::var("LAGOONHOLLOW_SCHEDULES").ok();
    given.and_then(|n| n.parse().ok()).unwrap_or(default)
}

fn assert_caught(schedule: fn(u64) -> Schedule, safeguard: Safeguard) {
    let caught = first_failure(schedule, VARIANT_SCHEDULES, Some(safeguard));
    println!("{safeguard:?} switched off: caught at seed {caught:?}");
    assert_ne!(caught, None, "{safeguard:?}");
}

#[test]
fn the_check_catches_a_witness_that_does_not_abstain() {
    assert_caught(Schedule::open, Safeguard::Abstention);
}

#[test]
fn the_check_catches_majorities_of_one_membership_only() {
    assert_caught(Schedule::churn, Safeguard::JointMajority);
}

#[test]
fn the_check_catches_a_refusal_without_a_majority() {
    assert_caught(Schedule::open, Safeguard::MajorityBeforeRefusal);
}

#[test]
fn the_check_catches_grants_forgotten_at_a_change_of_version() {
    assert_caught(Schedule::open, Safeguard::GrantMemory);
}

/// Removes steps as long as the schedule still fails.
fn minimise(schedule: Schedule) -> Schedule {
    let smaller = schedule.shrink().find(|p| !p.run(None).is_empty());
    smaller.map_or(schedule, minimise)
}
