//! How processes come to know the configuration: separate processes against test
//! doubles of its sources.

#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "common/daemon.rs"]
mod daemon;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use daemon::Daemon;
use lagoonhollow_daemon::process::status::Explanation;
use lagoonhollow_daemon::process::status::Status;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::fleet::Host;
use lagoonhollow_testutils::loopback;
use lagoonhollow_testutils::packets::narrow_link::NarrowLink;
use lagoonhollow_testutils::packets::odd_entries::long_entry;
use lagoonhollow_testutils::packets::odd_entries::odd_entries;
use lagoonhollow_testutils::packets::site::Site;
use lagoonhollow_testutils::packets::store::Store;
use lagoonhollow_testutils::packets::store::StoreFault;
use lagoonhollow_testutils::packets::tcp_proxy::TcpProxy;
use lagoonhollow_testutils::packets::udp_proxy::UdpProxy;
use lagoonhollow_testutils::platform::Platform;

/// Time within which a published version has to be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);
/// Longest wait for the first version, on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for processes to read what was written.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Longest line that a log may have, in bytes.
const LONGEST_LINE: usize = 2_000;
/// Number of routes of a configuration that its store still accepts as one value.
const MANY_ROUTES: u32 = 4_000;
/// Bytes per second of a link that needs 2 to 3 s for that configuration.
const LINK_BYTES_PER_S: u64 = 450_000;
/// Number of backend servers of a service whose document is as long.
const MANY_BACKENDS: u16 = 6_200;
/// Bytes per second of a link that needs 3 to 5 s for that document.
const MANIFEST_LINK_BYTES_PER_S: u64 = 200_000;

/// An agent with a good link, and an entry whose answers from the store and from the
/// agent share one narrow link.
struct Fleet {
    site: Site,
    store: Store,
    agent: Daemon,
    _proxies: (UdpProxy, Vec<TcpProxy>),
}

impl Fleet {
    async fn open(number: u8) -> Self {
        let site = Site::proxied(number, 1);
        let store = Store::bind(site.store());
        let (entry, agent) = (site.endpoints(true, 0), site.endpoints(false, 0));
        let udp = UdpProxy::bind(&[entry, agent], 1).await.expect("the proxy is bound");
        let link = NarrowLink::open(LINK_BYTES_PER_S);
        let narrow = [(site.store_for(true, 0), site.store()), (agent.public, agent.private)];
        let mut proxies = Vec::new();
        for (address, target) in narrow {
            let proxy = TcpProxy::bind_narrow(address, target, link.clone()).await;
            proxies.push(proxy.expect("the proxy is bound"));
        }
        for (address, target) in
            [(site.store_for(false, 0), site.store()), (entry.public, entry.private)]
        {
            let proxy = TcpProxy::bind(address, target).await;
            proxies.push(proxy.expect("the proxy is bound"));
        }
        store.publish(&site.routes(1));
        let member = site.member(0, 1);
        store.register(member.name.as_str(), &site.registry_entry(&member));
        let agent = Daemon::spawn("agent", site.agent_admin(0), &site.agent_settings(0));
        wait_for_version(&agent, 1, START_TIMEOUT).await;
        Self { site, store, agent, _proxies: (udp, proxies) }
    }

    /// Writes the backend server's entry in a state.
    fn register(&self, standing: MemberState) {
        let member = Member { standing, ..self.site.member(0, 1) };
        self.store.register(member.name.as_str(), &self.site.registry_entry(&member));
    }

    /// Raises the store's revision by writes that no process reads.
    fn write_unrelated(&self, count: u32) {
        for _ in 0..count {
            self.store.put("unrelated", b"");
        }
    }

    fn spawn_entry(&self) -> Daemon {
        Daemon::spawn("entry", self.site.entry_admin(0), &self.site.entry_settings(0))
    }
}

