//! Packets that wait for the end of a search.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::scope::Reach;
use lagoonhollow_lib::connection::scope::Scope;
use lagoonhollow_lib::connection::search::Asking;
use lagoonhollow_lib::connection::search::Search;
use lagoonhollow_lib::connection::searches::Searches;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::roster::Roster;

fn packet(ack: u32) -> Packet {
    let caller = "100.64.0.1:1024".parse().unwrap();
    let service = "198.18.0.1:443".parse().unwrap();
    let flow = FlowKey { protocol: Protocol::Tcp, caller, service };
    let flags = Flags { acks: true, ..Flags::default() };
    Packet { segment: Segment { flow, flags, seq: 1, ack, len: 0, attempt: 0 }, raw: Arc::new([]) }
}

fn searches() -> Searches {
    let agents = BTreeSet::from(["10.0.0.1:7000".parse::<SocketAddr>().unwrap()]);
    let roster = Arc::new(Roster::default());
    let scope = Scope::open(Reach::Fleet, roster, &agents, BTreeSet::new());
    let entry = "10.1.0.1:7000".parse().unwrap();
    let state = Asking { waiting: agents, ..Asking::default() };
    let mut searches = Searches::default();
    let first = packet(1_000);
    let flow = first.segment.flow;
    searches.start(flow, Search::open(scope, entry, first, state, Moment::default()));
    searches
}

#[test]
fn a_packet_of_the_flow_waits_for_the_end_of_its_search() {
    assert!(searches().hold(&packet(2_000)));
}

// The answers to a search for an earlier flow between the same addresses were taken for those about
// a later one, which was reset with its own number.
#[test]
fn a_packet_of_a_later_flow_ends_the_search_for_the_earlier_one() {
    let mut searches = searches();
    let later = packet(3_000_000_000);
    assert!(!searches.hold(&later));
    assert!(!searches.is_searched(&later.segment.flow));
}
