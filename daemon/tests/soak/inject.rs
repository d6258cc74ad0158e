//! Injects faults into a fleet.

use std::time::Duration;

use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::member::MemberState;
use lagoonhollow_testutils::packets::store::StoreFault;
use lagoonhollow_testutils::packets::tcp_proxy::ProxyMode;
use nix::sys::signal::Signal;
use rand::Rng;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fault::Direction;
use crate::fault::Fault;
use crate::fault::Node;
use crate::fleet::Fleet;
use crate::fleet::Shared;
use crate::fleet::start_backend;

/// Time from a crash until the store has removed the backend server's entry.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_600);
/// Time after the store works again within which expired entries are rewritten.
const REREGISTER_WINDOW: Duration = Duration::from_millis(1_500);
/// Longest time from SIGTERM to the end of a process, if time limits are checked.
const STOP_LIMIT: Duration = Duration::from_secs(6);
/// The same limit if the machine may be overloaded.
const OVERLOAD_LIMIT: Duration = Duration::from_secs(60);
/// Time from the entries that state that backend servers are cold to the withdrawal of an
/// evacuation, in which they are read.
const COLD_LEAD: Duration = Duration::from_secs(3);
/// Time between two checks of a process that stops.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Injects one fault and returns when it is over.
pub async fn inject(fault: Fault, fleet: Shared) {
    let monitor = fleet.borrow().monitor.clone();
    let planned = matches!(
        fault,
        Fault::Publish
            | Fault::Reroute { .. }
            | Fault::Release { .. }
            | Fault::Stop { .. }
            | Fault::Evacuate { .. }
    );
    if !planned {
        monitor.record_fault();
    }
    match fault {
        Fault::Kill { nodes, down } => kill(&fleet, &nodes, down).await,
        Fault::Stop { node } => stop(&fleet, node).await,
        Fault::Pause { node, span } => {
            fleet.borrow_mut().signal(node, Signal::SIGSTOP);
            sleep(span).await;
            fleet.borrow_mut().signal(node, Signal::SIGCONT);
        }
        Fault::Crash { i, silent, down } => replace(&fleet, i, silent, down, false).await,
        Fault::Reuse { i, down } => replace(&fleet, i, false, down, true).await,
        Fault::Release { i, drain } => release(&fleet, i, drain).await,
        Fault::Slow { i, span } => {
            slow_down(&fleet, i, 5.0);
            sleep(span).await;
            slow_down(&fleet, i, 1.0);
        }
        Fault::Store { fault, expire, span } => disturb_store(&fleet, fault, expire, span).await,
        Fault::Restore { age, span } => restore_store(&fleet, age, span).await,
        Fault::Compact => fleet.borrow().store.compact(),
        Fault::StoreLink { nodes, mode, span } => {
            let set =
                |mode| nodes.iter().for_each(|n| fleet.borrow_mut().vm(*n).store.set_mode(mode));
            set(mode);
            sleep(span).await;
            set(ProxyMode::Open);
        }
        Fault::Isolate { node, direction, span } => {
            isolate(&fleet, node, direction, true);
            sleep(span).await;
            isolate(&fleet, node, direction, false);
        }
        Fault::Lossy { loss, delay, span } => {
            fleet.borrow().proxy.set_loss(loss);
            fleet.borrow().proxy.set_delay(delay);
            sleep(span).await;
            fleet.borrow().proxy.set_loss(0.0);
            fleet.borrow().proxy.set_delay(Duration::ZERO);
        }
        Fault::Evacuate { domain, span } => evacuate(&fleet, domain, span).await,
        Fault::Publish => fleet.borrow_mut().publish(),
        Fault::Reroute { route, weights } => {
            let mut fleet = fleet.borrow_mut();
            fleet.weights[route] = weights;
            fleet.publish();
        }
        Fault::Settings { node, signal } => {
            if let Some(daemon) = &fleet.borrow_mut().vm(node).daemon {
                daemon.edit_settings(|settings| settings.replace("level = debug", "level = info"));
            }
            if signal {
                fleet.borrow_mut().signal(node, Signal::SIGHUP);
            }
        }
    }
    if !planned {
        monitor.record_fault();
    }
}

