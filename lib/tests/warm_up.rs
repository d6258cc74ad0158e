//! The limit on the opening packets that cold backend servers get.

use std::time::Duration;

use lagoonhollow_lib::front::packet::event::Decision;
use lagoonhollow_lib::request::warm_up::Allowance;
use lagoonhollow_lib::request::warm_up::WarmUpLimit;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;
use lagoonhollow_lib::version::service::WarmUp;
use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 6;
/// A limit of 17 opening packets a second for 5 s.
const WARM_UP: WarmUp = WarmUp { period: Duration::from_secs(5), rate: 8.0 };
const ALLOWANCE: Allowance = Allowance { overage: 1.5, slack: 5.0 };

const SINGLE_REQUEST: Plan =
    Plan { requests: 1, pause: Duration::ZERO, work: Duration::from_millis(30), deadline: SECOND };

/// Starts a fleet with a limit, whose backend servers are all cold for 5 s.
fn fleet(seed: u64, agents: usize) -> World {
    let mut world = World::open(seed, 3, &[("alarm", agents)]);
    world.limit_warm_up(WARM_UP, ALLOWANCE);
    world
}

/// Starts `count` calls, spread evenly over `time`.
fn burst(world: &mut World, count: u32, time: Duration) {
    (0..count).for_each(|i| _ = world.call(0, SINGLE_REQUEST, time * i / count));
}

fn assert_served(world: &World, count: usize, seed: u64) {
    assert_eq!(world.checks.violations.first(), None, "seed {seed}");
    assert_eq!(world.ended(End::Done), count, "seed {seed}");
}

/// Spans between counted windows, and a stall that let the window expire.
#[test]
fn no_span_of_a_second_exceeds_the_limit_across_stalls() {
    for seed in 0..50 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut now = Moment::from_millis(1_000);
        let mut limit = WarmUpLimit::open(Some(ALLOWANCE), true, now);
        let warm_up = WarmUp { period: Duration::from_secs(3_600), ..WARM_UP };
        limit.update(Some(warm_up), None, now);
        // Times by a clock that stands still during stalls.
        let (mut passed, mut stalled) = (Vec::new(), Duration::ZERO);
        for _ in 0..2_000 {
            now = now + Duration::from_micros(rng.random_range(0..40_000));
            if rng.random_bool(0.01) {
                let time = Duration::from_millis(rng.random_range(0..3_000));
                (now, stalled) = (now + time, stalled + time);
                limit.stalled(time, now);
            }
            let wait = limit.wait(now);
            assert_eq!(wait.is_zero(), limit.openings(now) > 0);
            if wait.is_zero() {
                limit.record_opening(now);
                passed.push(now - stalled);
            }
        }
        assert!(passed.windows(18).all(|w| w[17].since(w[0]) >= SECOND), "seed {seed}");
        let busy = passed.windows(17).filter(|w| w[16].since(w[0]) <= SECOND * 11 / 10).count();
        assert!(busy * 2 > passed.len(), "seed {seed}: the limit is hardly used");
    }
}

/// A run that began unseen, and a warm backend server that was limited for ever.
#[test]
fn a_backend_server_is_cold_from_each_sign_that_a_run_began() {
    let at = Moment::from_millis;
    let entry = |born, warming| Member {
        name: "b".into(),
        service: "alarm".into(),
        address: "10.0.0.1:8000".parse().unwrap(),
        domain: "d".into(),
        slots: 4,
        standing: MemberState::Ready,
        warming: Duration::from_millis(warming),
        born,
    };
    let mut limit = WarmUpLimit::open(Some(ALLOWANCE), false, at(1_000));
    let until = |limit: &WarmUpLimit, now| limit.cold(at(now)).map(|(_, until)| until);
    assert_eq!(until(&limit, 1_000), None, "no service states a limit yet");
    limit.update(Some(WARM_UP), None, at(1_000));
    limit.record_start(at(1_100));
    assert_eq!(until(&limit, 1_100), Some(at(6_000)), "it may have run before the agent");
    assert_eq!(limit.openings(at(1_200)), 0, "an earlier agent may have used the window up");
    limit.update(Some(WARM_UP), Some(&entry(1, 0)), at(1_300));
    assert_eq!(until(&limit, 1_300), None, "its entry says that nothing is left");
    limit.record_end();
    limit.record_start(at(2_000));
    assert_eq!(until(&limit, 2_000), Some(at(7_000)), "the connection ended and opened anew");
    limit.update(Some(WARM_UP), Some(&entry(1, 0)), at(2_100));
    assert_eq!(until(&limit, 2_100), Some(at(7_000)), "the entry may be that of the run before");
    limit.record_absence(at(7_500));
    limit.record_packet(at(8_000));
    assert_eq!(until(&limit, 8_000), Some(at(13_000)), "a packet after a refusal");
    limit.update(Some(WARM_UP), Some(&entry(2, 0)), at(20_000));
    assert_eq!(until(&limit, 20_000), Some(at(25_000)), "an entry of a new run");
    limit.update(Some(WARM_UP), Some(&entry(2, 9_000)), at(21_000));
    limit.update(Some(WARM_UP), Some(&entry(2, 9_000)), at(22_000));
    assert_eq!(until(&limit, 22_000), Some(at(30_000)), "as long as its entry states");
    limit.update(Some(WarmUp { rate: 0.0, ..WARM_UP }), None, at(22_000));
    assert_eq!((until(&limit, 22_000), limit.openings(at(22_000))), (None, u16::MAX));
}

