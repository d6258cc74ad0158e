//! Routes whose new flows are split among services by weight.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::front::packet::event::Decision;
use lagoonhollow_lib::version::ranking::Ranking;
use lagoonhollow_lib::version::route::Route;
use lagoonhollow_lib::version::route::Share;
use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::world::World;

const SECOND: Duration = Duration::from_secs(1);
const FLOWS: usize = 10_000;

const LONG_FLOW: Plan = Plan {
    requests: 20,
    pause: Duration::from_millis(300),
    work: Duration::from_millis(20),
    deadline: Duration::from_secs(4),
};

fn share(service: &str, weight: u32) -> Share {
    Share { service: service.into(), weight }
}

fn route(shares: Vec<Share>) -> Route {
    Route {
        name: "r".into(),
        address: "198.18.0.1:443".parse().unwrap(),
        shares,
        timeout: SECOND,
        target_latency: SECOND,
        priority: 1,
        former: Vec::new(),
    }
}

/// Flows from consecutive ports and addresses, as callers use them.
fn keys() -> Vec<u64> {
    let key = |n: usize| {
        let caller =
            SocketAddr::from(([100, 64, (n / 1_000) as u8, 1], 1_024 + (n % 1_000) as u16));
        let service = "198.18.0.1:443".parse().unwrap();
        FlowKey { protocol: Protocol::Tcp, caller, service }.hash()
    };
    (0..FLOWS).map(key).collect()
}

/// Returns the share of the flows for which `hit` holds.
fn rate(keys: &[u64], hit: impl Fn(u64) -> bool) -> f64 {
    keys.iter().filter(|k| hit(**k)).count() as f64 / keys.len() as f64
}

/// A draw that favours a service for consecutive callers.
#[test]
fn shares_hold_within_a_hundredth_over_ten_thousand_flows() {
    for weights in [[90, 10], [50, 50], [99, 1], [1, 2]] {
        let [a, b] = weights;
        let route = route(vec![share("old", a), share("new", b)]);
        let expected = f64::from(b) / f64::from(a + b);
        let new = rate(&keys(), |k| route.service(k) == Some(&"new".into()));
        assert!((new - expected).abs() < 0.01, "{weights:?}: {new}");
    }
}

/// A draw that follows from the flow before, or from the flow's ranks.
#[test]
fn flows_are_drawn_independently_of_each_other_and_of_their_ranks() {
    let route = route(vec![share("old", 70), share("new", 30)]);
    let is_new = |k: u64| route.service(k) == Some(&"new".into());
    let keys = keys();
    let both = keys.windows(2).filter(|w| is_new(w[0]) && is_new(w[1])).count();
    let both = both as f64 / (keys.len() - 1) as f64;
    assert!((both - 0.09).abs() < 0.01, "after each other: {both}");
    let names = ["b-0", "b-1", "b-2", "b-3"].map(Into::into);
    let ranking = Ranking::weighted(names.iter().map(|n| (n, 1)));
    for first in 0..names.len() {
        let part: Vec<_> = keys.iter().copied().filter(|k| ranking.top(*k, 1) == [first]).collect();
        let new = rate(&part, is_new);
        // About 2,500 flows, whose standard deviation is 0.009.
        assert!((new - 0.3).abs() < 0.03, "with home {first}: {new}");
    }
}

/// Open flows that went to the service that their hash draws under the new weights.
#[test]
fn a_change_of_weights_moves_no_open_flow() {
    for seed in 0..5 {
        let mut world = World::open(seed, 3, &[("old", 3), ("new", 3)]);
        world.reroute(vec![share("old", 80), share("new", 20)]);
        world.run(SECOND * 2);
        let flows: BTreeSet<_> =
            (0..60).map(|i| world.call(0, LONG_FLOW, Duration::from_millis(10 * i))).collect();
        world.run(SECOND * 2);
        let holders = |w: &World| flows.iter().map(|f| w.holder(f)).collect::<Vec<_>>();
        let before = holders(&world);
        for old in [20, 0, 50] {
            world.reroute(vec![share("old", old), share("new", 100 - old)]);
            world.run(SECOND);
            assert_eq!(holders(&world), before, "seed {seed}");
        }
        world.run(SECOND * 20);
        assert_eq!(world.ended(End::Done), 60, "seed {seed}");
        assert_eq!(world.checks.violations, Vec::<String>::new(), "seed {seed}");
        // The log line of a placement names the service that was drawn.
        let placed = world.events.iter().filter(|(_, _, e)| e.decision == Decision::Placed);
        for (_, _, event) in placed {
            let (flow, drawn) = (event.flow.unwrap(), event.service.clone().unwrap());
            let first = route(vec![share("old", 80), share("new", 20)]);
            assert_eq!(first.service(flow.hash()), Some(&drawn), "seed {seed}");
        }
    }
}
