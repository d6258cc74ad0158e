//! Prints the encoded length in bytes of each message, at three sizes where the
//! length varies.

use std::net::SocketAddr;

use lagoonhollow_lib::connection::flow::Header;
use lagoonhollow_lib::connection::ownership::Ownership;
use lagoonhollow_lib::process::health::Health;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::process::message::Forward;
use lagoonhollow_lib::process::message::Message;
use lagoonhollow_lib::process::message::Mode;
use lagoonhollow_lib::process::message::Via;
use lagoonhollow_lib::process::notice::Notice;
use lagoonhollow_lib::request::grant::Holder;
use lagoonhollow_lib::request::key::RequestKey;
use lagoonhollow_lib::request::witness::Vote;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::index::Index;
use lagoonhollow_testutils::docs;
use lagoonhollow_wire::seal::FleetKey;

const NOW: u64 = 1_796_000_000_000_000;

fn main() {
    let link: SocketAddr = "10.1.2.3:7000".parse().expect("an address");
    let name = Name::from("pricing-orders-17");
    let flow = Header::udp(link, link).flow;
    let key = RequestKey { flow, id: 1 };
    let holder = Holder { agent: name.clone(), run: Incarnation(NOW) };
    let ownership = Ownership { placed_at: NOW, moves: 0, owner: name.clone() };
    let via = Via { entry: name.clone(), link };
    let health = Health::default();
    let forward = |body: usize| {
        let raw = vec![0; body].into();
        let (header, via, seen) = (Header::udp(link, link), via.clone(), Moment(NOW));
        Message::Forward(Forward { header, raw, via, seen, mode: Mode::Route, hops: 0 })
    };
    let gossip = |count: usize| {
        let notice = Notice { agent: name.clone(), down: true, stamp: NOW };
        Message::Gossip { control: link, notices: vec![notice; count], wants_reply: false }
    };
    let claims = |count: usize| Message::Claims { flows: vec![(flow, ownership.clone()); count] };
    let row = |what: &str, message: Message| println!("{what:<34} {:>8}", sealed(&name, message));
    row("heartbeat", Message::Heartbeat { revision: 1_000_000, health });
    for count in [0, 4, 8] {
        row(&format!("gossip with {count} notices"), gossip(count));
    }
    let seen = Moment(NOW);
    row(
        "request for a vote",
        Message::RequestVote { key, holder, seen, revisions: vec![1_000_000] },
    );
    let (vote, requester) = (Vote::Granted, Incarnation(NOW));
    row("vote", Message::Voted { key, vote, requester });
    row("acknowledgement", Message::Ack);
    for body in [0, 100, 1_000] {
        row(&format!("packet of {body} bytes"), forward(body));
    }
    for count in [1, 100, 3_500] {
        row(&format!("claims of {count} flows"), claims(count));
    }
    for count in [17, 170, 1_700] {
        let services = (0..count).map(|i| (Name::from(format!("service-{i:04}")), 1_000_000));
        let index = Index { version: 1_000_000, services: services.collect() };
        println!("{:<34} {:>8}", format!("index of {count} services, JSON"), json(&index));
    }
    for count in [4, 8, 16] {
        let doc = docs::numbered(1, count);
        println!("{:<34} {:>8}", format!("document of {count} backends, JSON"), json(&doc));
    }
}

fn sealed(name: &Name, message: Message) -> usize {
    let key = FleetKey::open([7; 32]);
    let (from, to, run) = (name.clone(), name.clone(), Incarnation(NOW));
    let envelope = Envelope { from, run, to, version: 1_000_000, message };
    key.seal(&envelope).map_or(0, |bytes| bytes.len())
}

fn json<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}