async fn kill(fleet: &Shared, nodes: &[Node], down: Duration) {
    for node in nodes {
        fleet.borrow_mut().signal(*node, Signal::SIGKILL);
    }
    sleep(down).await;
    for node in nodes {
        fleet.borrow_mut().start(*node);
    }
}

/// Stops a process by SIGTERM, checks that it ends with exit code 0 in time, and
/// starts it again.
async fn stop(fleet: &Shared, node: Node) {
    if !fleet.borrow_mut().signal(node, Signal::SIGTERM) {
        return;
    }
    let age = fleet.borrow_mut().vm(node).daemon.as_ref().map(|d| d.age());
    let (run, signals, monitor) = {
        let mut fleet = fleet.borrow_mut();
        let monitor = fleet.monitor.clone();
        let vm = fleet.vm(node);
        vm.stopping = true;
        (vm.run, vm.signals, monitor)
    };
    let start = Instant::now();
    let limit = if monitor.is_timed() { STOP_LIMIT } else { OVERLOAD_LIMIT };
    loop {
        sleep(POLL_INTERVAL).await;
        let mut fleet = fleet.borrow_mut();
        let vm = fleet.vm(node);
        // Another fault has killed it meanwhile.
        if vm.run != run || vm.daemon.is_none() {
            return;
        }
        let undisturbed = vm.signals == signals;
        // In its first milliseconds a process has no signal handlers yet.
        let silent = vm.daemon.as_ref().is_some_and(|d| !d.has_logged());
        match vm.daemon.as_mut().and_then(|d| d.exit_code()) {
            Some(0) => break,
            Some(code) if silent && code == -(Signal::SIGTERM as i32) => break,
            Some(code) => {
                let after = format!("after SIGTERM at the age of {age:?}");
                monitor.report(format!("{node:?} ended with exit code {code} {after}"));
                break;
            }
            None if undisturbed && start.elapsed() > limit => {
                monitor.report(format!("{node:?} still runs {limit:?} after SIGTERM"));
                break;
            }
            None => {}
        }
    }
    let mut fleet = fleet.borrow_mut();
    fleet.vm(node).daemon = None;
    fleet.start(node);
}

/// Crashes a backend server and starts a new run of it after `down`, of the other
/// service with `other_service`.
async fn replace(fleet: &Shared, i: u8, silent: bool, down: Duration, other_service: bool) {
    let Some((member, backend)) = fleet.borrow_mut().end_backend(i) else { return };
    let store = fleet.borrow().store.clone();
    let held = backend.crash(silent);
    let expiry = async {
        sleep(ENTRY_EXPIRY).await;
        store.remove(&format!("servers/{}", member.name));
    };
    let restart = async {
        sleep(down).await;
        drop(held);
        let service = other_service.then(|| {
            let services = fleet.borrow().site.services();
            services.into_values().find(|s| *s != member.service).expect("there are two")
        });
        start_backend(fleet, i, service).await;
    };
    tokio::join!(expiry, restart);
}

/// Marks a backend server as leaving, ends it after `drain` and starts a new run.
async fn release(fleet: &Shared, i: u8, drain: Duration) {
    {
        let mut fleet = fleet.borrow_mut();
        let host = &mut fleet.hosts[usize::from(i)];
        if host.backend.is_none() || host.member.standing != MemberState::Ready {
            return;
        }
        host.member.standing = MemberState::Leaving;
        let member = host.member.clone();
        fleet.register(i);
        fleet.monitor.record_leaving(&member);
    }
    sleep(drain).await;
    let ended = fleet.borrow_mut().end_backend(i);
    if let Some((member, backend)) = ended {
        drop(backend.crash(false));
        fleet.borrow().store.remove(&format!("servers/{}", member.name));
        sleep(POLL_INTERVAL).await;
        start_backend(fleet, i, None).await;
    }
}

