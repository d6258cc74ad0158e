//! Failures that operators of similar systems have reported, provoked on both front ends.
//! docs/PROOFS.md lists each with what came out.

use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::packets::backend::ANSWER_LEN;
use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World as Packets;
use lagoonhollow_testutils::world::World as Coap;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 10;

/// One request on a flow of its own.
const REPORT: Plan =
    Plan { requests: 1, pause: Duration::ZERO, work: Duration::from_millis(30), deadline: SECOND };

/// Requests on one flow, over about 6 s.
const CHANNEL: Plan = Plan {
    requests: 20,
    pause: Duration::from_millis(300),
    work: Duration::from_millis(20),
    deadline: Duration::from_secs(4),
};

fn packets(seed: u64) -> Packets {
    let mut world = Packets::open(seed, 3, &[("alarm", 5), ("firmware", 3)]);
    world.run(SECOND * 2);
    world
}

fn reports(world: &mut Packets, count: u64) -> Vec<FlowKey> {
    (0..count).map(|i| world.call(0, REPORT, Duration::from_millis(5 * i))).collect()
}

fn coap(seed: u64) -> Coap {
    let mut doc = docs::numbered(0, 4);
    doc.lifetime = SECOND * 2;
    let mut world = Coap::open(seed, 3, vec![doc]);
    world.run(SECOND * 4);
    world
}

/// Returns how many requests of each flow backend servers have begun.
fn begun(world: &Packets, flow: &FlowKey) -> u32 {
    world.backends.iter().filter_map(|b| b.progress(flow)).map(|(_, received)| received).sum()
}

fn assert_sound(world: &Coap, seed: u64) {
    assert_eq!(world.calls.wrong_answers(), [], "seed {seed}: answers of other requests");
    assert_eq!(world.calls.double_runs(), [], "seed {seed}: requests that ran twice");
    assert_eq!(world.calls.false_not_run(), [], "seed {seed}: false refusals");
}

// A backend server's late copy of an answer could make its agent claim the flow that now
// uses the same addresses, so that the later flow's packets went to it.
#[test]
fn a_late_copy_of_an_answer_takes_no_packets_of_the_flow_that_uses_its_addresses_now() {
    for seed in 0..SEEDS {
        let mut world = packets(seed);
        let flows = reports(&mut world, 20);
        world.run(SECOND * 2);
        assert_eq!(world.ended(End::Done), 20, "seed {seed}");
        for flow in &flows {
            world.call_again(*flow, CHANNEL, Duration::ZERO);
        }
        world.run(SECOND);
        for flow in &flows {
            let holder = world.holder(flow);
            for i in (0..5).filter(|i| Some(*i) != holder) {
                let flags = Flags { acks: true, ..Flags::default() };
                let (seq, ack) = (i as u32 * 7_919, 1_901);
                let segment = Segment { flow: *flow, flags, seq, ack, len: ANSWER_LEN, attempt: 0 };
                world.send_late(i, segment, Duration::from_millis(100 * i as u64));
            }
        }
        world.run(SECOND * 20);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.ended(End::Done), 20, "seed {seed}");
    }
}

#[test]
fn a_late_copy_of_an_answer_reaches_no_other_request_of_the_caller() {
    for seed in 0..SEEDS {
        let mut world = coap(seed);
        world.faults.late_copies = Some(Duration::from_millis(70));
        let address = world.docs()[0].address;
        let agents = world.agents();
        for round in 0..40 {
            for i in 0..12 {
                let flow = world.flow(Protocol::Udp, i, address);
                world.post(flow, "report");
                world.get(flow, "level");
            }
            if round % 10 == 5 {
                // The next run of an agent gets answers to requests of the earlier one.
                world.restart(&agents[round / 10]);
            }
            world.run(Duration::from_millis(50));
        }
        world.run(SECOND * 20);
        assert_sound(&world, seed);
    }
}

