//! Who reads the source, and what confirms the others' knowledge, in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::front::packet::action::Action;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;
use lagoonhollow_lib::front::packet::version_queries::VersionQueries;
use lagoonhollow_lib::process::confirmation::Answered;
use lagoonhollow_lib::process::confirmation::Confirmation;
use lagoonhollow_lib::process::confirmation::Part;
use lagoonhollow_lib::process::confirmation::Step;
use lagoonhollow_lib::process::observers::Observers;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;
use lagoonhollow_lib::version::revision::Revision;
use lagoonhollow_lib::version::roster::Roster;

const BOUND: Duration = Duration::from_secs(3);
const PORT: u16 = 7_720;
const START: Moment = Moment(1_000_000_000);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8 + 1], PORT))
}

fn roster(count: usize) -> Roster {
    let member = |i| Member {
        name: format!("i-{i}").into(),
        service: "s".into(),
        address: address(i),
        domain: "d".into(),
        slots: 4,
        standing: MemberState::Ready,
        warming: Duration::ZERO,
        born: 1,
    };
    Roster::open(Revision { epoch: 1, number: 9 }, (0..count).map(member))
}

fn read(sent: Moment, wait: Duration, changed: bool, took: Duration) -> Answered {
    Answered { sent, wait, changed, received: sent + took }
}

/// A process whose knowledge was confirmed at `START` by another one.
fn vouched() -> Confirmation {
    let mut confirmation = Confirmation::open(BOUND, 7);
    confirmation.vouched(address(1), START, Duration::ZERO);
    confirmation
}

/// Guards against calls to the store that grow with the fleet, and against a choice that moves
/// with each change of the roster.
#[test]
fn few_agents_observe_and_a_change_of_the_roster_moves_few_of_them() {
    let count = |n| Observers::of(&roster(n), PORT).links().len();
    assert_eq!([2, 11, 51, 120, 6_200].map(count), [2, 3, 3, 4, 8]);
    for n in [120, 6_200] {
        let (before, after) =
            (Observers::of(&roster(n), PORT), Observers::of(&roster(n + 1), PORT));
        let kept = before.links().iter().filter(|l| after.include(**l)).count();
        assert!(kept + 1 >= before.links().len());
    }
}

/// Guards against an answer that was late on its way and confirms what it can't know.
#[test]
fn an_answer_confirms_the_time_before_which_nothing_can_be_missing() {
    let quiet = read(START, ms(750), false, ms(900));
    assert_eq!(quiet.confirms(), START + ms(750));
    let changed = read(START, ms(750), true, ms(900));
    assert_eq!(changed.confirms(), START);
    // A store that answers before the wait is over has not waited.
    assert_eq!(read(START, ms(750), false, ms(20)).confirms(), START);
}

/// Guards against an observer whose confirmation becomes too old for others after a change,
/// and against a watch that hides a silent connection for longer than the page allows.
#[test]
fn an_observer_watches_for_at_most_a_quarter_of_the_bound_after_its_confirmation() {
    let mut confirmation = vouched();
    let step = |c: &mut Confirmation, now| c.step(Part::Members, true, now);
    assert_eq!(step(&mut confirmation, START), Step::Watch(ms(750)));
    confirmation.read(Part::Members, &read(START, ms(750), true, ms(600)));
    assert_eq!(step(&mut confirmation, START + ms(600)), Step::Watch(ms(150)));
    assert_eq!(step(&mut confirmation, START + ms(2_000)), Step::Watch(ms(50)));
}

/// Guards against a process that relies on observers which are gone: with the store within
/// reach it has read it after two thirds of the bound, and it is confirmed from then on.
#[test]
fn a_process_without_a_confirmation_reads_the_store_until_it_is_confirmed_again() {
    let mut due = Vec::new();
    for seed in 0..200 {
        let mut confirmation = Confirmation::open(BOUND, seed);
        confirmation.vouched(address(1), START, Duration::ZERO);
        let Step::Idle(at) = confirmation.step(Part::Orders, false, START) else {
            panic!("reads the store while it is confirmed")
        };
        assert!((ms(1_500)..=ms(2_000)).contains(&at.since(START)));
        due.push(at);
        assert!(confirmation.is_current(START + ms(1_400)));
        assert!(confirmation.has_lapsed(at + ms(1)));
        let mut now = at;
        for _ in 0..5 {
            for part in [Part::Orders, Part::Members] {
                assert_eq!(confirmation.step(part, false, now), Step::Read);
                confirmation.read(part, &read(now, Duration::ZERO, false, ms(2)));
            }
            let Step::Idle(next) = confirmation.step(Part::Orders, false, now + ms(2)) else {
                panic!("reads without a pause")
            };
            assert!(confirmation.is_current(next));
            now = next;
        }
        // One answer of an observer ends it.
        confirmation.vouched(address(2), now, ms(100));
        let step = confirmation.step(Part::Orders, false, now + ms(1_300));
        assert!(matches!(step, Step::Idle(_)));
    }
    due.sort();
    let spread = due[due.len() - 1].since(due[0]);
    assert!(spread > ms(450), "all read within {spread:?}");
}

