//! Probes of the processes: the fabric's readiness checks of entries, and checks of
//! the status that processes report.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_daemon::process::status::Status;
use rand::seq::IndexedRandom;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fault::Node;
use crate::fleet::Fleet;
use crate::fleet::Shared;

/// Time between two status checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which a process has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two readiness checks of an entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Failed checks in a row after which the fabric takes an entry out of rotation.
const MAX_MISSES: u32 = 2;
/// Time within which a published version is in force, if time limits are checked.
const VERSION_LIMIT: Duration = Duration::from_secs(3);

/// Returns the body of an admin page; none if the status code is not 200 or there
/// is no answer in time.
async fn get(address: SocketAddr, path: &str) -> Option<String> {
    let read = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        head.starts_with("HTTP/1.1 200").then(|| body.to_owned())
    };
    timeout(ANSWER_TIMEOUT, read).await.ok()?
}

/// Reads the status of a process.
pub async fn status(fleet: &Shared, node: Node) -> Option<Status> {
    let site = fleet.borrow().site;
    let admin = if node.entry { site.entry_admin(node.i) } else { site.agent_admin(node.i) };
    serde_json::from_str(&get(admin, "/status").await?).ok()
}

/// Checks without end whether an entry is ready, and puts it into or out of
/// rotation as the fabric does.
pub async fn probe_readiness(fleet: Shared, node: Node) {
    let admin = fleet.borrow().site.entry_admin(node.i);
    let mut missed = 0;
    loop {
        missed = if get(admin, "/ready").await.is_some() { 0 } else { missed + 1 };
        fleet.borrow_mut().vm(node).in_rotation = missed < MAX_MISSES;
        sleep(PROBE_INTERVAL).await;
    }
}

/// Returns the entry to which the fabric sends a packet: one in rotation, or any if
/// fewer than half of the entries are.
pub fn pick_entry(fleet: &Fleet) -> Option<SocketAddr> {
    let entries = &fleet.vms[..usize::from(fleet.size.entries)];
    let active: Vec<_> = entries.iter().filter(|v| v.in_rotation).collect();
    let few = active.len() * 2 < entries.len();
    let vm = if few {
        entries.choose(&mut rand::rng())
    } else {
        active.choose(&mut rand::rng()).copied()
    };
    vm.map(|v| fleet.site.entry(v.node.i))
}

/// Checks a process without end: its version never goes back, it has each published
/// version in time, and it does not end unasked.
pub async fn probe_process(fleet: Shared, node: Node) {
    let monitor = fleet.borrow().monitor.clone();
    loop {
        sleep(POLL_INTERVAL).await;
        let run = {
            let mut fleet = fleet.borrow_mut();
            let vm = fleet.vm(node);
            let stopping = vm.stopping;
            if !stopping && let Some(code) = vm.daemon.as_mut().and_then(|d| d.exit_code()) {
                vm.daemon = None;
                monitor.report(format!("{node:?} ended unasked with exit code {code}"));
                fleet.start(node);
            }
            fleet.vm(node).run
        };
        let Some(status) = status(&fleet, node).await else { continue };
        let mut fleet = fleet.borrow_mut();
        let due = fleet.version_before(VERSION_LIMIT);
        let vm = fleet.vm(node);
        if vm.run != run || vm.stopping {
            continue;
        }
        if status.version < vm.version {
            monitor.report(format!(
                "{node:?} went back from version {} to {}",
                vm.version, status.version
            ));
        }
        let just_started = vm.started.elapsed() < VERSION_LIMIT;
        if monitor.is_timed() && monitor.is_stable() && !just_started && status.version < due {
            monitor
                .report(format!("{node:?} has version {} although {due} is due", status.version));
        }
        vm.version = vm.version.max(status.version);
    }
}
