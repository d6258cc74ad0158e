//! Packets of established flows at an entry whose version of the routes dropped their route.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::hints::Owner;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::front::packet::action::Action;
use lagoonhollow_lib::front::packet::entry::Entry;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::route::Route;
use lagoonhollow_lib::version::route::Share;
use lagoonhollow_lib::version::routes::InForce;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes::Routes;

const AGENT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1)), 7_000);

fn service() -> SocketAddr {
    "198.18.0.1:443".parse().unwrap()
}

/// Puts a version in force that has the route of [`service`], or not.
fn routes(version: u64, has_route: bool, before: &Routes<InForce>) -> Routes<InForce> {
    let route = Route {
        name: "r".into(),
        address: service(),
        shares: vec![Share { service: "s".into(), weight: 1 }],
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(200),
        priority: 1,
        former: Vec::new(),
    };
    let routes = if has_route { vec![route] } else { Vec::new() };
    Routes::open(Published { version, routes, ..Published::default() }).enforce(before)
}

/// Returns an entry whose second version, read at `read_at`, dropped the route of the first.
fn entry(read_at: Moment) -> (Entry, View) {
    let mut entry = Entry::open("d".into(), 7_000, 1, Moment::default());
    let first = routes(1, true, &Routes::default());
    let routes = Arc::new(routes(2, false, &first));
    let view = View { routes, fresh: true, read_at, ..View::default() };
    entry.update_view(view.clone());
    (entry, view)
}

/// Passes a packet of an established flow to the entry; returns whether it resets the flow.
fn resets(entry: &mut Entry, ms: u64) -> bool {
    entry.handle_packet(packet(), Moment::from_millis(ms));
    entry.take_actions().iter().any(|a| matches!(a, Action::Reset { .. }))
}

fn packet() -> Packet {
    let caller = SocketAddr::from(([100, 64, 0, 1], 5_000));
    let flow = FlowKey { protocol: Protocol::Tcp, caller, service: service() };
    let flags = Flags { acks: true, ..Flags::default() };
    let segment = Segment { flow, flags, seq: 10, ack: 101, len: 5, attempt: 0 };
    Packet { segment, raw: vec![0].into() }
}

// Another entry knows a later version that has the route again, and a flow was opened there.
// Its packets then came to this entry, which reset the flow.
#[test]
fn a_flow_that_may_belong_to_a_later_version_is_not_reset() {
    let (mut entry, view) = entry(Moment::from_millis(1_000));
    assert!(!resets(&mut entry, 2_000));
    // An agent names a later version, so this one is not the last, whenever it was read.
    let known = KnownVersions { routes: 3, ..KnownVersions::default() };
    entry.handle_message(
        AGENT,
        known,
        Message::VersionReply { number: 0, age_ms: None },
        Moment(0),
    );
    entry.update_view(View { read_at: Moment::from_millis(2_500), ..view.clone() });
    assert!(!resets(&mut entry, 3_000));
    let routes = Arc::new(routes(3, true, &view.routes));
    entry.update_view(View { routes, ..view });
    assert!(!resets(&mut entry, 3_100));
}

#[test]
fn a_flow_of_a_dropped_route_is_reset_once_the_routes_are_known_to_be_the_present_ones() {
    let (mut entry, view) = entry(Moment::from_millis(1_000));
    assert!(!resets(&mut entry, 2_000));
    entry.update_view(View { read_at: Moment::from_millis(2_100), ..view });
    assert!(resets(&mut entry, 2_200));
}

#[test]
fn a_flow_that_was_opened_through_the_entry_is_reset_when_its_route_is_dropped() {
    let (mut entry, _) = entry(Moment::from_millis(1_000));
    let owner = Owner { link: AGENT, isn: Some(100) };
    let found = Message::Found { flow: packet().segment.flow, owner };
    entry.handle_message(AGENT, KnownVersions::default(), found, Moment::from_millis(1_500));
    assert!(resets(&mut entry, 2_000));
}
