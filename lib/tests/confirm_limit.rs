//! The limit on reads of the source that searches ask for.

use std::time::Duration;

use lagoonhollow_lib::process::confirm_limit::ConfirmLimit;
use lagoonhollow_lib::value::moment::Moment;

/// Returns the reads of one agent in a minute in which flows always wait for one.
fn reads(members: usize) -> usize {
    let mut limit = ConfirmLimit::default();
    let moments = (0..60_000).map(|ms| Moment::default() + Duration::from_millis(ms));
    moments
        .filter(|now| {
            limit.want();
            limit.take(members, *now)
        })
        .count()
}

// After a loss of many VMs the agents of the largest fleet would read more often than the store bears.
#[test]
fn the_agents_of_a_fleet_read_five_hundred_times_a_second_at_most() {
    for members in [65, 700, 6_200] {
        let fleet = reads(members) * members;
        assert!(fleet <= 60 * 500 + 2 * members, "{members}: {fleet}");
    }
}

#[test]
fn a_read_that_was_not_allowed_is_still_wanted() {
    let (mut limit, now) = (ConfirmLimit::default(), Moment::from_millis(1_000));
    limit.want();
    assert!(limit.take(1, now));
    limit.want();
    assert!(!limit.take(1, now + Duration::from_millis(50)));
    assert!(limit.take(1, now + Duration::from_millis(100)));
    assert!(!limit.take(1, now + Duration::from_millis(300)), "nobody asked for another one");
}