/// Evacuates a failure domain for `span`, after which its backend servers are cold.
async fn evacuate(fleet: &Shared, domain: u8, span: Duration) {
    let name: Name = format!("d-{domain}").into();
    fleet.borrow_mut().orders.insert(name.clone());
    fleet.borrow().write_orders();
    sleep(span).await;
    fleet.borrow_mut().cool(&name);
    sleep(COLD_LEAD).await;
    fleet.borrow_mut().orders.remove(&name);
    fleet.borrow().write_orders();
}

fn slow_down(fleet: &Shared, i: u8, by: f64) {
    if let Some(backend) = &fleet.borrow().hosts[usize::from(i)].backend {
        backend.set_slowdown(by);
    }
}

/// Makes the store fail for `span`; with `expire`, the entries of running backend
/// servers are removed meanwhile and written again afterwards.
async fn disturb_store(fleet: &Shared, fault: StoreFault, expire: bool, span: Duration) {
    let store = fleet.borrow().store.clone();
    store.set_fault(fault);
    let running = |fleet: &Fleet| {
        let up = |i: &u8| fleet.hosts[usize::from(*i)].backend.is_some();
        (0..fleet.size.agents).filter(up).collect::<Vec<_>>()
    };
    if expire {
        let fleet = fleet.borrow();
        for i in running(&fleet) {
            store.remove(&format!("servers/{}", fleet.hosts[usize::from(i)].member.name));
        }
    }
    sleep(span).await;
    store.set_fault(StoreFault::None);
    if expire {
        let wait = rand::rng().random_range(Duration::ZERO..REREGISTER_WINDOW);
        sleep(wait).await;
        let fleet = fleet.borrow();
        running(&fleet).into_iter().for_each(|i| fleet.register(i));
    }
}

/// Makes the store fail for `span` and come back from a copy made `age` before.
/// Afterwards the operator and the backend servers write again what they wrote since, and
/// entries of backend servers that are gone expire.
async fn restore_store(fleet: &Shared, age: Duration, span: Duration) {
    let store = fleet.borrow().store.clone();
    let copy = store.copy();
    sleep(age).await;
    store.set_fault(StoreFault::Status(503));
    sleep(span).await;
    store.restore(copy);
    // The routes and orders of the copy hold until the operator has written the present ones
    // again.
    fleet.borrow().monitor.record_copy();
    fleet.borrow().monitor.record_orders(&[]);
    store.set_fault(StoreFault::None);
    sleep(rand::rng().random_range(Duration::ZERO..REREGISTER_WINDOW)).await;
    {
        let fleet = fleet.borrow();
        fleet.republish();
        fleet.write_orders();
        let up = |i: &u8| fleet.hosts[usize::from(*i)].backend.is_some();
        (0..fleet.size.agents).filter(up).for_each(|i| fleet.register(i));
    }
    sleep(ENTRY_EXPIRY).await;
    let fleet = fleet.borrow();
    let running = fleet.hosts.iter().filter(|h| h.backend.is_some());
    let running: Vec<_> = running.map(|h| format!("servers/{}", h.member.name)).collect();
    let expired = store.keys("servers/").into_iter().filter(|k| !running.contains(k));
    expired.for_each(|key| store.remove(&key));
}

/// Drops the traffic of a process in `direction`, or restores it.
fn isolate(fleet: &Shared, node: Node, direction: Direction, isolated: bool) {
    let mut fleet = fleet.borrow_mut();
    let site = fleet.site;
    let own = site.endpoints(node.entry, node.i).private;
    let (out, into) = match direction {
        Direction::Outbound => (true, false),
        Direction::Inbound => (false, true),
        Direction::Both => (true, true),
    };
    let others: Vec<_> = fleet.vms.iter().map(|v| v.node).filter(|n| *n != node).collect();
    for other in others {
        let other = site.endpoints(other.entry, other.i).private;
        let set = |from, to| {
            if isolated { fleet.proxy.cut(from, to) } else { fleet.proxy.heal(from, to) }
        };
        if out {
            set(own, other);
        }
        if into {
            set(other, own);
        }
    }
    let mode = if isolated { ProxyMode::Silent } else { ProxyMode::Open };
    let vm = fleet.vm(node);
    if into {
        vm.link.set_mode(mode);
    }
    if out {
        vm.store.set_mode(mode);
    }
}
