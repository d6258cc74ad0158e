//! One run of the soak test: starts a fleet and callers, injects faults, and checks
//! that the fleet recovers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use lagoonhollow_testutils::packets::caller::End;
use lagoonhollow_testutils::packets::caller::Plan;
use lagoonhollow_testutils::packets::live::call;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fault::Node;
use crate::fault::draw;
use crate::fault::draw_evacuation;
use crate::fault::draw_reroutes;
use crate::fault::draw_restore;
use crate::fleet::Fleet;
use crate::fleet::Shared;
use crate::fleet::Size;
use crate::fleet::start_backend;
use crate::inject::inject;
use crate::prober::pick_entry;
use crate::prober::probe_process;
use crate::prober::probe_readiness;
use crate::prober::status;

/// Number of callers at once.
const CALLERS: u8 = 24;
/// Time after the last fault within which all calls succeed again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// The same limit if the machine may be overloaded, and the limit for the start.
const OVERLOAD_LIMIT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Calls after the last fault use caller ports above this one.
const FINAL_PORTS: u16 = 40_000;

/// First seed in whose run the store comes back from a copy as well.
const FIRST_RESTORE_SEED: u64 = 150;

/// First seed in whose run a failure domain is evacuated and its backend servers return cold.
pub const FIRST_EVACUATION_SEED: u64 = 400;

/// First seed in whose run routes change their services while callers keep flows open.
const FIRST_REROUTE_SEED: u64 = 500;

/// Time for which a caller that keeps flows open uses each, without the time of answers.
const LONG_CALL: Duration = Duration::from_secs(12);

/// Runs one seed, prints the findings and returns their number. With `timed`, time
/// limits are checked as well.
pub fn run(seed: u64, number: u8, size: Option<Size>, timed: bool) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let drawn = Size { entries: rng.random_range(2..=4), agents: rng.random_range(5..=8) };
    let size = size.unwrap_or(drawn);
    let mut faults = draw(size, &mut rng);
    if seed >= FIRST_RESTORE_SEED {
        faults.push(draw_restore(&mut rng));
    }
    if seed >= FIRST_EVACUATION_SEED {
        faults.push(draw_evacuation(&mut rng));
    }
    if seed >= FIRST_REROUTE_SEED {
        faults.extend(draw_reroutes(size, &mut rng));
    }
    faults.sort_by_key(|(at, _)| *at);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (findings, ends) = LocalSet::new().block_on(&runtime, async {
        let fleet = Rc::new(RefCell::new(Fleet::open(seed, number, size, timed).await));
        let monitor = fleet.borrow().monitor.clone();
        for i in 0..size.agents {
            start_backend(&fleet, i, None).await;
        }
        let nodes: Vec<Node> = fleet.borrow().vms.iter().map(|v| v.node).collect();
        wait_until_ready(&fleet, &nodes, OVERLOAD_LIMIT).await;
        monitor.record_fault();
        for node in &nodes {
            spawn_local(probe_process(fleet.clone(), *node));
            if node.entry {
                spawn_local(probe_readiness(fleet.clone(), *node));
            }
        }
        let stopped: [Rc<Cell<bool>>; 2] = Default::default();
        let mut callers = [Vec::new(), Vec::new()];
        for i in 0..CALLERS {
            let long = seed >= FIRST_REROUTE_SEED && i % 2 == 1;
            let stopped = stopped[usize::from(long)].clone();
            let caller = run_caller(fleet.clone(), i, rng.random(), long, stopped);
            callers[usize::from(long)].push(spawn_local(caller));
        }
        let start = Instant::now();
        let running: Vec<_> = faults
            .iter()
            .map(|(at, fault)| {
                let (fleet, fault, at) = (fleet.clone(), fault.clone(), *at);
                spawn_local(async move {
                    sleep(at).await;
                    inject(fault, fleet).await;
                })
            })
            .collect();
        for fault in running {
            fault.await.expect("the fault does not panic");
        }
        // Overlapping faults may have left a process paused or down.
        for node in &nodes {
            fleet.borrow_mut().signal(*node, nix::sys::signal::Signal::SIGCONT);
            fleet.borrow_mut().start(*node);
        }
        wait_until_recovered(&fleet, &nodes, timed).await;
        let mut ends = BTreeMap::new();
        // While flows that were kept open end, new ones are still opened.
        for (callers, stopped) in callers.into_iter().zip(&stopped).rev() {
            stopped.set(true);
            for caller in callers {
                for end in caller.await.expect("the caller does not panic") {
                    *ends.entry(format!("{end:?}")).or_insert(0u32) += 1;
                }
            }
        }
        println!("seed {seed}: {size:?}, {:.1?}, {ends:?}", start.elapsed());
        (monitor.finish(), ends)
    });
    if !findings.is_empty() {
        println!("seed {seed}: site {number}, {ends:?}, faults:");
        faults.iter().for_each(|(at, fault)| println!("  {at:?} {fault:?}"));
        findings.iter().for_each(|f| println!("  seed {seed}: finding: {f}"));
    }
    findings.len()
}

