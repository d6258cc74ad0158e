//! The registry's view of backend servers whose entries lapse, return or arrive late.

use std::time::Duration;

use lagoonhollow_lib::process::registry::Change;
use lagoonhollow_lib::process::registry::Entry;
use lagoonhollow_lib::process::registry::Listing;
use lagoonhollow_lib::process::registry::RETURN_GRACE;
use lagoonhollow_lib::process::registry::Registry;
use lagoonhollow_lib::process::registry::RegistryUpdate;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;
use lagoonhollow_lib::version::revision::Revision;
use lagoonhollow_lib::version::route::Route;
use lagoonhollow_lib::version::route::Share;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::service::Service;

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
    Entry { member, revision: revision.into() }
}

fn removed(name: &str, revision: u64) -> Change {
    Change::Removed { name: name.into(), revision: revision.into() }
}

fn names(registry: &Registry) -> Vec<String> {
    registry.roster(&Published::default()).members().iter().map(|m| m.name.to_string()).collect()
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
    registry.replace(Listing { revision: Revision::from(9), entries: Vec::new() }, back);
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

// After the clock of a VM was set back, a backend server that starts again under its name
// seems to be an earlier run; ignored for good, it would get flows after it has left.
#[test]
fn an_entry_of_an_earlier_start_counts_if_no_later_write_replaces_it() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    registry.change(vec![Change::Set(entry("a", "s", 9, 5))], NOW);
    let mut leaving = entry("a", "s", 4, 7);
    leaving.member.standing = MemberState::Leaving;
    assert!(!registry.change(vec![Change::Set(leaving)], NOW));
    assert!(!registry.expire(NOW + Duration::from_millis(4_999)));
    assert!(registry.expire(NOW + Duration::from_secs(5)));
    let roster = registry.roster(&Published::default());
    assert_eq!(roster.members()[0].standing, MemberState::Leaving);
}

// The next heartbeat of the present run ends the time for which a late write is held.
#[test]
fn a_late_write_that_the_present_run_replaces_never_counts() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    registry.change(vec![Change::Set(entry("a", "s", 9, 5))], NOW);
    registry.change(vec![Change::Set(entry("a", "s", 4, 7))], NOW);
    registry.change(vec![Change::Set(entry("a", "s", 9, 8))], NOW);
    assert!(!registry.expire(NOW + Duration::from_secs(60)));
    assert_eq!(registry.roster(&Published::default()).members()[0].born, 9);
}

// A write of an earlier run that was done late took the place of the present run's entry.
#[test]
fn an_entry_of_an_earlier_run_that_is_written_later_replaces_nothing() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    let born = |registry: &Registry| states(registry).iter().map(|s| s.0).collect::<Vec<_>>();
    registry.change(vec![Change::Set(entry("a", "s", 2, 5))], NOW);
    assert!(!registry.change(vec![Change::Set(entry("a", "s", 1, 6))], NOW));
    let late = listing(7.into(), &[entry("a", "s", 1, 7)]);
    assert!(!registry.replace(late.clone(), NOW));
    assert!(!registry.learn(RegistryUpdate::Whole(late.clone()), NOW));
    assert_eq!((born(&registry), registry.revision()), (vec![2], 7.into()));
    // A process that knows only the late entry learns the present one from this one.
    let mut other = Registry::default();
    other.replace(late, NOW);
    assert!(other.learn(RegistryUpdate::Whole(registry.listing()), NOW));
    assert_eq!(born(&other), [2]);
    // A removal ends the entry, and an earlier run does not take its place while it may
    // come back.
    registry.change(vec![removed("a", 8)], NOW);
    registry.change(vec![Change::Set(entry("a", "s", 1, 9))], NOW);
    assert_eq!(born(&registry), [2]);
    registry.change(vec![removed("a", 10)], NOW);
    assert!(registry.expire(NOW + RETURN_GRACE));
    assert!(names(&registry).is_empty());
}