// Agents are stopped and started in turn under load; opening packets arrive up to the last
// millisecond before each end.
#[test]
fn a_planned_stop_of_each_agent_under_load_cuts_no_request() {
    for seed in 0..SEEDS {
        let mut world = packets(seed);
        reports(&mut world, 1_000);
        for i in 0..5 {
            let now = world.now;
            world.agents[i].agent().unwrap().leave(now);
            world.run(Duration::from_millis(300));
            world.kill_agent(i);
            world.run(Duration::from_millis(150));
            world.start_agent(i, false);
            world.run(Duration::from_millis(500));
        }
        world.run(SECOND * 5);
        let cut = world.ended(End::Reset) + world.ended(End::Refused);
        assert_eq!(cut, 0, "seed {seed}: requests were cut off");
        assert_eq!(world.ended(End::Done), 1_000, "seed {seed}");
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_draining_agent_answers_what_it_has_accepted() {
    for seed in 0..SEEDS {
        let mut world = coap(seed);
        let address = world.docs()[0].address;
        let drained = world.agents()[0].clone();
        for i in 0..200 {
            let flow = world.flow(Protocol::Udp, i, address);
            world.post(flow, "report");
            world.run(Duration::from_millis(5));
            if i == 100 {
                world.drain(&drained);
            }
        }
        world.run(SECOND * 2);
        world.kill(&drained);
        world.run(SECOND * 20);
        let answered = |c: Option<Code>| c.is_some();
        let lost = world.calls.count(|c| !answered(c.outcome()));
        assert_eq!(lost, 0, "seed {seed}: requests without an answer");
        assert_sound(&world, seed);
    }
}

// All processes start anew while the store is out of reach, and know only what others tell
// them; some of those learned of changes late.
#[test]
fn a_restart_brings_no_backend_server_back_that_has_left() {
    for seed in 0..SEEDS {
        let mut world = packets(seed);
        world.agents[3].read_delay = SECOND * 2;
        world.leave(0);
        world.run(SECOND * 4);
        world.deregister(0);
        world.run(Duration::from_millis(500));
        for node in world.entries.iter_mut().chain(&mut world.agents) {
            node.reads_store = false;
        }
        for i in [0, 1, 2, 4] {
            world.kill_agent(i);
            world.start_agent(i, false);
            world.agents[i].reads_store = false;
        }
        (0..3).for_each(|i| world.kill_entry(i));
        (0..3).for_each(|i| world.start_entry(i));
        reports(&mut world, 300);
        world.run(SECOND * 4);
        // The checks report an opening packet at a backend server that has left.
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

// Backend servers crash with answers in progress, announced or not. A caller must not take
// what it has for the whole answer: its flow ends with a reset, or not at all.
#[test]
fn the_flow_of_an_answer_that_broke_off_does_not_close_in_order() {
    for seed in 0..SEEDS {
        for silent in [false, true] {
            let mut world = packets(seed);
            for i in 0..30 {
                world.call(0, CHANNEL, Duration::from_millis(10 * i));
            }
            world.run(SECOND);
            let broken: Vec<_> = world.backends[1].held.keys().copied().collect();
            world.crash(1, silent);
            world.run(SECOND * 30);
            for flow in broken {
                let end = world.calls[&flow].end();
                assert!(matches!(end, Some(End::Reset | End::Late)), "seed {seed}: {end:?}");
            }
        }
    }
}

// Pauses from 0.3 to 2 s of agents whose backend servers go on working.
#[test]
fn the_work_of_a_paused_agent_is_started_nowhere_else() {
    for seed in 0..SEEDS {
        for pause in [300, 700, 1_200, 2_000] {
            let mut world = packets(seed);
            let plan = Plan { deadline: SECOND * 6, ..REPORT };
            let wait = |i: u64| Duration::from_millis(5 * i);
            let flows: Vec<_> = (0..400).map(|i| world.call(0, plan, wait(i))).collect();
            for i in [1, 3] {
                world.run(Duration::from_millis(400));
                world.agents[i].paused_until = world.now + Duration::from_millis(pause);
            }
            // Before callers close, each request is counted where it was begun.
            let mut most = 0;
            for _ in 0..200 {
                world.run(Duration::from_millis(50));
                most = flows.iter().map(|f| begun(&world, f)).max().unwrap_or(0).max(most);
            }
            assert_eq!(most, 1, "seed {seed}, {pause} ms: a request was begun twice");
            assert_eq!(world.ended(End::Reset), 0, "seed {seed}, {pause} ms: given up");
            assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}, {pause} ms");
        }
    }
}

#[test]
fn work_of_a_paused_agent_runs_once_on_the_coap_front_end() {
    for seed in 0..SEEDS {
        for pause in [300, 700, 1_200, 2_000] {
            let mut world = coap(seed);
            let address = world.docs()[0].address;
            let paused = world.agents()[1].clone();
            for i in 0..100 {
                let flow = world.flow(Protocol::Udp, i, address);
                world.post(flow, "report");
                world.run(Duration::from_millis(10));
                if i == 30 {
                    world.pause(&paused, Duration::from_millis(pause));
                }
            }
            world.run(SECOND * 20);
            assert_sound(&world, seed);
        }
    }
}

// Answers are lost on their way to callers, who retransmit. A refusal says that a request
// has not run, so no backend server may have begun it.
#[test]
fn a_request_whose_answer_was_lost_is_neither_run_again_nor_refused() {
    for seed in 0..SEEDS {
        let mut world = packets(seed);
        world.loss = 0.3;
        let plan = Plan { deadline: SECOND * 6, ..REPORT };
        let wait = |i: u64| Duration::from_millis(5 * i);
        let flows: Vec<_> = (0..200).map(|i| world.call(0, plan, wait(i))).collect();
        let mut most = vec![0; flows.len()];
        for _ in 0..200 {
            world.run(Duration::from_millis(50));
            for (flow, most) in flows.iter().zip(&mut most) {
                *most = begun(&world, flow).max(*most);
            }
        }
        for (flow, begun) in flows.iter().zip(most) {
            assert!(begun <= 1, "seed {seed}: {flow:?} was begun {begun} times");
            let refused = world.calls[flow].end() == Some(End::Refused);
            assert!(!refused || begun == 0, "seed {seed}: {flow:?} was refused but had run");
        }
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn lost_answers_lead_to_no_second_run_on_the_coap_front_end() {
    for seed in 0..SEEDS {
        let mut world = coap(seed);
        let address = world.docs()[0].address;
        world.faults.loss = 0.3;
        for i in 0..200 {
            let flow = world.flow(Protocol::Udp, i, address);
            world.post(flow, "report");
            world.run(Duration::from_millis(10));
        }
        world.faults.loss = 0.0;
        world.run(SECOND * 20);
        assert_sound(&world, seed);
    }
}
