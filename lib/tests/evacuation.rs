//! Evacuations of failure domains under failures, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::front::packet::action::Action;
use lagoonhollow_lib::front::packet::decline::Decline;
use lagoonhollow_lib::front::packet::event::Decision;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::version::evacuations::Evacuations;
use lagoonhollow_testutils::packets::caller::Caller;
use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 8;
/// Calls that [`load`] starts each second.
const CALLS: u64 = 50;

/// One request on a flow of its own.
const SINGLE_REQUEST: Plan =
    Plan { requests: 1, pause: Duration::ZERO, work: Duration::from_millis(20), deadline: SECOND };

/// Many requests on one flow, over about 20 s.
const LONG_FLOW: Plan = Plan {
    requests: 60,
    pause: Duration::from_millis(300),
    work: Duration::from_millis(20),
    deadline: Duration::from_secs(4),
};

/// Starts 6 backend servers, two in each of d-0, d-1 and d-2, with 12 long flows.
fn fleet(seed: u64) -> World {
    let mut world = World::open(seed, 3, &[("alarm", 6)]);
    world.run(SECOND * 2);
    for i in 0..12 {
        world.call(0, LONG_FLOW, Duration::from_millis(10 * i));
    }
    world.run(SECOND);
    world
}

/// Runs for some seconds with a steady load.
fn load(world: &mut World, seconds: u64) {
    for _ in 0..seconds {
        for i in 0..CALLS {
            world.call(0, SINGLE_REQUEST, Duration::from_millis(20 * i));
        }
        world.run(SECOND);
    }
}

/// Runs until all calls have ended, and checks that all were served and nothing was violated.
fn assert_all_served(world: &mut World, seed: u64) {
    world.run(SECOND * 30);
    assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    world.calls.values().for_each(|c| *ends.entry(format!("{:?}", c.end())).or_default() += 1);
    assert_eq!(world.ended(End::Done), world.calls.len(), "seed {seed}: {ends:?}");
}

/// Returns how many requests each backend server has begun.
fn begun(world: &World) -> Vec<u64> {
    world.backends.iter().map(|b| b.begun).collect()
}

/// A process without the store that kept offering or accepting flows by what it knew.
#[test]
fn no_flow_opens_in_an_evacuated_domain_while_a_third_cannot_read_the_store() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.entries[0].reads_store = false;
        world.agents[0].reads_store = false;
        world.agents[1].reads_store = false;
        world.run(Duration::from_millis(500));
        world.evacuate(&["d-0"]);
        load(&mut world, 10);
        assert_all_served(&mut world, seed);
    }
}

/// A process that was cut off as the order was withdrawn and stayed closed for ever.
#[test]
fn a_process_that_was_cut_off_during_the_withdrawal_accepts_flows_again() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.evacuate(&["d-0"]);
        load(&mut world, 6);
        world.agents[0].isolated = true;
        world.agents[0].reads_store = false;
        world.run(SECOND);
        world.evacuate(&[]);
        world.run(SECOND * 2);
        let before = begun(&world);
        load(&mut world, 2);
        assert!(begun(&world)[3] > before[3], "seed {seed}: the others stayed closed");
        world.agents[0].isolated = false;
        load(&mut world, 3);
        assert!(begun(&world)[0] > before[0], "seed {seed}: it stayed closed");
        world.run(SECOND * 30);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// A process that opened flows in its domain before it had read the order.
#[test]
fn processes_that_start_during_an_evacuation_follow_it() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.evacuate(&["d-0", "d-1"]);
        load(&mut world, 6);
        for i in [0, 1, 2] {
            world.kill_agent(i);
            world.run(Duration::from_millis(300));
            world.start_agent(i, false);
            load(&mut world, 2);
        }
        assert_all_served(&mut world, seed);
    }
}

