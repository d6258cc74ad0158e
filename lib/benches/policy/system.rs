//! The system's own policy: its decision logic over a simulated network.

use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::process::safeguard::Safeguard;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::world::LONG_PATH;
use lagoonhollow_testutils::world::World;

use crate::measures::Measures;
use crate::workload::CALLERS;
use crate::workload::DEADLINE;
use crate::workload::LONG_DEADLINE;
use crate::workload::UNIT;
use crate::workload::Workload;

/// Channels that planned changes must not break.
const CHANNELS: u16 = 60;
/// Times of the planned changes in seconds: a drain and a join, during the peak.
const DRAIN_AT: f64 = 9.0;
const JOIN_AT: f64 = 11.0;

/// Runs the system's policy, with one of its rules disabled if one is given.
pub fn run(workload: &Workload, disabled: Option<Safeguard>) -> Measures {
    let count = workload.deployment.speeds.len() as u16;
    let mut doc = docs::numbered(0, count);
    doc.lifetime = Duration::from_secs(8);
    doc.backends.iter_mut().for_each(|b| b.slots = workload.deployment.slots);
    doc.paths = vec![
        docs::rule("report", Duration::from_secs_f64(DEADLINE)),
        docs::rule(LONG_PATH, Duration::from_secs_f64(LONG_DEADLINE)),
    ];
    let mut world = World::open(workload.seed, 3, vec![doc]);
    world.service_time = Duration::from_secs_f64(UNIT);
    let names = world.agents();
    for (i, name) in names.iter().enumerate() {
        world.set_speed(name, workload.speed(i, 0.0));
    }
    for name in names.iter().filter(|_| disabled.is_some()) {
        let agent = world.agent(name).zip(disabled);
        agent.into_iter().for_each(|(a, rule)| a.disable(rule, Moment(0)));
    }
    world.run(Duration::from_secs(10));
    let flows = open_channels(&mut world);

    let start = world.elapsed();
    let mut done = Vec::new();
    let mut warm = false;
    let mut changes = Changes { drained: !workload.changes, joined: !workload.changes };
    for arrival in &workload.arrivals {
        let at = start + Duration::from_secs_f64(arrival.at);
        world.run(at.saturating_sub(world.elapsed()));
        if !warm && arrival.at >= workload.warm_at().as_secs_f64() {
            warm = true;
            let speeds = names.iter().zip(&workload.deployment.speeds);
            speeds.for_each(|(name, speed)| world.set_speed(name, *speed));
        }
        changes.make(&mut world, arrival.at);
        let flow = flow(&world, arrival.caller);
        let key =
            if arrival.long { world.get(flow, LONG_PATH) } else { world.post(flow, "report") };
        done.push((*arrival, key));
    }
    world.run(Duration::from_secs_f64(LONG_DEADLINE));
    let loads: Vec<_> = names
        .iter()
        .zip(&workload.deployment.speeds)
        .map(|(name, speed)| world.worked(name).as_secs_f64() / speed)
        .collect();
    let time = |key| {
        let call = &world.calls.all[key];
        let right = call.outcome() == Some(Code::Content);
        call.waited().filter(|_| right).map(|d| d.as_secs_f64())
    };
    let done: Vec<_> = done.iter().map(|(a, key)| (*a, time(key))).collect();
    let mut measures = Measures::open(workload, &done, &loads);
    measures.broken = broken(&mut world, &flows);
    measures
}

struct Changes {
    drained: bool,
    joined: bool,
}

impl Changes {
    fn make(&mut self, world: &mut World, at: f64) {
        if !self.drained && at >= DRAIN_AT {
            self.drained = true;
            let mut docs = world.docs();
            docs[0].backends[0].drain = true;
            publish(world, docs);
        }
        if !self.joined && at >= JOIN_AT {
            self.joined = true;
            let mut docs = world.docs();
            docs[0].backends[0].drain = false;
            publish(world, docs);
        }
    }
}

fn publish(world: &mut World, docs: Vec<lagoonhollow_lib::version::doc::Doc>) {
    let names = world.names();
    world.publish(docs, &names, Duration::from_secs(2));
}

fn open_channels(world: &mut World) -> Vec<FlowKey> {
    let flows: Vec<_> = (0..CHANNELS).map(|i| flow(world, CALLERS + i)).collect();
    for flow in &flows {
        world.observe(*flow);
    }
    world.run(Duration::from_secs(2));
    flows
}

fn broken(world: &mut World, flows: &[FlowKey]) -> u64 {
    for text in ["first", "second"] {
        world.notify(text);
        world.run(Duration::from_secs(8));
    }
    let notes = &world.calls.notifications;
    let got = |f: &&FlowKey| notes.get(f).is_some_and(|n| n.iter().any(|t| t == "second"));
    flows.iter().filter(|f| !got(f)).count() as u64
}

fn flow(world: &World, caller: u16) -> FlowKey {
    world.flow(Protocol::Udp, caller, world.docs()[0].address)
}