/// Waits until all processes are ready; returns whether that is within `limit`.
async fn wait_until_ready(fleet: &Shared, nodes: &[Node], limit: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        let mut ready = true;
        for node in nodes {
            ready &= status(fleet, *node).await.is_some_and(|s| s.ready);
        }
        if ready {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Waits until a call to each service succeeds; adds a finding if that takes too
/// long.
async fn wait_until_recovered(fleet: &Shared, nodes: &[Node], timed: bool) {
    let monitor = fleet.borrow().monitor.clone();
    let limit = if timed { RECOVERY_LIMIT } else { OVERLOAD_LIMIT };
    let start = Instant::now();
    if !wait_until_ready(fleet, nodes, limit).await {
        monitor.report(format!("not all processes are ready {limit:?} after the last fault"));
        return;
    }
    let mut port = FINAL_PORTS;
    loop {
        let mut failed = 0;
        for service in 0..2 {
            port += 1;
            // The addresses from 0 to CALLERS are in use by the callers.
            let plan = Plan { requests: 1, deadline: Duration::from_secs(5), ..call_plan(1) };
            let end = place_call(fleet, service, CALLERS + service as u8, port, plan).await;
            failed += u32::from(end != End::Done);
        }
        if failed == 0 {
            return;
        }
        if start.elapsed() > limit {
            monitor.report(format!("calls still fail {limit:?} after the last fault"));
            return;
        }
    }
}

/// Places calls until `stopped` is set, with `long` those that keep their flows open; returns
/// how they ended.
async fn run_caller(
    fleet: Shared,
    i: u8,
    seed: u64,
    long: bool,
    stopped: Rc<Cell<bool>>,
) -> Vec<End> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut ends = Vec::new();
    let mut port = 1_024;
    while !stopped.get() {
        port += 1;
        let plan = match long {
            true => long_plan(Duration::from_millis(rng.random_range(200..4_000))),
            false => call_plan(if rng.random_bool(0.6) { 1 } else { rng.random_range(3..=10) }),
        };
        let service = usize::from(rng.random_bool(0.3));
        ends.push(place_call(&fleet, service, i, port, plan).await);
        sleep(Duration::from_millis(rng.random_range(20..150))).await;
    }
    ends
}

fn call_plan(requests: u32) -> Plan {
    Plan {
        requests,
        pause: Duration::from_millis(150),
        work: Duration::from_millis(8),
        deadline: Duration::from_secs(3),
    }
}

/// Returns the plan of a call that outlives changes of its route.
fn long_plan(pause: Duration) -> Plan {
    let requests = 1 + LONG_CALL.div_duration_f32(pause) as u32;
    Plan { pause, deadline: Duration::from_secs(8), ..call_plan(requests) }
}

async fn place_call(fleet: &Shared, service: usize, i: u8, port: u16, plan: Plan) -> End {
    let (site, monitor) = (fleet.borrow().site, fleet.borrow().monitor.clone());
    let flow = site.flow_to(service, i, port);
    let fabric = || pick_entry(&fleet.borrow());
    match call(site.caller(i), fabric, flow, plan).await {
        Ok((end, _)) => {
            monitor.record_end(&flow, end);
            end
        }
        Err(error) => {
            monitor.report(format!("a call of {flow:?} failed: {error}"));
            End::Late
        }
    }
}
