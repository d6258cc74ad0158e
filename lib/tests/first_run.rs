//! Evidence that a process is its agent's first one beside a run of its backend server: each
//! part of it is necessary.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::process::first_run::FirstRun;
use lagoonhollow_lib::process::known_runs::KnownRuns;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::wall_time::WallTime;

const START: Moment = Moment(5_000_000);
const BORN: WallTime = WallTime(1_000_000);
const RUN: Incarnation = Incarnation(7);

fn link(i: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i], 7_000))
}

fn after(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

/// The time of day `ms` after the start of the run, when the process had started 38 ms
/// after it.
fn wall(ms: u64) -> WallTime {
    WallTime(BORN.0 + 38 + ms)
}

/// Collects replies of agents whose clocks are ahead by these milliseconds.
fn replies(first_run: &mut FirstRun, ahead: &[i64], earlier: bool) {
    let token = first_run.ask(BORN, after(30)).unwrap_or_default();
    for (i, ahead) in ahead.iter().enumerate() {
        let wall = WallTime(wall(32).0.saturating_add_signed(*ahead));
        first_run.replied(link(i as u8), token, wall, earlier, after(32));
    }
}

fn start(started: WallTime) -> FirstRun {
    FirstRun::open(RUN, started, START)
}

// Guards against evidence that is never found, which leaves every table incomplete.
#[test]
fn a_process_that_started_with_its_run_proves_it() {
    let mut first_run = start(wall(0));
    replies(&mut first_run, &[-3, 2, 40], false);
    assert!(first_run.proves(BORN));
    assert!(!first_run.proves(WallTime(BORN.0 + 500)), "another run");
}

// A restarted process, or one whose backend server registered itself anew, did not start
// with the run.
#[test]
fn the_process_must_have_started_within_100_ms_after_the_run() {
    for (late, proven) in [(0, true), (100, true), (101, false), (3_000, false)] {
        let mut first_run = start(WallTime(BORN.0 + late));
        replies(&mut first_run, &[late as i64 - 38; 3], false);
        assert_eq!(first_run.proves(BORN), proven, "{late} ms");
    }
    let mut first_run = start(WallTime(BORN.0 - 1));
    replies(&mut first_run, &[-39; 3], false);
    assert!(!first_run.proves(BORN), "before the run");
}

// Two replies may both come from VMs with wrong clocks, or from agents that know nothing.
#[test]
fn at_least_three_agents_must_have_replied() {
    let mut first_run = start(wall(0));
    replies(&mut first_run, &[0, 0], false);
    assert!(!first_run.proves(BORN));
}

// A clock that stepped before the start may show the start of the run again.
#[test]
fn the_clock_must_agree_with_the_median_of_the_others() {
    for (ahead, proven) in [
        ([0, 0, 900], true),
        ([0, 900, 900], false),
        ([-4_000, -4_000, 0], false),
        ([249, 249, 249], true),
        ([252, 252, 252], false),
    ] {
        let mut first_run = start(wall(0));
        replies(&mut first_run, &ahead, false);
        assert_eq!(first_run.proves(BORN), proven, "{ahead:?}");
    }
}

#[test]
fn a_clock_that_steps_after_the_start_refutes_for_good() {
    for step in [-3_000_i64, -260, 260, 3_000] {
        let mut first_run = start(wall(0));
        first_run.check_clock(WallTime(wall(20).0.saturating_add_signed(step)), after(20));
        first_run.check_clock(wall(40), after(40));
        replies(&mut first_run, &[0, 0, 0, 0], false);
        assert!(!first_run.proves(BORN), "{step}");
    }
}

#[test]
fn one_agent_that_knows_an_earlier_process_refutes_for_good() {
    let mut first_run = start(wall(0));
    replies(&mut first_run, &[0, 0, 0, 0], false);
    assert!(first_run.proves(BORN));
    // A reply counts whenever it comes.
    first_run.replied(link(9), 0, wall(900), true, after(900));
    assert!(!first_run.proves(BORN));
}

// A reply that waited in a socket shows a time of day that is past, and one to an earlier
// process says nothing about this one.
#[test]
fn replies_that_are_late_or_answer_another_question_do_not_count() {
    let mut first_run = start(wall(0));
    let token = first_run.ask(BORN, after(30)).unwrap();
    for i in 0..4 {
        first_run.replied(link(i), token + 1, wall(32), false, after(32));
        first_run.replied(link(i), token, wall(30), false, after(300));
    }
    assert!(!first_run.proves(BORN));
}

#[test]
fn a_process_asks_at_a_bounded_rate_and_not_without_prospect() {
    let mut first_run = start(wall(0));
    let rounds = (0..20_000).filter(|ms| first_run.ask(BORN, after(*ms)).is_some()).count();
    assert!((12..=32).contains(&rounds), "{rounds} rounds");
    let mut first_run = start(WallTime(BORN.0 + 5_000));
    assert_eq!(first_run.ask(BORN, after(30)), None);
}

// An agent that forgets a killed process at once lets the next one take itself for the first.
#[test]
fn another_process_at_the_address_is_remembered() {
    let mut known = KnownRuns::default();
    assert!(!known.heard(link(1), RUN, START));
    assert!(!known.heard(link(1), RUN, after(50)));
    known.expire(after(60_000));
    assert!(known.heard(link(1), Incarnation(8), after(60_000)));
    assert!(known.heard(link(1), Incarnation(8), after(60_050)));
}
