//! The policy at peak load, against two baselines in the same run.
//!
//! Everything runs in virtual time from seeds, so the tables are the same on
//! every run. Exits with 1 if a bound is broken. `--json FILE` writes the
//! tables as JSON as well.

#[path = "policy/availability.rs"]
mod availability;
#[path = "policy/baseline.rs"]
mod baseline;
#[path = "policy/measures.rs"]
mod measures;
#[path = "policy/system.rs"]
mod system;
#[path = "policy/workload.rs"]
mod workload;

use std::process::ExitCode;

use availability::Fault;
use baseline::Placement;
use lagoonhollow_lib::process::safeguard::Safeguard;
use measures::Measures;
use workload::Deployment;
use workload::Workload;

/// Seeds over which measures are averaged.
const SEEDS: u64 = 3;
/// The 99th percentile of short work beside long work, divided by that without long
/// work, must stay below this.
const MAX_P99_RATIO: f64 = 2.0;
/// Largest difference between policies that counts as a tie.
const TIE: f64 = 0.005;

/// A way to serve a workload.
type Policy<'a> = &'a dyn Fn(&Workload) -> Measures;

fn main() -> ExitCode {
    let mut broken = Vec::new();
    let mut tables = Vec::new();
    for deployment in Deployment::all() {
        let table = measure(&deployment);
        print(&deployment, &table);
        broken.extend(check(&deployment, &table));
        let rows: Vec<_> = table.iter().map(|(name, m)| m.json(name)).collect();
        tables.push(serde_json::json!({ "deployment": deployment.name, "rows": rows }));
    }
    let (rows, missed) = measure_availability();
    tables.push(serde_json::json!({ "availability": rows }));
    broken.extend(missed);
    if let Some(path) = json_path() {
        let text = serde_json::to_string_pretty(&tables).unwrap_or_default();
        if let Err(error) = std::fs::write(&path, text) {
            eprintln!("policy: can't write {path}: {error}");
            return ExitCode::FAILURE;
        }
    }
    for bound in &broken {
        println!("BROKEN {bound}");
    }
    println!("policy: {} bounds broken", broken.len());
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn measure(deployment: &Deployment) -> Vec<(&'static str, Measures)> {
    let average = |run: Policy| {
        let all: Vec<_> = (0..SEEDS).map(|s| run(&Workload::peak(deployment, s))).collect();
        Measures::mean(&all)
    };
    let ratio = |run: Policy| {
        let one = |seed| {
            let with = run(&Workload::steady(deployment, seed, true)).p99;
            with / run(&Workload::steady(deployment, seed, false)).p99
        };
        (0..SEEDS).map(one).sum::<f64>() / SEEDS as f64
    };
    let policies: [(&str, Policy); 4] = [
        ("lagoonhollow", &|w| system::run(w, None)),
        ("home, first come", &|w| baseline::run(w, Placement::Home)),
        ("random, first come", &|w| baseline::run(w, Placement::Random)),
        // Shows what charging by expected cost brings, as the paper
        // "graphql-limit-count (Apache APISIX plugin)" does for queries.
        ("ours, by count", &|w| system::run(w, Some(Safeguard::ExpectedCost))),
    ];
    let row = |(name, run): (&'static str, Policy)| {
        (name, Measures { p99_ratio: ratio(run), ..average(run) })
    };
    policies.into_iter().map(row).collect()
}

/// Prints the outcomes of reports under each fault, and checks that the fault of
/// one witness of three or more costs no report once it is detected.
fn measure_availability() -> (Vec<serde_json::Value>, Vec<String>) {
    println!("reports during a fault, from 4 s after its start");
    println!(
        "  {:>7} {:<12} {:>8} {:>8} {:>8} {:>10}",
        "members", "trouble", "done", "not run", "unknown", "unanswered"
    );
    let (mut rows, mut missed) = (Vec::new(), Vec::new());
    for members in [2, 3, 4, 7] {
        for fault in Fault::ALL {
            let s = availability::measure(members, fault);
            println!(
                "  {members:>7} {:<12} {:>8.3} {:>8.3} {:>8.3} {:>10.3}",
                format!("{fault:?}"),
                s.done,
                s.not_run,
                s.unknown,
                s.unanswered
            );
            rows.push(serde_json::json!({
                "members": members,
                "trouble": format!("{fault:?}"),
                "done": s.done,
                "not_run": s.not_run,
                "unknown": s.unknown,
                "unanswered": s.unanswered,
            }));
            let one = matches!(fault, Fault::None | Fault::Down | Fault::Recovering);
            if one && members > 2 && s.done < 1.0 - TIE {
                missed.push(format!("{members} members, {fault:?}: reports done: 1.0"));
            }
        }
    }
    (rows, missed)
}

fn print(deployment: &Deployment, table: &[(&str, Measures)]) {
    let ceiling = Workload::peak(deployment, 0).ceiling();
    println!("{}: ceiling for short work at the peak {ceiling:.3}", deployment.name);
    println!(
        "  {:<20} {:>9} {:>10} {:>10} {:>10} {:>10} {:>10} {:>8}",
        "policy",
        "in time",
        "of ceiling",
        "imbalance",
        "p99 ms",
        "p99 ratio",
        "long done",
        "broken"
    );
    for (name, m) in table {
        println!(
            "  {name:<20} {:>9.3} {:>10.3} {:>10.3} {:>10.1} {:>10.2} {:>10.3} {:>8}",
            m.in_time,
            m.in_time / ceiling,
            m.imbalance,
            m.p99 * 1e3,
            m.p99_ratio,
            m.long_done,
            m.broken
        );
    }
}

fn check(deployment: &Deployment, table: &[(&str, Measures)]) -> Vec<String> {
    let system = &table[0].1;
    let baselines = || table[1..3].iter().map(|(_, m)| m);
    let best = |f: fn(&Measures) -> f64| baselines().map(f).fold(f64::NEG_INFINITY, f64::max);
    let least = |f: fn(&Measures) -> f64| baselines().map(f).fold(f64::INFINITY, f64::min);
    let bounds = [
        (system.broken == 0, "broken flows under planned changes: 0".to_owned()),
        (
            system.in_time >= best(|m| m.in_time) - TIE,
            format!("in time: at least {:.3}", best(|m| m.in_time)),
        ),
        (
            system.imbalance <= least(|m| m.imbalance) + TIE,
            format!("imbalance: at most {:.3}", least(|m| m.imbalance)),
        ),
        (system.p99_ratio < MAX_P99_RATIO, format!("p99 ratio: below {MAX_P99_RATIO}")),
    ];
    let broken = bounds.into_iter().filter(|(holds, _)| !holds);
    broken.map(|(_, bound)| format!("{}: {bound}", deployment.name)).collect()
}

fn json_path() -> Option<String> {
    let mut arguments = std::env::args().skip_while(|a| a != "--json");
    arguments.nth(1)
}