/// Offers that wait in the socket of a stalled agent are handled before it reads the store,
/// and homes went by its last report, which said that it accepts flows.
#[test]
fn a_stalled_agent_declines_the_offers_that_waited_for_it() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.agents[0].paused_until = world.now + SECOND * 8;
        world.agents[3].paused_until = world.now + SECOND * 8;
        load(&mut world, 1);
        world.evacuate(&["d-0"]);
        let ordered = world.now;
        load(&mut world, 10);
        world.run(SECOND * 30);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        let closed = [world.agents[0].link, world.agents[3].link];
        // The stalled agents themselves may offer to each other, and decline.
        let offered = world.events.iter().filter(|(at, by, e)| {
            let offer = matches!(e.decision, Decision::Placed | Decision::Replaced);
            !closed.contains(by)
                && offer
                && *at > ordered + SECOND
                && e.peer.is_some_and(|p| closed.contains(&p))
        });
        assert_eq!(offered.count(), 0, "seed {seed}");
        let served = world.ended(End::Done);
        assert!(served * 100 >= world.calls.len() * 97, "seed {seed}: {served} served");
    }
}

/// A process that kept an order which the store no longer has, or missed the one after it.
#[test]
fn a_store_from_a_copy_made_before_the_order_lifts_it_until_it_is_given_again() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        let copy = world.copy_store();
        world.run(SECOND);
        world.evacuate(&["d-0"]);
        load(&mut world, 7);
        world.restore_store(copy);
        world.run(SECOND * 2);
        let before = begun(&world);
        load(&mut world, 2);
        assert!(begun(&world)[0] > before[0], "seed {seed}: the order still applied");
        world.evacuate(&["d-0"]);
        load(&mut world, 7);
        assert_all_served(&mut world, seed);
    }
}

/// An order for one domain that replaced or ended that for another.
#[test]
fn domains_that_are_evacuated_one_after_the_other_both_stay_closed() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.evacuate(&["d-0"]);
        load(&mut world, 6);
        world.evacuate(&["d-0", "d-1"]);
        load(&mut world, 7);
        world.evacuate(&["d-1"]);
        world.run(SECOND * 2);
        let before = begun(&world);
        load(&mut world, 5);
        assert!(begun(&world)[0] > before[0], "seed {seed}: d-0 stayed closed");
        assert_all_served(&mut world, seed);
    }
}

/// A new backend server looks idle to every home that has no report of it yet.
#[test]
fn a_backend_server_that_joins_an_evacuated_domain_gets_no_flow() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.evacuate(&["d-0"]);
        load(&mut world, 6);
        let i = world.add_backend("alarm");
        world.start_agent(i, false);
        load(&mut world, 3);
        assert_eq!((world.backends[i].member.domain.as_str(), begun(&world)[i]), ("d-0", 0));
        assert_all_served(&mut world, seed);
    }
}

/// New runs in the domain that counted as new members outside the order.
#[test]
fn a_release_inside_an_evacuated_domain_opens_no_flow_there() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.evacuate(&["d-0"]);
        load(&mut world, 6);
        // The long flows of the domain are over before its backend servers are replaced.
        world.run(SECOND * 30);
        for i in [0, 3] {
            world.leave(i);
            load(&mut world, 2);
            world.restart_backend(i, None);
            load(&mut world, 2);
        }
        assert_all_served(&mut world, seed);
    }
}

/// Callers that wait for their timeouts although nothing can serve them.
#[test]
fn new_flows_are_refused_at_once_while_all_domains_are_evacuated() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        world.evacuate(&["d-0", "d-1", "d-2"]);
        world.run(SECOND);
        (0..50).for_each(|_| _ = world.call(0, SINGLE_REQUEST, Duration::ZERO));
        world.run(Duration::from_millis(50));
        assert_eq!(world.ended(End::Refused), 50, "seed {seed}");
        let reason = |r| move |e: &Decision, x: Option<Reason>| *e == Decision::Refused && x == r;
        let told = reason(Some(Reason::Evacuated));
        let count = world.events.iter().filter(|(_, _, e)| told(&e.decision, e.reason)).count();
        assert_eq!(count, 50, "seed {seed}");
        world.run(SECOND * 30);
        assert_eq!(world.ended(End::Done), 12, "seed {seed}: open flows were touched");
    }
}

