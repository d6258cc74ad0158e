//! Entries of services that the configuration does not list.

use std::time::Duration;

use lagoonhollow_lib::process::registry::Change;
use lagoonhollow_lib::process::registry::Entry;
use lagoonhollow_lib::process::registry::RETURN_GRACE;
use lagoonhollow_lib::process::registry::Registry;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;
use lagoonhollow_lib::version::roster::Roster;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::service::Service;

const NOW: Moment = Moment(1_000_000_000);

fn entry(name: &str, service: &str, address: &str, born: u64) -> Entry {
    let member = Member {
        name: name.into(),
        service: service.into(),
        address: address.parse().unwrap(),
        domain: "d".into(),
        slots: 4,
        standing: MemberState::Ready,
        warming: Duration::ZERO,
        born,
    };
    Entry { member, revision: born.into() }
}

fn registry(entries: impl IntoIterator<Item = Entry>) -> Registry {
    let mut registry = Registry::default();
    registry.answered(NOW);
    registry.change(entries.into_iter().map(Change::Set).collect(), NOW);
    registry
}

/// Returns the roster under a configuration that lists only the service "feed".
fn roster(registry: &Registry) -> Roster {
    let services = vec![Service { name: "feed".into(), warm_up: None }];
    registry.roster(&Published { services, ..Default::default() })
}

fn members(roster: &Roster) -> Vec<&str> {
    roster.members().iter().map(|m| m.name.as_str()).collect()
}

fn unlisted(roster: &Roster) -> Vec<&str> {
    roster.unlisted().iter().map(|m| m.name.as_str()).collect()
}

// Issue 33: backend servers that may own flows were unknown to a process that had never seen
// a version with their service.
#[test]
fn a_backend_server_of_an_unlisted_service_is_known_but_no_member() {
    let registry = registry([
        entry("feed-1", "feed", "10.0.0.1:8000", 1),
        entry("old-1", "gallery", "10.0.0.2:8000", 2),
    ]);
    let roster = roster(&registry);
    assert_eq!((members(&roster), unlisted(&roster)), (vec!["feed-1"], vec!["old-1"]));
    assert!(roster.lists_all());
    assert!(roster.pool(&"gallery".into()).is_none());
    assert!(roster.holder("10.0.0.2:8000".parse().unwrap()).is_none());
    assert!(roster.on_vm("10.0.0.2".parse().unwrap()).is_none());
}

#[test]
fn a_configuration_that_lists_no_services_leaves_none_unlisted() {
    let registry = registry([entry("old-1", "gallery", "10.0.0.2:8000", 1)]);
    let roster = registry.roster(&Published::default());
    assert_eq!((members(&roster), unlisted(&roster)), (vec!["old-1"], vec![]));
    assert!(roster.lists_all());
}

// Issue 17: an odd entry must not take the place of a backend server, whichever port it names.
#[test]
fn an_unlisted_entry_at_the_address_of_a_member_is_left_out() {
    let registry = registry([
        entry("feed-1", "feed", "10.0.0.1:8000", 1),
        entry("odd-1", "odd", "10.0.0.1:8000", 9),
        entry("odd-2", "odd", "10.0.0.1:9000", 9),
    ]);
    let roster = roster(&registry);
    assert_eq!((members(&roster), unlisted(&roster)), (vec!["feed-1"], vec![]));
    assert_eq!(roster.holder("10.0.0.1:8000".parse().unwrap()).unwrap().name.as_str(), "feed-1");
    assert!(roster.lists_all());
}

// An agent that is counted once for each entry on its VM would be asked as often.
#[test]
fn one_unlisted_backend_server_is_kept_of_each_vm() {
    let registry = registry([
        entry("a", "gallery", "10.0.0.2:8000", 3),
        entry("b", "gallery", "10.0.0.2:9000", 1),
        entry("c", "odd", "10.0.0.2:8000", 2),
    ]);
    assert_eq!(unlisted(&roster(&registry)), ["a"]);
}

// A backend server whose entry lapsed may still hold flows.
#[test]
fn an_unlisted_backend_server_that_may_come_back_is_kept() {
    let mut registry = registry([entry("old-1", "gallery", "10.0.0.2:8000", 1)]);
    registry.change(vec![Change::Removed { name: "old-1".into(), revision: 2.into() }], NOW);
    assert_eq!(unlisted(&roster(&registry)), ["old-1"]);
    assert!(registry.expire(NOW + RETURN_GRACE));
    assert_eq!(unlisted(&roster(&registry)), [""; 0]);
}

// Entries of another writer may be many; a roster that drops some must not look complete.
#[test]
fn a_roster_that_leaves_unlisted_backend_servers_out_says_so() {
    let odd = |i: usize| {
        entry(&format!("odd-{i:05}"), "odd", &format!("10.1.{}.{}:8000", i / 250, i % 250), 1)
    };
    let feed = || entry("feed-1", "feed", "10.0.0.1:8000", 1);
    let full = roster(&registry((0..1_024).map(odd).chain([feed()])));
    assert_eq!((full.unlisted().len(), full.lists_all()), (1_024, true));
    let beyond = roster(&registry((0..1_025).map(odd).chain([feed()])));
    assert_eq!((beyond.unlisted().len(), beyond.lists_all()), (1_024, false));
    assert_eq!(members(&beyond), ["feed-1"]);
}

#[test]
fn unlisted_entries_of_one_vm_count_once_against_the_limit() {
    let odd =
        |i: usize| entry(&format!("odd-{i:05}"), "odd", &format!("10.0.0.2:{}", 2_000 + i), 1);
    let roster = roster(&registry((0..5_000).map(odd)));
    assert_eq!((roster.unlisted().len(), roster.lists_all()), (1, true));
}