/// Homes that have no report of a new backend server take it for idle, all at once.
#[test]
fn a_burst_of_twenty_homes_at_a_joining_backend_server_stays_within_the_limit() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed, 20);
        world.run(SECOND * 7);
        burst(&mut world, 400, SECOND * 2);
        let i = world.add_backend("alarm");
        world.start_agent(i, false);
        world.run(SECOND * 2);
        burst(&mut world, 800, SECOND * 4);
        world.run(SECOND * 10);
        assert_served(&world, 1_200, seed);
        assert!(world.backends[i].begun >= 30, "seed {seed}: {}", world.backends[i].begun);
    }
}

/// A restarted agent that forgot what its earlier run had passed on in the same second.
#[test]
fn restarts_of_the_agent_open_no_second_window() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed, 6);
        world.run(SECOND * 7);
        let i = world.add_backend("alarm");
        world.start_agent(i, false);
        for _ in 0..4 {
            burst(&mut world, 200, SECOND);
            world.run(Duration::from_millis(800));
            world.kill_agent(i);
            world.run(Duration::from_millis(20));
            world.start_agent(i, false);
            world.run(Duration::from_millis(180));
        }
        world.run(SECOND * 10);
        assert_eq!(world.checks.violations.first(), None, "seed {seed}");
    }
}

/// Backend servers that are cold when their domain is opened again, though no run began.
#[test]
fn the_limit_applies_to_backend_servers_that_return_cold_from_an_evacuation() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed, 6);
        world.run(SECOND * 7);
        world.evacuate(&["d-0"]);
        world.run(SECOND);
        world.cool(0, SECOND * 6);
        world.cool(3, SECOND * 6);
        world.run(SECOND);
        world.evacuate(&[]);
        let before = world.backends[0].begun;
        burst(&mut world, 1_000, SECOND * 5);
        world.run(SECOND * 10);
        assert_served(&world, 1_000, seed);
        assert!(world.backends[0].begun > before, "seed {seed}: it got nothing");
    }
}

/// Callers that are refused although the window opens while they wait.
#[test]
fn callers_of_a_cold_service_wait_for_its_window() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed, 3);
        world.run(SECOND);
        // 51 fit into the first second.
        burst(&mut world, 80, Duration::from_millis(200));
        world.run(SECOND * 10);
        assert_served(&world, 80, seed);
    }
}

/// Callers that are held until they give up, instead of being refused.
#[test]
fn callers_that_a_cold_service_cannot_serve_are_refused() {
    for seed in 0..SEEDS {
        let mut world = fleet(seed, 3);
        world.run(SECOND);
        burst(&mut world, 300, Duration::from_millis(200));
        world.run(SECOND * 10);
        let (done, refused) = (world.ended(End::Done), world.ended(End::Refused));
        assert_eq!(world.checks.violations.first(), None, "seed {seed}");
        assert_eq!(done + refused, 300, "seed {seed}: {done} served, {refused} refused");
        assert!(done >= 90, "seed {seed}: {done} served");
        let told = world
            .events
            .iter()
            .filter(|(_, _, e)| e.decision == Decision::Refused && e.reason == Some(Reason::Cold));
        assert_eq!(told.count(), refused, "seed {seed}");
    }
}
