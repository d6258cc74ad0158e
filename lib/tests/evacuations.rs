//! The evacuated failure domains, as listings and events of the source give them.

use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::evacuations::EvacuationChange;
use lagoonhollow_lib::version::evacuations::Evacuations;
use lagoonhollow_lib::version::revision::Revision;

fn at(epoch: u32, number: u64) -> Revision {
    Revision { epoch, number }
}

fn order(domain: &str, ordered: bool, revision: Revision) -> EvacuationChange {
    EvacuationChange { domain: domain.into(), ordered, revision }
}

fn listed(epoch: u32, number: u64, domain: &str) -> Evacuations {
    let order = order(domain, true, at(epoch, number - 1));
    Evacuations::default().relisted(at(epoch, number), &[order])
}

fn covered(set: &Evacuations) -> Vec<&Name> {
    set.domains().map(|(name, _)| name).collect()
}

/// Guards against an order that is lost because another one was withdrawn in the same answer,
/// or that comes back because events are not sorted.
#[test]
fn events_change_the_set_and_its_revision_is_that_of_the_last_one() {
    let set = listed(1, 40, "a");
    let events = [order("b", false, at(1, 52)), order("a", false, at(1, 51))];
    let more = [order("b", true, at(1, 50)), order("c", true, at(1, 53))];
    let set = set.changed(&[&events[..], &more[..]].concat());
    assert_eq!((covered(&set), set.revision()), (vec![&"c".into()], at(1, 53)));
    // What the set includes already has no effect, as an event of another epoch has none.
    let late = [order("c", false, at(1, 52)), order("d", true, at(2, 1))];
    assert_eq!(set.changed(&late), set);
}

/// Guards against versions that grow with each read, since all processes would read each
/// other's set again and not confirm each other meanwhile.
#[test]
fn a_listing_without_a_difference_keeps_the_revision() {
    let set = listed(1, 40, "a");
    assert_eq!(set.relisted(at(1, 90), &[order("a", true, at(1, 39))]), set);
    // The order was withdrawn and given again, which the listing shows by its revision.
    let again = set.relisted(at(1, 90), &[order("a", true, at(1, 80))]);
    assert_eq!(again.revision(), at(1, 90));
    assert_eq!(covered(&set.relisted(at(1, 91), &[])), Vec::<&Name>::new());
}

/// Guards against an evacuation that stays in force, or ends, because the source that came
/// back from an older copy has lower numbers.
#[test]
fn the_set_of_a_new_epoch_holds_once_read() {
    let set = listed(1, 40, "a");
    let restored = set.relisted(at(2, 12), &[]);
    assert_eq!((covered(&restored), restored.revision()), (vec![], at(2, 12)));
    // An answer of the earlier epoch that arrives late changes nothing.
    let late = [order("a", true, at(1, 39))];
    assert_eq!(restored.relisted(at(1, 60), &late), restored);
    assert_eq!(restored.changed(&[order("a", true, at(1, 61))]), restored);
}