#[test]
fn an_address_belongs_to_the_run_that_started_last() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    let changes = [entry("new", "s2", 20, 6), entry("old", "s1", 10, 5)].map(Change::Set);
    registry.change(changes.into(), NOW);
    assert_eq!(names(&registry), ["new"]);
    assert!(registry.roster(&Published::default()).pool(&"s1".into()).is_none());
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
    two.replace(Listing { revision: Revision::from(7), entries: Vec::new() }, NOW);
    assert_eq!((one.revision(), two.revision()), (7.into(), 7.into()));
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
    assert_eq!((names(&behind), behind.revision()), (names(&ahead), 10.into()));
    assert!(!behind.learn(ahead.updates_since(behind.revision()), NOW));
    // A process that knows nothing gets the whole listing.
    let mut fresh = Registry::default();
    assert!(matches!(ahead.updates_since(Revision::default()), RegistryUpdate::Whole(_)));
    fresh.learn(ahead.updates_since(Revision::default()), NOW);
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
    assert!(matches!(registry.updates_since(1.into()), RegistryUpdate::Whole(_)));
    assert!(matches!(registry.updates_since((2 * many - 10).into()), RegistryUpdate::Changes(_)));
}

/// An epoch of the store after the first.
fn later(epoch: u32, number: u64) -> Revision {
    Revision { epoch, number }
}

fn entry_at(name: &str, born: u64, revision: Revision) -> Entry {
    Entry { revision, ..entry(name, "s", born, 0) }
}

fn listing(revision: Revision, entries: &[Entry]) -> Listing {
    Listing { revision, entries: entries.to_vec() }
}

fn states(registry: &Registry) -> Vec<(u64, MemberState)> {
    registry.roster(&Published::default()).members().iter().map(|m| (m.born, m.standing)).collect()
}

#[test]
fn an_entry_written_after_the_store_went_back_replaces_one_with_a_higher_revision() {
    let mut registry = Registry::default();
    registry.replace(listing(50.into(), &[entry("a", "s", 1, 40)]), NOW);
    let mut leaving = entry_at("a", 1, later(1, 11));
    leaving.member.standing = MemberState::Leaving;
    assert!(registry.replace(listing(later(1, 11), &[leaving]), NOW));
    assert_eq!(states(&registry), [(1, MemberState::Leaving)]);
    assert_eq!(registry.revision(), later(1, 11));
}

#[test]
fn an_older_state_of_a_store_that_went_back_does_not_replace_what_is_known() {
    let mut registry = Registry::default();
    let mut leaving = entry("a", "s", 7, 40);
    leaving.member.standing = MemberState::Leaving;
    registry.replace(listing(50.into(), &[leaving.clone()]), NOW);
    // The copy has the entry from before the backend server announced its leaving.
    let copied = entry_at("a", 7, later(1, 10));
    registry.replace(listing(later(1, 10), &[copied]), NOW);
    assert_eq!(states(&registry), [(7, MemberState::Leaving)]);
    // It has an earlier run of the backend server.
    let copied = entry_at("a", 3, later(2, 10));
    registry.replace(listing(later(2, 10), &[copied]), NOW);
    assert_eq!(states(&registry), [(7, MemberState::Leaving)]);
    // What the backend server writes again counts at once, also if it is the same.
    registry.change(vec![Change::Set(entry_at("a", 8, later(2, 12)))], NOW);
    assert_eq!(states(&registry), [(8, MemberState::Ready)]);
}

#[test]
fn an_older_state_counts_once_the_backend_server_has_not_written_again_in_time() {
    let mut registry = Registry::default();
    registry.replace(listing(50.into(), &[entry("a", "s", 7, 40)]), NOW);
    registry.replace(listing(later(1, 10), &[entry_at("a", 3, later(1, 10))]), NOW);
    assert!(!registry.expire(NOW + RETURN_GRACE - Duration::from_millis(1)));
    assert_eq!(states(&registry), [(7, MemberState::Ready)]);
    assert!(registry.expire(NOW + RETURN_GRACE));
    assert_eq!(states(&registry), [(3, MemberState::Ready)]);
}

#[test]
fn entries_that_a_store_lost_by_going_back_stay_until_they_are_written_again() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    registry.replace(listing(50.into(), &[entry("a", "s", 1, 40)]), NOW);
    assert!(registry.confirms_absence(NOW));
    registry.replace(listing(later(1, 10), &[]), NOW);
    assert_eq!(names(&registry), ["a"]);
    assert!(!registry.confirms_absence(NOW));
    registry.expire(NOW + RETURN_GRACE);
    assert!(names(&registry).is_empty());
    assert!(registry.confirms_absence(NOW + RETURN_GRACE));
}

