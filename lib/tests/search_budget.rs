//! The limit on questions beyond the services of a flow's route.

use std::time::Duration;

use lagoonhollow_lib::connection::search_budget::SearchBudget;
use lagoonhollow_lib::value::moment::Moment;

/// Agents of the largest fleet.
const FLEET: usize = 6_200;

#[test]
fn one_flow_of_the_largest_fleet_can_be_searched_for_at_once() {
    assert!(SearchBudget::default().spend(FLEET, Moment::default()));
}

// After the loss of a failure domain a home would ask the whole fleet for hundreds of flows.
#[test]
fn lost_flows_do_not_multiply_the_questions_of_a_home() {
    let mut budget = SearchBudget::default();
    let mut asked = 0;
    for ms in 0..60_000 {
        let now = Moment::default() + Duration::from_millis(ms);
        asked += if budget.spend(FLEET, now) { FLEET } else { 0 };
    }
    // What is saved up, 1,000 a second, and one search that overdraws it.
    assert!(asked <= 8_192 + 60 * 1_000 + FLEET, "{asked}");
    assert!(asked >= 60 * 1_000 - FLEET, "{asked}");
}

#[test]
fn a_search_that_asks_nobody_is_always_allowed() {
    let (mut budget, now) = (SearchBudget::default(), Moment::default());
    while budget.spend(FLEET, now) {}
    assert!(budget.spend(0, now));
}