/// The packets that agent 0 passes to its backend server, and its answers to an offer.
fn actions_of(world: &mut World, message: Message, packet: Packet) -> (bool, Option<Decline>) {
    let (from, now) = (world.agents[1].link, world.now);
    let agent = world.agents[0].agent().unwrap();
    agent.take_actions();
    agent.handle_message(from, KnownVersions::default(), message, Some(packet), now);
    let actions = agent.take_actions();
    let declined = actions.iter().find_map(|a| match a {
        Action::Send { message: Message::Declined { why, .. }, .. } => Some(*why),
        _ => None,
    });
    (actions.iter().any(|a| matches!(a, Action::Backend(_))), declined)
}

/// The opening packet of a call from `port`, and the backend server's answer to it.
fn opening(port: u16, now: Moment) -> (Packet, Packet) {
    let caller = SocketAddr::from(([100, 64, 0, 1], port));
    let service = lagoonhollow_testutils::packets::world::address(0);
    let protocol = lagoonhollow_lib::connection::flow::Protocol::Tcp;
    let opening =
        Caller::open(FlowKey { protocol, caller, service }, SINGLE_REQUEST, now).opening(1);
    let mut answer = opening.clone();
    answer.segment.flags = Flags { opens: true, acks: true, ..Flags::default() };
    (opening, answer)
}

/// A process that took a set which it had not read for an empty one.
#[test]
fn an_agent_accepts_no_flow_before_it_knows_the_evacuations() {
    let mut world = fleet(0);
    let entry = world.entries[0].link;
    let now = world.now;
    let known = world.agents[0].view.clone();
    let unknown = View { evacuations: Evacuations::default().into(), ..known.clone() };
    world.agents[0].update_view(unknown, now);
    let place = || Message::Place { entry, service: "alarm".into(), firm: false };
    let declined = (false, Some(Decline::Evacuated));
    assert_eq!(actions_of(&mut world, place(), opening(1, now).0), declined);
    world.agents[0].update_view(known, now);
    assert_eq!(actions_of(&mut world, place(), opening(2, now).0), (true, None));
}

/// A gate that only [`Message::Place`] passed through, or that broke handshakes in progress.
#[test]
fn only_copies_of_answered_opening_packets_pass_an_agent_of_an_evacuated_domain() {
    let mut world = fleet(0);
    let entry = world.entries[0].link;
    let place = || Message::Place { entry, service: "alarm".into(), firm: false };
    let deliver = || Message::Deliver { entry, direct: true };
    let now = world.now;
    let (answered, answer) = opening(1, now);
    let (unanswered, _) = opening(2, now);
    assert_eq!(actions_of(&mut world, place(), answered.clone()), (true, None));
    assert_eq!(actions_of(&mut world, place(), unanswered.clone()), (true, None));
    world.agents[0].agent().unwrap().handle_backend_packet(answer, now);
    world.evacuate(&["d-0"]);
    let mut view = world.agents[0].view.clone();
    view.evacuations = world.evacuations();
    world.agents[0].update_view(view, now);
    assert!(!world.agents[0].agent().unwrap().accepts_flows(now));
    let declined = (false, Some(Decline::Evacuated));
    for message in [place(), deliver()] {
        assert_eq!(actions_of(&mut world, message, answered.clone()), (true, None));
    }
    assert_eq!(actions_of(&mut world, place(), unanswered.clone()), declined);
    assert_eq!(actions_of(&mut world, deliver(), unanswered), (false, None));
    assert_eq!(actions_of(&mut world, place(), opening(3, now).0), declined);
    assert_eq!(actions_of(&mut world, deliver(), opening(3, now).0), (false, None));
    // A later flow between the addresses of one that was answered is a new one.
    let mut later = answered;
    later.segment.seq += 1;
    assert_eq!(actions_of(&mut world, place(), later), declined);
}