#[test]
fn what_a_process_knows_from_before_the_store_went_back_changes_nothing() {
    let mut behind = Registry::default();
    behind.replace(listing(50.into(), &[entry("a", "s", 1, 40), entry("b", "s", 1, 41)]), NOW);
    let mut ahead = Registry::default();
    ahead.replace(listing(later(1, 10), &[entry_at("c", 2, later(1, 9))]), NOW);
    // The numbers of the process that is behind are higher.
    assert!(ahead.revision() > behind.revision());
    assert!(!ahead.learn(behind.updates_since(Revision::default()), NOW));
    assert!(!ahead.learn(RegistryUpdate::Changes(vec![removed("c", 60)]), NOW));
    assert_eq!(names(&ahead), ["c"]);
    // It gets all entries, since nothing else tells which of its own are gone.
    let update = ahead.updates_since(behind.revision());
    assert!(matches!(update, RegistryUpdate::Whole(_)));
    assert!(behind.learn(update, NOW));
    assert!(behind.expire(NOW + RETURN_GRACE));
    assert_eq!(names(&behind), names(&ahead));
    assert_eq!(behind.revision().epoch, ahead.revision().epoch);
}

#[test]
fn the_first_epoch_of_a_source_needs_no_grace_period() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    registry.replace(listing(later(0, 10), &[entry_at("a", 1, later(0, 9))]), NOW);
    assert!(registry.confirms_absence(NOW));
    assert!(matches!(registry.updates_since(later(0, 9)), RegistryUpdate::Changes(_)));
}

// A process that started just as the source had come back from a copy took the copy for the
// present (soak seed 193).
#[test]
fn a_process_that_starts_in_a_later_epoch_waits_for_entries_to_be_written_again() {
    let mut registry = Registry::default();
    registry.answered(NOW);
    registry.replace(listing(later(3, 10), &[entry_at("a", 1, later(3, 9))]), NOW);
    assert!(!registry.confirms_absence(NOW));
    assert!(registry.confirms_absence(NOW + RETURN_GRACE));
    assert!(matches!(registry.updates_since(later(3, 9)), RegistryUpdate::Changes(_)));
}

#[test]
fn encoded_revisions_keep_their_order() {
    let revisions = [later(0, 0), later(0, 1), later(0, 1 << 39), later(1, 0), later(2, 5)];
    let encoded = revisions.map(u64::from);
    assert!(encoded.is_sorted_by(|a, b| a < b));
    assert_eq!(encoded.map(Revision::from), revisions);
    // A revision of the first epoch is encoded as its number.
    assert_eq!(u64::from(later(0, 203)), 203);
}

#[test]
fn a_service_that_a_route_has_left_keeps_its_backend_servers_while_they_may_hold_flows() {
    let mut registry = Registry::default();
    registry.replace(listing(5.into(), &[entry("a", "s", 1, 5)]), NOW);
    let route = |service: &str, former: Vec<Name>| Route {
        name: "r".into(),
        address: "198.18.0.1:443".parse().unwrap(),
        shares: vec![Share { service: service.into(), weight: 1 }],
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(200),
        priority: 1,
        former,
    };
    let services = vec![Service { name: "t".into(), warm_up: None }];
    let published = |routes| Published { services: services.clone(), routes, ..Default::default() };
    let roster = |routes| registry.roster(&published(routes)).members().len();
    assert_eq!(roster(vec![route("t", vec![])]), 0);
    assert_eq!(roster(vec![route("t", vec!["s".into()])]), 1);
    assert_eq!(registry.roster(&Published::default()).members().len(), 1);
}

/// Guards against processes with the same revision and different entries, which would confirm
/// each other wrongly: a process that starts does not see what was removed before.
#[test]
fn the_same_revision_means_the_same_entries() {
    let (x, y) = (entry("x", "s", 1, 33), entry("y", "s", 1, 35));
    let listing = |number, entries: Vec<Entry>| listing(Revision { epoch: 0, number }, &entries);
    let mut lagging = Registry::default();
    lagging.replace(listing(36, vec![x, y.clone()]), NOW);
    let mut started = Registry::default();
    started.replace(listing(44, vec![y.clone()]), NOW);
    assert!(started.revision() > lagging.revision());
    let update = started.updates_since(lagging.revision());
    lagging.learn(update, NOW);
    lagging.advance(started.revision());
    assert_eq!(lagging.revision(), started.revision());
    // A later listing without a difference does not look like a change.
    started.replace(listing(90, vec![y]), NOW);
    assert_eq!(started.revision(), lagging.revision());
}
