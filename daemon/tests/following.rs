//! Following the store: separate processes against a stand-in for the store, of which only
//! some processes observe it.

#[allow(dead_code, reason = "other tests use the rest")]
#[path = "common/daemon.rs"]
mod daemon;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use daemon::Daemon;
use lagoonhollow_daemon::process::status::Status;
use lagoonhollow_lib::process::observers::Observers;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::revision::Revision;
use lagoonhollow_lib::version::roster::Roster;
use lagoonhollow_testutils::packets::site::Site;
use lagoonhollow_testutils::packets::store::Store;
use lagoonhollow_testutils::packets::tcp_proxy::ProxyMode;
use lagoonhollow_testutils::packets::tcp_proxy::TcpProxy;
use nix::sys::signal::Signal;
use serde_json::Value;

/// Longest wait for a condition that has no bound of its own.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for a change to be in force, from its acknowledgement.
const BOUND: Duration = Duration::from_secs(3);
/// Time after a disruption from which the limit holds.
const STABLE_WINDOW: Duration = Duration::from_millis(4_050);
const ENTRIES: u8 = 2;
const AGENTS: u8 = 7;
/// Registered backend servers without a process, which make the fleet look larger.
const FURTHER: u8 = 24;

/// A store with processes that reach it through a proxy each.
struct Fleet {
    site: Site,
    store: Store,
    daemons: Vec<Daemon>,
    proxies: Vec<TcpProxy>,
    version: u64,
}

impl Fleet {
    async fn open(number: u8) -> Self {
        let site = Site::open(number);
        let store = Store::bind(site.store());
        store.set_page_size(50);
        store.publish(&site.routes(1));
        for member in members(site) {
            store.register(member.name.as_str(), &site.registry_entry(&member));
        }
        let (mut daemons, mut bound) = (Vec::new(), Vec::new());
        for i in 0..AGENTS + ENTRIES {
            let proxy = SocketAddr::from(([127, number, 30, i + 1], 8_169));
            bound.push(proxy);
            let through =
                |text: String| text.replace(&site.store().to_string(), &proxy.to_string());
            daemons.push(match i.checked_sub(AGENTS) {
                None => {
                    let settings = through(site.agent_settings(i));
                    Daemon::spawn(&format!("agent-{i}"), site.agent_admin(i), &settings)
                }
                Some(i) => {
                    let settings = through(site.entry_settings(i));
                    Daemon::spawn(&format!("entry-{i}"), site.entry_admin(i), &settings)
                }
            });
        }
        let proxies = bind_proxies(bound, site.store());
        let fleet = Self { site, store, daemons, proxies, version: 1 };
        let start = Instant::now();
        while !fleet.all(|_, s| s.ready) {
            assert!(start.elapsed() < CONDITION_TIMEOUT, "the fleet is not ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        // The processes that are no observers are confirmed by these.
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet
    }

    /// Returns the indices of the processes that observe the store.
    fn observers(&self) -> Vec<usize> {
        let observes = |i: &usize| status(&self.daemons[*i]).is_some_and(|s| s.observer);
        let observers: Vec<_> = (0..self.daemons.len()).filter(observes).collect();
        assert_eq!(observers.len(), 3);
        observers
    }

    /// Returns whether `holds` of all processes that answer.
    fn all(&self, holds: impl Fn(&Daemon, &Status) -> bool) -> bool {
        self.daemons.iter().all(|d| status(d).is_some_and(|s| holds(d, &s)))
    }

    /// Publishes a version of the routes and the order to evacuate a failure domain; returns
    /// the time until both are in force in all processes.
    async fn change(&mut self, domain: &str) -> Duration {
        self.version += 1;
        let version = self.version;
        self.store.publish(&self.site.routes(version));
        self.store.evacuate(domain);
        let start = Instant::now();
        let evacuated = |d: &Daemon| {
            let known = d.get_json::<Value>("/knowledge?routes=0&roster=0&evacuations=0");
            known.is_some_and(|k| k["evacuations"]["domains"].get(domain).is_some())
        };
        while !self.all(|d, s| s.version == version && evacuated(d)) {
            assert!(start.elapsed() < CONDITION_TIMEOUT, "the change is not in force");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        println!("in force after {:?}", start.elapsed());
        start.elapsed()
    }
}

/// Runs proxies of the store in a thread of their own, since the tests block theirs.
fn bind_proxies(addresses: Vec<SocketAddr>, store: SocketAddr) -> Vec<TcpProxy> {
    let (sender, proxies) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            for address in addresses {
                sender.send(TcpProxy::bind(address, store).await.unwrap()).unwrap();
            }
            drop(sender);
            std::future::pending::<()>().await;
        });
    });
    proxies.iter().collect()
}

/// Returns all registered backend servers; the observers are among those with a process.
fn members(site: Site) -> Vec<Member> {
    let real: Vec<_> = (0..AGENTS).map(|i| site.member(i, 1)).collect();
    let mut all = real.clone();
    for i in 100..u8::MAX {
        let more: Vec<_> = all.iter().cloned().chain([site.member(i, 1)]).collect();
        let roster = Roster::open(Revision { epoch: 1, number: 2 }, more.clone());
        let chosen = Observers::of(&roster, 1);
        let has_process = |m: &Member| chosen.include(SocketAddr::new(m.address.ip(), 1));
        if all.len() < usize::from(AGENTS + FURTHER)
            && real.iter().filter(|m| has_process(m)).count() == chosen.links().len()
        {
            all = more;
        }
    }
    all
}