/// Waits until the log of a process has a line with all `parts`; panics if it takes longer
/// than `limit`.
async fn wait_for_line(daemon: &Daemon, parts: &[&str], limit: Duration) {
    let start = Instant::now();
    loop {
        let log = std::fs::read_to_string(&daemon.log).expect("the log can be read");
        if log.lines().any(|l| parts.iter().all(|p| l.contains(p))) {
            return;
        }
        assert!(start.elapsed() < limit, "no line has {parts:?} after {limit:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until the roster of a process has a revision of at least `revision`, which it has only
/// once it has read what was written then; panics if it takes longer than `limit`.
async fn wait_for_roster(daemon: &Daemon, revision: u64, limit: Duration) {
    const METRIC: &str = "lagoonhollow_roster_revision ";
    let start = Instant::now();
    loop {
        let metrics = daemon.get("/metrics").unwrap_or_default();
        let known = metrics.lines().find_map(|l| l.strip_prefix(METRIC)?.parse::<u64>().ok());
        if known.is_some_and(|known| known >= revision) {
            return;
        }
        assert!(start.elapsed() < limit, "the roster is {known:?} after {limit:?}, not {revision}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until a process has a version in force; panics if it takes longer than `limit`.
async fn wait_for_version(daemon: &Daemon, version: u64, limit: Duration) {
    let start = Instant::now();
    loop {
        let status = daemon.get_json::<Status>("/status");
        if status.as_ref().is_some_and(|s| s.version >= version) {
            return;
        }
        assert!(start.elapsed() < limit, "version {version} is not in force after {limit:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

// An answer that takes longer to transfer than a call may wait was given up and asked for
// again, so it never arrived.
#[tokio::test]
async fn a_configuration_that_takes_seconds_to_transfer_is_in_force_in_time() {
    let fleet = Fleet::open(41).await;
    let entry = fleet.spawn_entry();
    wait_for_version(&entry, 1, START_TIMEOUT).await;
    fleet.store.publish(&fleet.site.many_routes(2, MANY_ROUTES));
    wait_for_version(&fleet.agent, 2, IN_FORCE_WITHIN).await;
    wait_for_version(&entry, 2, IN_FORCE_WITHIN).await;
}

#[tokio::test]
async fn a_process_that_starts_behind_a_narrow_link_gets_the_configuration_in_time() {
    let fleet = Fleet::open(42).await;
    fleet.store.publish(&fleet.site.many_routes(2, MANY_ROUTES));
    wait_for_version(&fleet.agent, 2, IN_FORCE_WITHIN).await;
    let entry = fleet.spawn_entry();
    wait_for_version(&entry, 2, IN_FORCE_WITHIN).await;
}

// The same fault in the CoAP front end, whose configuration service answers with whole
// documents.
#[tokio::test]
async fn a_manifest_that_takes_seconds_to_transfer_is_in_force_in_time() {
    let platform = Platform::spawn(SocketAddr::new(loopback::next(), 8_080)).unwrap();
    let target = platform.url().trim_start_matches("http://").parse().unwrap();
    let proxy = SocketAddr::new(loopback::next(), 8_080);
    let link = NarrowLink::open(MANIFEST_LINK_BYTES_PER_S);
    let _proxy = TcpProxy::bind_narrow(proxy, target, link).await.expect("the proxy is bound");
    let version = platform.publish(vec![docs::numbered(1, MANY_BACKENDS)]);
    let host = Host::open("entry");
    let settings = host.entry_settings(&format!("http://{proxy}"), &[]);
    let entry = Daemon::spawn("coap-entry", host.admin(), &settings);
    wait_for_version(&entry, version, IN_FORCE_WITHIN).await;
}

// A store that comes back from a copy gives out its revisions again, so a later entry has
// a lower revision than the one that is known.
#[tokio::test]
async fn a_leaving_backend_server_is_known_after_the_store_came_back_from_a_copy() {
    let fleet = Fleet::open(43).await;
    let copy = fleet.store.copy();
    fleet.write_unrelated(50);
    fleet.register(MemberState::Ready);
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.store.restore(copy);
    fleet.register(MemberState::Leaving);
    wait_for_line(&fleet.agent, &["event=registered", "reason=leaving"], IN_FORCE_WITHIN).await;
}

// A watch that continues from a revision which the store has given out again misses what
// was written before it.
#[tokio::test]
async fn a_version_is_in_force_though_its_revision_was_given_out_before() {
    let fleet = Fleet::open(44).await;
    let entry = fleet.spawn_entry();
    wait_for_version(&entry, 1, START_TIMEOUT).await;
    let copy = fleet.store.copy();
    fleet.write_unrelated(50);
    // The watches of all processes continue from a revision after those writes.
    fleet.store.publish(&fleet.site.routes(2));
    wait_for_version(&entry, 2, IN_FORCE_WITHIN).await;
    wait_for_version(&fleet.agent, 2, IN_FORCE_WITHIN).await;
    fleet.store.set_fault(StoreFault::Status(503));
    fleet.store.restore(copy);
    fleet.store.publish(&fleet.site.routes(2));
    fleet.store.publish(&fleet.site.routes(3));
    fleet.write_unrelated(100);
    fleet.store.set_fault(StoreFault::None);
    wait_for_version(&fleet.agent, 3, IN_FORCE_WITHIN).await;
    wait_for_version(&entry, 3, IN_FORCE_WITHIN).await;
}

// A key with a character that has a meaning in URLs, last on a page, made the next page
// unreadable, so that no backend server was known any more.
#[tokio::test]
async fn a_process_follows_the_store_past_entries_of_another_writer() {
    let mut fleet = Fleet::open(45).await;
    let mut entry = fleet.spawn_entry();
    wait_for_version(&entry, 1, START_TIMEOUT).await;
    for (key, value) in odd_entries() {
        fleet.store.put(&key, &value);
    }
    // Whole listings, in pages that end at each of the keys in turn.
    let pages = 1..=4;
    for (version, page) in (2..).zip(pages) {
        fleet.store.set_page_size(page);
        fleet.store.compact();
        fleet.register(if page % 2 == 0 { MemberState::Ready } else { MemberState::Leaving });
        fleet.store.publish(&fleet.site.routes(version));
        wait_for_version(&entry, version, IN_FORCE_WITHIN).await;
        wait_for_version(&fleet.agent, version, IN_FORCE_WITHIN).await;
        let revision = fleet.store.revision() - 1;
        wait_for_roster(&entry, revision, IN_FORCE_WITHIN).await;
        wait_for_roster(&fleet.agent, revision, IN_FORCE_WITHIN).await;
    }
    assert_eq!((entry.exit_code(), fleet.agent.exit_code()), (None, None));
}

// A finding quoted the whole value, so one entry filled the log with a megabyte each time it
// was read.
#[tokio::test]
async fn a_finding_about_a_long_value_or_key_is_one_short_log_line() {
    let fleet = Fleet::open(46).await;
    fleet.store.put("servers/i-long", &long_entry(100_000));
    fleet.store.put("servers/i-\nevent=forged", b"{}");
    let parts = ["event=unreadable_item", "forged"];
    wait_for_line(&fleet.agent, &parts, IN_FORCE_WITHIN).await;
    wait_for_line(&fleet.agent, &["event=unreadable_item", "i-long"], IN_FORCE_WITHIN).await;
    let log = std::fs::read_to_string(&fleet.agent.log).expect("the log can be read");
    assert!(log.lines().all(|l| l.len() < LONGEST_LINE), "a log line is too long");
    assert!(log.lines().all(|l| l.starts_with("time=")), "a key begins a log line");
}

// An entry with the address of a backend server, and a service that the configuration does
// not have, took the place of that backend server.
#[tokio::test]
async fn an_entry_of_an_unknown_service_does_not_displace_a_backend_server() {
    let fleet = Fleet::open(47).await;
    let member = fleet.site.member(0, 1);
    let odd = Member { service: "unknown".into(), born: u64::MAX, ..member.clone() };
    fleet.store.register("i-odd", &fleet.site.registry_entry(&odd));
    wait_for_roster(&fleet.agent, fleet.store.revision(), IN_FORCE_WITHIN).await;
    let flow = fleet.site.flow(0, 1_024);
    let path = format!("/explain?caller={}&service={}", flow.caller, flow.service);
    let explanation = fleet.agent.get_json::<Explanation>(&path).expect("an explanation");
    assert_eq!(explanation.ranks, [member.name.to_string()]);
}
