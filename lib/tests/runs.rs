//! Backend servers that end and start again under their names, with registry entries that
//! are written or read late. A flow that the wrong run is taken for ends although its backend
//! server holds it.

use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::process::own_entry::OwnEntry;
use lagoonhollow_lib::process::run_evidence::RunEvidence;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::roster::Roster;
use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;

const SECOND: Duration = Duration::from_secs(1);
/// Time after which the registry entry of a stopped backend server is removed.
const ENTRY_TTL: Duration = Duration::from_secs(4);
const SEEDS: u64 = 10;

/// Requests on one flow, over about 18 s.
const LONG_FLOW: Plan = Plan {
    requests: 60,
    pause: Duration::from_millis(300),
    work: Duration::from_millis(5),
    deadline: Duration::from_secs(4),
};

/// A flow whose caller sends its second request only after a minute.
const IDLE_FLOW: Plan = Plan { requests: 2, pause: Duration::from_secs(60), ..LONG_FLOW };

/// Starts a service of four backend servers, and runs it until connections to them are proven
/// to be those of the registered runs.
fn fleet(seed: u64) -> World {
    let mut world = World::open(seed, 2, &[("s", 4)]);
    world.run(SECOND * 6);
    world
}

fn open_flows(world: &mut World, count: u64, plan: Plan) {
    for i in 0..count {
        world.call(0, plan, Duration::from_millis(10 * i));
    }
    world.run(SECOND);
}

/// Ends a backend server's run and starts the next one 30 ms later, before the agent has
/// tried to connect again and no packet was refused.
fn restart(world: &mut World, i: usize) {
    world.crash(i, true);
    world.run(Duration::from_millis(30));
    world.start_run(i);
}

// A heartbeat of an earlier run was done in the store after the present run had registered
// itself. The agent took the earlier run for a new one and reset all flows of the present run.
#[test]
fn a_late_entry_of_an_earlier_run_ends_no_flow() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        let earlier = world.backends[1].member.clone();
        restart(&mut world, 1);
        world.register(1);
        world.run(SECOND);
        open_flows(&mut world, 40, LONG_FLOW);
        assert!(!world.backends[1].held.is_empty(), "seed {seed}");
        world.run(SECOND * 3);
        world.write_entry(earlier);
        world.run(Duration::from_millis(1_200));
        world.register(1);
        world.run(SECOND * 25);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.ended(End::Done), 40, "seed {seed}");
    }
}

// A backend server started again within 30 ms, and its new run's entry was read 8 s later. The
// agent had passed flows to the new run meanwhile and reset all of them then.
#[test]
fn flows_that_a_new_run_accepted_before_its_entry_was_read_stay_open() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed);
        restart(&mut world, 1);
        open_flows(&mut world, 40, LONG_FLOW);
        assert!(!world.backends[1].held.is_empty(), "seed {seed}");
        world.run(SECOND * 7);
        world.register(1);
        world.run(SECOND * 25);
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.ended(End::Done), 40, "seed {seed}");
    }
}

// Without the reset, a caller that sends nothing waits for an answer that can't come.
#[test]
fn flows_that_were_certainly_opened_at_an_earlier_run_are_reset_when_the_later_one_is_read() {
    let mut world = fleet(1);
    open_flows(&mut world, 40, IDLE_FLOW);
    world.run(SECOND * 4);
    let held = world.backends[1].held.len();
    assert!(held > 0);
    restart(&mut world, 1);
    world.register(1);
    world.run(SECOND);
    assert_eq!(world.ended(End::Reset), held);
    assert_eq!(world.checks.violations, Vec::<String>::new());
}

// Flows that were opened just before the end may be those of the new run. The first packet
// that the new run returns ends them.
#[test]
fn flows_in_doubt_end_when_the_new_run_returns_their_packets() {
    let mut world = fleet(1);
    open_flows(&mut world, 40, LONG_FLOW);
    let held = world.backends[1].held.len();
    assert!(held > 0);
    restart(&mut world, 1);
    world.register(1);
    world.run(SECOND * 2);
    assert_eq!(world.ended(End::Reset), held);
    world.run(SECOND * 25);
    assert_eq!(world.ended(End::Done), 40 - held);
    assert_eq!(world.checks.violations, Vec::<String>::new());
}

// An end that is noticed late, after a stall, would count flows of the new run as earlier ones.
#[test]
fn the_time_of_a_stall_counts_as_time_in_which_the_run_may_have_ended() {
    let mut evidence = RunEvidence::default();
    for ms in (0..=10_000).step_by(500) {
        evidence.connected(Moment::from_millis(ms));
    }
    evidence.listed(Moment::from_millis(9_000), ENTRY_TTL);
    // The agent stalls until 16 s; the next report is that of the new run's connection.
    evidence.disconnected();
    evidence.connected(Moment::from_millis(16_000));
    assert_eq!(evidence.advance(), Some(Moment::from_millis(7_500)));
    assert_eq!(evidence.advance(), None);
}

// An agent that starts beside a new run reads the earlier one's entry until the new one has
// registered itself. A connection that is cut meanwhile is not the earlier run's end.
#[test]
fn the_end_of_a_connection_that_a_later_run_may_have_accepted_proves_nothing() {
    let mut evidence = RunEvidence::default();
    evidence.connected(Moment::from_millis(1_000));
    evidence.listed(Moment::from_millis(4_900), ENTRY_TTL);
    evidence.disconnected();
    assert_eq!(evidence.advance(), None);
    // Nor does a connection that was open when the entry was read.
    evidence.connected(Moment::from_millis(6_000));
    evidence.listed(Moment::from_millis(10_000), ENTRY_TTL);
    assert_eq!(evidence.advance(), None);
    evidence.disconnected();
    assert_eq!(evidence.advance(), None);
}

// Entries of an earlier run come from processes that know an old roster, too.
#[test]
fn an_agent_never_takes_an_earlier_run_at_its_address_for_its_own_again() {
    let world = World::open(1, 0, &[("s", 1)]);
    let present = world.backends[0].member.clone();
    let former = Member { name: "former".into(), born: present.born - 1, ..present.clone() };
    let mut own = OwnEntry::default();
    let mut check = |member: &Member, seconds: u64| {
        let now = Moment::from_millis(seconds * 1_000);
        let roster = Arc::new(Roster::open(seconds.into(), [member.clone()]));
        let view = View { roster: roster.clone(), fresh: true, read_at: now, ..View::default() };
        own.check(roster.holder(member.address), &"s".into(), &view, ENTRY_TTL, now).is_some()
    };
    assert!(check(&present, 1));
    assert!(!check(&former, 2));
    assert!(check(&present, 3));
    assert!(!check(&former, 4));
    // One that outlasts its heartbeats is the present one: the clock was set back.
    assert!(check(&former, 8));
}
