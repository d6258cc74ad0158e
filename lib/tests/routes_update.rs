//! Processes that read only what changed have the same routes as those that read all.

use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::version::route::Route;
use lagoonhollow_lib::version::route::Share;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes::Routes;
use lagoonhollow_lib::version::routes_history::RoutesHistory;
use lagoonhollow_lib::version::routes_update::RoutesUpdate;

fn route(i: u8, timeout: u64) -> Route {
    Route {
        name: format!("r-{i}").into(),
        address: format!("198.18.0.{i}:443").parse().unwrap(),
        shares: vec![Share { service: "s".into(), weight: 1 }],
        timeout: Duration::from_millis(timeout),
        target_latency: Duration::from_millis(200),
        priority: 1,
        former: Vec::new(),
    }
}

fn published(version: u64, routes: Vec<Route>) -> Published {
    Published { version, idle: Duration::from_secs(15), routes, services: Vec::new() }
}

fn history(versions: &[Published]) -> RoutesHistory {
    let mut history = RoutesHistory::default();
    let mut last = Routes::default();
    for version in versions {
        last = Routes::open(version.clone()).enforce(&last);
        history.add(Arc::new(last.clone()));
    }
    history
}

/// A reader of changes must not keep a dropped route, or miss a changed one.
#[test]
fn changes_lead_to_the_same_routes_as_the_whole() {
    let first = published(3, (0..100).map(|i| route(i, 1_000)).collect());
    let mut routes: Vec<_> = (1..100).map(|i| route(i, 1_000)).collect();
    routes[7].timeout = Duration::from_millis(900);
    routes.push(route(200, 1_000));
    let second = published(5, routes.clone());
    let update = history(&[first.clone(), second]).update_since(3);
    let Some(RoutesUpdate::Changes(changes)) = update else { panic!("{update:?}") };
    assert_eq!((changes.set.len(), changes.dropped.len()), (2, 1));
    let mut applied = changes.apply(&first).expect("they follow the first version");
    applied.routes.sort_by_key(|r| r.address);
    assert_eq!(applied.version, 5);
    assert_eq!(applied.routes, routes);
}

/// Changes that follow another version than the reader has would lose what lies between.
#[test]
fn changes_apply_only_to_the_version_that_they_follow() {
    let versions: Vec<_> = (1..4).map(|v| published(v, vec![route(v as u8, 1_000)])).collect();
    let update = history(&versions).update_since(2);
    let Some(RoutesUpdate::Changes(changes)) = update else { panic!("{update:?}") };
    assert_eq!(changes.apply(&versions[0]), None);
}

/// A process that has just started, or was away for long, must get everything.
#[test]
fn a_process_that_is_far_behind_gets_all_routes() {
    let versions: Vec<_> = (1..20).map(|v| published(v, vec![route(1, v)])).collect();
    let history = history(&versions);
    for known in [0, 2] {
        assert!(matches!(history.update_since(known), Some(RoutesUpdate::Whole(_))));
    }
    assert_eq!(history.update_since(19), None);
}
