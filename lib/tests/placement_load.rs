//! Placement of flows under the loads of two customers, against known ways.

#[path = "packet_load/customers.rs"]
mod customers;
#[path = "packet_load/fleet.rs"]
mod fleet;
#[path = "packet_load/outcome.rs"]
mod outcome;
#[path = "packet_load/policies.rs"]
mod policies;

use outcome::Outcome;

/// Replays a load with two seeds; returns the outcomes per class.
fn replay(load: &customers::Load, policy: &impl fleet::Policy) -> [Outcome; 3] {
    let mut outcomes: [Outcome; 3] = Default::default();
    for seed in 0..2 {
        let run = fleet::Fleet::run(load, policy, seed);
        run.outcomes.into_iter().zip(&mut outcomes).for_each(|(o, sum)| sum.add(o));
    }
    outcomes
}

/// Prints the outcomes per class, and returns the share of all requests in time.
fn report(way: &str, load: &customers::Load, mut outcomes: [Outcome; 3]) -> f64 {
    print!("{} slots x {}, peak {}, {way}:", load.servers, load.slots, load.peak);
    for (class, outcome) in load.classes.iter().zip(&mut outcomes) {
        let p99 = outcome.percentile(0.99).as_millis();
        print!(" {} {:.3}, lost {}, p99 {p99} ms;", class.name, outcome.share(), outcome.lost);
    }
    println!();
    let total: usize = outcomes.iter().map(Outcome::total).sum();
    outcomes.iter().map(|o| o.in_time).sum::<usize>() as f64 / total as f64
}

/// Homes that choose by reports of up to 1 s all take the same backend server: at the peak,
/// 10 to 15% of the requests were late with slots to spare.
#[test]
fn many_homes_with_old_reports_make_fewer_requests_late_than_known_ways() {
    for peak in [0.6, 1.0, 1.1] {
        for load in [customers::counter(peak), customers::red_egresados(peak)] {
            let drawn = report("drawn", &load, replay(&load, &policies::Drawn));
            let least = report("minimum", &load, replay(&load, &policies::Minimum));
            let fewest = report("fewest", &load, replay(&load, &policies::Fewest));
            let two = report("two choices", &load, replay(&load, &policies::TwoChoices));
            assert!(drawn > least && drawn > fewest, "{} x {peak}", load.servers);
            // At 60% nothing waits for long, and both end at what the long tail allows.
            let noise = if peak < 0.9 { 0.001 } else { 0.0 };
            assert!(drawn > two - noise, "{} x {peak}", load.servers);
        }
    }
}

/// Failures of agents at the peak must not undo what placement gains.
#[test]
fn placement_serves_best_while_reports_are_cut_agents_are_stalled_or_servers_are_slow() {
    use customers::FaultKind;
    let faults = [
        customers::Fault { kind: FaultKind::Cut, hits: |i| i % 3 == 0, at: 8.0, until: 16.0 },
        customers::Fault { kind: FaultKind::Stalled, hits: |i| i % 5 == 0, at: 12.0, until: 14.0 },
        customers::Fault { kind: FaultKind::Slow(5.0), hits: |i| i == 7, at: 10.0, until: 17.0 },
    ];
    for fault in faults {
        for load in [customers::counter(0.9), customers::red_egresados(0.9)] {
            let load = customers::Load { faults: vec![fault.clone()], ..load };
            let drawn = report("drawn", &load, replay(&load, &policies::Drawn));
            let least = report("minimum", &load, replay(&load, &policies::Minimum));
            let two = report("two choices", &load, replay(&load, &policies::TwoChoices));
            assert!(drawn > least && drawn > two, "{:?} of {}", fault.kind, load.servers);
        }
    }
}

/// Replays a load with four seeds; returns the share in time, and the outcome at backend
/// servers that have just started.
fn replay_start(load: &customers::Load, start: fleet::Start) -> (f64, Outcome) {
    let (mut joined, mut outcomes) = (Outcome::default(), Outcome::default());
    let policy = policies::Starting(start);
    for seed in 0..4 {
        let run = fleet::Fleet::run(load, &policy, seed);
        joined.add(run.joined);
        run.outcomes.into_iter().for_each(|o| outcomes.add(o));
    }
    let (share, in_time) = (outcomes.share(), joined.in_time);
    println!("{} {start:?}: {share:.4}, started: {in_time}, late {}", load.servers, joined.late);
    (share, joined)
}

/// Homes that see an idle backend server at the peak flood it while it is cold.
#[test]
fn a_backend_server_that_joins_at_the_peak_is_neither_flooded_nor_idle() {
    use customers::FaultKind;
    let joins = |i: usize| i % 10 == 3;
    let absent = customers::Fault { kind: FaultKind::Absent, hits: joins, at: 0.0, until: 12.0 };
    let cold = customers::Fault { kind: FaultKind::Slow(1.6), hits: joins, at: 12.0, until: 14.0 };
    for load in [customers::counter(0.9), customers::red_egresados(0.9)] {
        let load = customers::Load { faults: vec![absent.clone(), cold.clone()], ..load };
        let (share, paced) = replay_start(&load, fleet::Start::Pace);
        let (unlimited, flooded) = replay_start(&load, fleet::Start::Unlimited);
        let (_, ramp) = replay_start(&load, fleet::Start::Ramp(2.0));
        assert!(share > unlimited - 0.002 && paced.late * 4 < flooded.late * 3);
        assert!(paced.in_time > ramp.in_time && paced.in_time * 20 > flooded.in_time * 17);
    }
}

/// Where all backend servers start at once, a bound must not make their callers late.
#[test]
fn the_start_of_all_backend_servers_costs_as_good_as_nothing() {
    use customers::FaultKind;
    let all = customers::Fault { kind: FaultKind::Restarts, hits: |_| true, at: 11.0, until: 11.0 };
    for load in [customers::counter(0.9), customers::red_egresados(0.9)] {
        let load = customers::Load { faults: vec![all.clone()], ..load };
        let (paced, _) = replay_start(&load, fleet::Start::Pace);
        let (unlimited, _) = replay_start(&load, fleet::Start::Unlimited);
        assert!(paced > unlimited - 0.002, "{paced} against {unlimited}");
    }
}