/// Returns the number of calls to the store that a process made.
fn store_calls(daemon: &Daemon) -> u64 {
    let metrics = daemon.get("/metrics").expect("the process answers");
    let line = metrics.lines().find(|l| l.starts_with("lagoonhollow_store_calls_total"));
    line.and_then(|l| l.rsplit(' ').next()).expect("the metric is there").parse().unwrap()
}

fn status(daemon: &Daemon) -> Option<Status> {
    daemon.get_json("/status")
}

/// Guards against a change that is late because all watches of the store were in phase when
/// their connections went silent.
#[tokio::test]
async fn a_change_is_in_time_after_all_connections_went_silent_behind_another_one() {
    let mut fleet = Fleet::open(81).await;
    fleet.change("first").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.store.silence();
    tokio::time::sleep(STABLE_WINDOW).await;
    let took = fleet.change("second").await;
    assert!(took < BOUND, "{took:?}");
    // The connections that were opened since go silent right after a change, too.
    fleet.store.silence();
    let took = fleet.change("third").await;
    assert!(took < BOUND, "{took:?}");
}

/// Guards against a fleet of which every process calls the store, at rest or while changes go
/// on faster than processes ask each other.
#[tokio::test]
async fn only_observers_call_the_store() {
    let fleet = Fleet::open(87).await;
    let calls = || -> Vec<u64> { fleet.daemons.iter().map(store_calls).collect() };
    let mut member = members(fleet.site).pop().expect("there are members");
    let before = calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let at_rest = calls();
    for version in 2..30 {
        fleet.store.publish(&fleet.site.routes(version));
        // A backend server without a process, so that the observers stay the same.
        member.slots = version as u32;
        fleet.store.register(member.name.as_str(), &fleet.site.registry_entry(&member));
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let changing = calls();
    let observers = fleet.observers();
    println!("calls {before:?} {at_rest:?} {changing:?}, observers {observers:?}");
    for i in 0..before.len() {
        if observers.contains(&i) {
            // Two watches of 0.75 s.
            assert!((5..=10).contains(&(at_rest[i] - before[i])));
        } else {
            assert_eq!((at_rest[i], changing[i]), (before[i], before[i]));
        }
    }
}

/// Guards against processes that wait for observers which are gone.
#[tokio::test]
async fn a_change_is_in_time_after_all_observers_died_at_once() {
    let mut fleet = Fleet::open(82).await;
    for i in fleet.observers().into_iter().rev() {
        fleet.daemons[i].signal(Signal::SIGKILL);
        fleet.daemons.remove(i).wait();
    }
    let took = fleet.change("a").await;
    assert!(took < BOUND, "{took:?}");
}

/// Guards against processes that believe observers which know nothing new because they are
/// frozen.
#[tokio::test]
async fn a_change_is_in_time_while_all_observers_are_frozen() {
    let mut fleet = Fleet::open(83).await;
    let observers = fleet.observers();
    let mut frozen = Vec::new();
    for i in observers.into_iter().rev() {
        fleet.daemons[i].signal(Signal::SIGSTOP);
        frozen.push(fleet.daemons.remove(i));
    }
    let took = fleet.change("a").await;
    assert!(took < BOUND, "{took:?}");
    for daemon in &frozen {
        daemon.signal(Signal::SIGCONT);
    }
    fleet.daemons.extend(frozen);
    let took = fleet.change("b").await;
    assert!(took < BOUND, "{took:?}");
}

/// Guards against a fleet that is as blind as its observers.
#[tokio::test]
async fn a_change_is_in_time_while_the_observers_are_cut_off_from_the_store() {
    let mut fleet = Fleet::open(84).await;
    for i in fleet.observers() {
        fleet.proxies[i].set_mode(ProxyMode::Silent);
    }
    tokio::time::sleep(STABLE_WINDOW).await;
    let took = fleet.change("a").await;
    assert!(took < BOUND, "{took:?}");
}

/// Guards against processes that depend on their own reads of the store.
#[tokio::test]
async fn a_change_is_in_time_while_a_third_of_the_processes_cannot_read_the_store() {
    let mut fleet = Fleet::open(85).await;
    let observer = fleet.observers()[0];
    let others = (0..fleet.daemons.len()).filter(|i| *i != observer).take(2);
    for i in others.chain([observer]) {
        fleet.proxies[i].set_mode(ProxyMode::Reset);
    }
    tokio::time::sleep(STABLE_WINDOW).await;
    let took = fleet.change("a").await;
    assert!(took < BOUND, "{took:?}");
}

/// Guards against watches that ask for a history that the store no longer has, and against an
/// evacuation that outlives the copy which the store came back from.
#[tokio::test]
async fn changes_are_read_after_the_store_lost_its_history_and_came_back_from_a_copy() {
    let mut fleet = Fleet::open(86).await;
    fleet.store.compact();
    let took = fleet.change("a").await;
    assert!(took < BOUND, "{took:?}");
    let copy = fleet.store.copy();
    fleet.change("b").await;
    fleet.store.restore(copy);
    let took = fleet.change("c").await;
    assert!(took < BOUND, "{took:?}");
    let domains = |d: &Daemon| {
        let known = d.get_json::<Value>("/knowledge?routes=0&roster=0&evacuations=0");
        known.map(|k| k["evacuations"]["domains"].as_object().map(|d| d.keys().cloned().collect()))
    };
    let expected = vec!["a".to_owned(), "c".to_owned()];
    assert!(fleet.all(|d, _| domains(d) == Some(Some(expected.clone()))));
}