/// Guards against a fleet that floods a store which is away or has just come back.
#[test]
fn failed_reads_are_repeated_ever_more_rarely() {
    let (mut confirmation, mut now, mut calls) = (vouched(), START + ms(2_000), 0);
    while now < START + ms(62_000) {
        match confirmation.step(Part::Members, false, now) {
            Step::Idle(until) => now = until,
            _ => {
                calls += 1;
                now = now + ms(1);
                confirmation.failed(Part::Members, true, now);
            }
        }
    }
    assert!((50..110).contains(&calls), "{calls} calls in 60 s");
    assert!(matches!(confirmation.step(Part::Members, false, now + ms(1_200)), Step::Read));
}

/// Guards against a stalled observer that is believed: its answer counts from the time at
/// which the query was sent, less the age that it states.
#[test]
fn an_answer_of_a_stalled_observer_confirms_no_more_than_its_age_allows() {
    let mut confirmation = vouched();
    let asked = START + ms(1_000);
    // The observer's control thread has not run for 5 s.
    confirmation.vouched(address(2), asked, ms(5_000));
    assert_eq!(confirmation.confirmed_at(), Some(START));
    // The answer came 1.2 s after the query, so it says nothing about that time.
    confirmation.vouched(address(2), asked, ms(300));
    assert_eq!(confirmation.confirmed_at(), Some(START + ms(700)));
    assert!(!confirmation.is_current(asked + ms(1_300)));
}

fn reply(number: u32) -> Message {
    Message::VersionReply { number, age_ms: Some(20) }
}

/// Guards against confirmations by answers that were not asked for: copies, answers to an
/// earlier query or run, or of another process.
#[test]
fn an_answer_without_its_query_counts_for_nothing() {
    let mut queries = VersionQueries::open(None, PORT, 5, START);
    queries.update(&roster(60));
    let (view, known) = (View { fresh: true, ..View::default() }, KnownVersions::default());
    let now = START + ms(400);
    let asked = queries.ask(&view, None, now);
    assert_eq!(asked.len(), 2);
    let (link, number) = asked[0];
    let later = now + ms(30);
    let mut handle =
        |from, number, at| queries.handle_reply(from, known, known, &reply(number), at);
    assert_eq!(handle(asked[1].0, number, later), None);
    assert_eq!(handle(link, number.wrapping_sub(7), later), None);
    let Some(Action::Answered { peer, sent, age, .. }) = handle(link, number, later) else {
        panic!("the answer does not count")
    };
    assert_eq!((peer, sent, age), (link, now, Some(ms(20))));
    assert_eq!(handle(link, number, later), None);
    // The other one's answer comes too late.
    assert_eq!(handle(asked[1].0, asked[1].1, now + ms(2_500)), None);
}

/// Guards against queries that only reach observers which are dead or out of reach.
#[test]
fn all_observers_are_asked_in_turn_and_the_one_that_answers_is_kept() {
    let roster = roster(60);
    let observers = Observers::of(&roster, PORT);
    let mut queries = VersionQueries::open(Some(observers.links()[0]), PORT, 5, START);
    queries.update(&roster);
    let (view, known) = (View { fresh: true, ..View::default() }, KnownVersions::default());
    let first: Vec<_> = queries.ask(&view, None, START).into_iter().map(|(l, _)| l).collect();
    assert!(first.iter().all(|l| observers.links()[1..].contains(l)), "asks itself");
    for round in 0..5u64 {
        let now = START + ms(400) * round as u32;
        let asked = queries.ask(&view, None, now);
        let (link, number) = *asked.iter().find(|(l, _)| *l == observers.links()[2]).unwrap();
        queries.handle_reply(link, known, known, &reply(number), now + ms(1));
    }
    // A process that is not confirmed asks any agent too.
    let any = address(59);
    let asked = queries.ask(&View::default(), Some(any), START + ms(4_000));
    assert!(asked.iter().any(|(l, _)| *l == any), "{asked:?}");
}
