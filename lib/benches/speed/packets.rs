//! Single decisions of the packet front end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::hints::Owner;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::front::packet::agent::Agent;
use lagoonhollow_lib::front::packet::context::Identity;
use lagoonhollow_lib::front::packet::entry::Entry;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::request::load_meter::Load;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::evacuations::Evacuations;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;
use lagoonhollow_lib::version::roster::Roster;
use lagoonhollow_lib::version::route::Route;
use lagoonhollow_lib::version::route::Share;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes::Routes;

use crate::steps::Step;

const LINK: u16 = 7_720;
const START: Moment = Moment(1_000_000);
/// Flows used in turn.
const FLOWS: u32 = 10_000;
const ENTRY: ([u8; 4], u16) = ([10, 2, 0, 1], LINK);

/// An entry forwards a packet to the owner that it remembers.
pub fn hinted(backends: u16) -> Step {
    let mut entry = entry(backends);
    let owner = Owner { link: link(0), isn: None };
    for i in 0..FLOWS {
        entry.handle_message(owner.link, known(), Message::Found { flow: flow(i), owner }, START);
    }
    Step::open(move |count| {
        entry.handle_packet(data(count), START);
        std::hint::black_box(entry.take_actions());
    })
}

/// An entry chooses the home of an opening flow, and learns that it was accepted.
pub fn opened(backends: u16) -> Step {
    let mut entry = entry(backends);
    Step::open(move |count| {
        let packet = opening(count);
        let flow = packet.segment.flow;
        entry.handle_packet(packet, START);
        std::hint::black_box(entry.take_actions());
        entry.handle_message(link(0), known(), Message::Accepted { flow }, START);
    })
}

/// A home places an opening flow, and receives the owner's claim.
pub fn placed(backends: u16) -> Step {
    let mut agent = agent(backends);
    let load = Load::unknown(4);
    for i in 1..backends {
        let heartbeat = Message::Heartbeat {
            run: Incarnation(u64::from(i)),
            service: "s".into(),
            load,
            accepting: true,
        };
        agent.handle_message(link(i), known(), heartbeat, None, START);
    }
    agent.take_actions();
    Step::open(move |count| {
        let message = Message::Route { service: "s".into(), domain: "d".into(), sole: true };
        let packet = opening(count);
        let flows = vec![(packet.segment.flow, Some(count))];
        agent.handle_message(ENTRY.into(), known(), message, Some(packet), START);
        agent.handle_message(link(1), known(), Message::Claim { flows, load }, None, START);
        std::hint::black_box(agent.take_actions());
    })
}

/// An owner forwards an acknowledgement to its backend server, and one back.
pub fn delivered(backends: u16) -> Step {
    let mut agent = agent(backends);
    let answer = |count| {
        let flags = Flags { opens: true, acks: true, ..Flags::default() };
        Packet { segment: Segment { flags, ack: 2, ..data(count).segment }, raw: Arc::new([]) }
    };
    for i in 0..FLOWS {
        let place = Message::Place { entry: ENTRY.into(), service: "s".into(), firm: true };
        agent.handle_message(link(1), known(), place, Some(opening(i)), START);
        agent.handle_backend_packet(answer(i), START);
    }
    agent.take_actions();
    Step::open(move |count| {
        let deliver = Message::Deliver { entry: ENTRY.into(), direct: true };
        agent.handle_message(ENTRY.into(), known(), deliver, Some(data(count)), START);
        agent.handle_backend_packet(data(count), START);
        std::hint::black_box(agent.take_actions());
    })
}

fn known() -> KnownVersions {
    KnownVersions { routes: 1, roster: 1.into(), evacuations: 1.into() }
}

fn entry(backends: u16) -> Entry {
    let mut entry = Entry::open("d".into(), LINK, 1, START);
    entry.update_view(view(backends));
    entry
}

fn agent(backends: u16) -> Agent {
    let me = Identity {
        link: link(0),
        domain: "d".into(),
        run: Incarnation(7),
        backend: member(0).address,
        service: "s".into(),
        reuse_delay: Duration::from_secs(2),
        entry_ttl: Duration::from_secs(4),
        first_start: true,
        allowance: None,
    };
    let mut agent = Agent::open(me, START);
    agent.update_view(view(backends), START);
    agent
}

fn view(backends: u16) -> View {
    let route = Route {
        name: "r".into(),
        address: service(),
        shares: vec![Share { service: "s".into(), weight: 1 }],
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(150),
        priority: 1,
        former: Vec::new(),
    };
    let idle = Duration::from_secs(15);
    let published = Published { version: 1, idle, routes: vec![route], services: Vec::new() };
    let routes = Routes::open(published).enforce(&Routes::default());
    let roster = Roster::open(1.into(), (0..backends).map(member));
    View {
        routes: routes.into(),
        roster: roster.into(),
        evacuations: Arc::new(Evacuations::open(1.into(), [])),
        fresh: true,
        partial: false,
        read_at: START,
        members_at: START,
    }
}

fn member(i: u16) -> Member {
    Member {
        name: format!("i-{i}").into(),
        service: "s".into(),
        address: SocketAddr::new(link(i).ip(), 8_165),
        domain: "d".into(),
        slots: 4,
        standing: MemberState::Ready,
        warming: Duration::ZERO,
        born: 1,
    }
}

fn link(i: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (i >> 8) as u8, i as u8], LINK))
}

fn service() -> SocketAddr {
    SocketAddr::from(([198, 18, 0, 1], 443))
}

fn flow(count: u32) -> FlowKey {
    let [_, a, b, c] = (count % FLOWS).to_be_bytes();
    let caller = SocketAddr::from(([100, 64 | a, b, c], 40_000));
    FlowKey { protocol: Protocol::Tcp, caller, service: service() }
}

fn opening(count: u32) -> Packet {
    let flags = Flags { opens: true, ..Flags::default() };
    packet(count, flags)
}

/// An acknowledgement that carries no data.
fn data(count: u32) -> Packet {
    packet(count, Flags { acks: true, ..Flags::default() })
}

fn packet(count: u32, flags: Flags) -> Packet {
    let ack = if flags.acks { 2 } else { 0 };
    let segment = Segment { flow: flow(count), flags, seq: 1, ack, len: 0, attempt: 0 };
    Packet { segment, raw: Arc::new([0; 32]) }
}
