//! The registry's view of backend servers whose entries lapse, return or arrive late.

use std::time::Duration;

use lagoonhollow_lib::process::registry::Change;
use lagoonhollow_lib::process::registry::Entry;
use lagoonhollow_lib::process::registry::Listing;
use lagoonhollow_lib::process::registry::RETURN_GRACE;
use lagoonhollow_lib::process::registry::Registry;
use lagoonhollow_lib::process::registry::RegistryUpdate;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;

const NOW: Moment = Moment(1_000_000_000);

fn entry(name: &str, service: &str, born: u64, revision: u64) -> Entry {
    let member = Member {
        name: name.into(),
        service: service.into(),
        address: "10.0.0.1:8000".parse().unwrap(),
        domain: "d".into(),
        slots: 4,
        standing: MemberState::Ready,
        warming: Duration::ZERO,
        born,
    };
    Entry { member, revision }
}

fn removed(name: &str, revision: u64) -> Change {
    Change::Removed { name: name.into(), revision }
}

fn names(registry: &Registry) -> Vec<String> {
    registry.roster().members().iter().map(|m| m.name.to_string()).collect()
}

#[test]
fn an_entry_of_a_leaving_backend_server_is_gone_at_once_when_it_is_removed() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    let mut leaving = entry("a", "s", 1, 5);
    leaving.member.standing = MemberState::Leaving;
    registry.change(vec![Change::Set(leaving)], NOW);
    registry.change(vec![removed("a", 6)], NOW);
    assert!(names(&registry).is_empty());
}

#[test]
fn an_entry_that_lapsed_during_an_unanswered_watch_stays_until_the_grace_period_is_over() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    registry.change(vec![Change::Set(entry("a", "s", 1, 5))], NOW);
    // The watch did not fail: it answers when the store is back.
    let back = NOW + Duration::from_secs(4);
    registry.answered(back);
    registry.change(vec![removed("a", 6)], back);
    assert!(!registry.expire(back + RETURN_GRACE - Duration::from_millis(1)));
    assert_eq!(names(&registry), ["a"]);
    assert!(registry.expire(back + RETURN_GRACE));
    assert!(names(&registry).is_empty());
}

#[test]
fn an_entry_that_lapsed_while_the_store_was_unreachable_stays_until_the_grace_period_is_over() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    registry.change(vec![Change::Set(entry("a", "s", 1, 5))], NOW);
    registry.failed();
    let back = NOW + Duration::from_secs(30);
    registry.answered(back);
    registry.replace(Listing { revision: 9, entries: Vec::new() }, back);
    assert_eq!(names(&registry), ["a"]);
    assert!(!registry.expire(back + RETURN_GRACE - Duration::from_millis(1)));
    assert!(registry.expire(back + RETURN_GRACE));
    assert!(names(&registry).is_empty());
}

#[test]
fn no_entry_is_dropped_while_the_store_is_unreachable() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    registry.change(vec![Change::Set(entry("a", "s", 1, 5))], NOW);
    registry.failed();
    registry.change(vec![removed("a", 6)], NOW);
    assert!(!registry.expire(NOW + Duration::from_secs(3_600)));
    assert_eq!(names(&registry), ["a"]);
}

#[test]
fn an_older_update_of_a_peer_undoes_nothing() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    registry.change(vec![Change::Set(entry("a", "s", 2, 8))], NOW);
    assert!(!registry.change(vec![Change::Set(entry("a", "old", 1, 5))], NOW));
    assert!(!registry.change(vec![removed("a", 7)], NOW));
    registry.change(vec![removed("a", 9)], NOW);
    assert!(!registry.change(vec![Change::Set(entry("a", "s", 2, 8))], NOW));
    registry.expire(NOW + RETURN_GRACE);
    assert!(names(&registry).is_empty());
}

#[test]
fn an_address_belongs_to_the_run_that_started_last() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    let changes = [entry("new", "s2", 20, 6), entry("old", "s1", 10, 5)].map(Change::Set);
    registry.change(changes.into(), NOW);
    assert_eq!(names(&registry), ["new"]);
    assert!(registry.roster().pool(&"s1".into()).is_none());
}

#[test]
fn processes_that_know_as_much_have_the_same_revision() {
    let mut one = Registry::default();
    let mut two = Registry::default();
    one.answered(NOW);
    two.answered(NOW);
    one.change(vec![Change::Set(entry("a", "s", 1, 5))], NOW);
    two.replace(one.listing(), NOW);
    assert_eq!(one.revision(), two.revision());
    one.change(vec![removed("a", 7)], NOW);
    two.replace(Listing { revision: 7, entries: Vec::new() }, NOW);
    assert_eq!((one.revision(), two.revision()), (7, 7));
}

#[test]
fn a_process_that_is_behind_learns_what_has_changed_since() {
    let mut ahead = Registry::default();
    ahead.answered(NOW);
    let set = |name: &str, revision| {
        let mut entry = entry(name, "s", 1, revision);
        entry.member.address.set_port(revision as u16);
        Change::Set(entry)
    };
    ahead.change(vec![set("a", 5), set("b", 6), set("c", 7)], NOW);
    let mut behind = ahead.clone();
    ahead.change(vec![removed("a", 8), set("d", 9), set("b", 10)], NOW);
    let RegistryUpdate::Changes(changes) = ahead.updates_since(behind.revision()) else {
        panic!("all")
    };
    assert_eq!(changes.len(), 3);
    assert!(behind.learn(RegistryUpdate::Changes(changes), NOW));
    assert!(ahead.expire(NOW + RETURN_GRACE));
    assert!(behind.expire(NOW + RETURN_GRACE));
    assert_eq!((names(&behind), behind.revision()), (names(&ahead), 10));
    assert!(!behind.learn(ahead.updates_since(behind.revision()), NOW));
    // A process that knows nothing gets the whole listing.
    let mut fresh = Registry::default();
    assert!(matches!(ahead.updates_since(0), RegistryUpdate::Whole(_)));
    fresh.learn(ahead.updates_since(0), NOW);
    assert_eq!(names(&fresh), names(&ahead));
}

#[test]
fn a_process_that_is_too_far_behind_for_the_removals_still_known_learns_all() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    let many = 5_000;
    for i in 0..many {
        registry.change(vec![Change::Set(entry(&format!("i-{i:05}"), "s", 1, 2 * i + 1))], NOW);
        registry.change(vec![removed(&format!("i-{i:05}"), 2 * i + 2)], NOW);
    }
    assert!(matches!(registry.updates_since(1), RegistryUpdate::Whole(_)));
    assert!(matches!(registry.updates_since(2 * many - 10), RegistryUpdate::Changes(_)));
}
