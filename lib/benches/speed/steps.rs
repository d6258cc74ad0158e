//! Single decisions that can be repeated any number of times.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::Header;
use lagoonhollow_lib::connection::forwarder::Forwarder;
use lagoonhollow_lib::process::agent::Agent;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::process::message::Forward;
use lagoonhollow_lib::process::message::Message;
use lagoonhollow_lib::process::message::Mode;
use lagoonhollow_lib::process::message::Via;
use lagoonhollow_lib::request::grant::Holder;
use lagoonhollow_lib::request::key::RequestKey;
use lagoonhollow_lib::request::message::Content;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::manifest::InForce;
use lagoonhollow_lib::version::manifest::Manifest;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::docs::Publisher;

/// Grants after which the witness is replaced by one without any.
const MAX_GRANTS: u32 = 50_000;

/// A decision with the state that it needs.
pub struct Step {
    repeat: Box<dyn FnMut(u32)>,
    count: u32,
}

impl Step {
    /// An entry chooses the agent for a packet.
    pub fn route(services: u16, backends: u16) -> Self {
        let manifest = manifest(services, backends);
        let addresses: Vec<_> = manifest.services().map(|s| s.doc.address).collect();
        let names: Vec<Name> = manifest.backends().to_vec();
        let mut forwarder = Forwarder::open(manifest);
        let repeat = move |count: u32| {
            let service = addresses[count as usize % addresses.len()];
            let header = Header::udp(caller(count), service);
            let now = Moment(u64::from(count));
            let _ = std::hint::black_box(forwarder.forward(&header, now));
            // Agents answer, so none is suspected.
            forwarder.answered(&names[count as usize % names.len()]);
        };
        Self::open(repeat)
    }

    /// The home of a new flow places it on itself.
    pub fn open_flow(backends: u16) -> Self {
        let mut agent = settled(backends);
        // The search for callers takes time in proportion to the backend servers.
        let callers = at_home(&agent, 200_000 / usize::from(backends));
        let repeat = move |count: u32| {
            let at = count as usize % callers.len();
            if at == 0 {
                agent = settled(backends);
            }
            let forward = forward(callers[at]);
            let mode = Mode::Place(lagoonhollow_lib::connection::ownership::Ownership {
                placed_at: u64::from(count),
                moves: 0,
                owner: agent.context().me.clone(),
            });
            let from = forward.via.entry.clone();
            let forward = Forward { mode, ..forward };
            let content = Content::Acknowledge(1);
            std::hint::black_box(agent.packet(&from, forward, content, Moment(1)));
        };
        Self::open(repeat)
    }

    /// A witness votes on a new request.
    pub fn grant(backends: u16) -> Self {
        let mut agent = settled(backends);
        let requester = agent.context().peers.names().next().cloned();
        let requester = requester.unwrap_or_else(|| agent.context().me.clone());
        let repeat = move |count: u32| {
            if count % MAX_GRANTS == MAX_GRANTS - 1 {
                agent = settled(backends);
            }
            let flow = Header::udp(caller(count), address()).flow;
            let key = RequestKey { flow, id: 1 };
            let holder = Holder { agent: requester.clone(), run: Incarnation(1) };
            let revisions = vec![1];
            let message = Message::RequestVote { key, holder, seen: later(), revisions };
            let to = agent.context().me.clone();
            let run = Incarnation(1);
            let envelope = Envelope { from: requester.clone(), run, to, version: 1, message };
            std::hint::black_box(agent.message(envelope, later()));
        };
        Self::open(repeat)
    }

    /// A process checks a version and puts it in force.
    pub fn enforce(services: u16) -> Self {
        let mut publisher = Publisher::open();
        publisher.publish((0..services).map(|i| docs::numbered(i, 4)).collect());
        let first = publisher.in_force(None).expect("the documents are right");
        publisher.publish((0..services).map(|i| docs::numbered(i, 4)).collect());
        let repeat = move |_| {
            let _ = std::hint::black_box(publisher.in_force(Some(&first)));
        };
        Self::open(repeat)
    }

    /// An agent with `flows` flows runs what is due.
    pub fn tick(flows: u32) -> Self {
        let mut agent = settled(4);
        let me = agent.context().me.clone();
        for caller in at_home(&agent, flows as usize) {
            let forward = forward(caller);
            let ownership = lagoonhollow_lib::connection::ownership::Ownership {
                placed_at: 1,
                moves: 0,
                owner: me.clone(),
            };
            let from = forward.via.entry.clone();
            let forward = Forward { mode: Mode::Place(ownership), ..forward };
            agent.packet(&from, forward, Content::Acknowledge(1), later());
        }
        let repeat = move |count: u32| {
            let now = later() + Duration::from_millis(20) * count;
            std::hint::black_box(agent.tick(now));
        };
        Self::open(repeat)
    }

    /// Takes the decision once.
    pub fn run(&mut self) {
        self.count += 1;
        (self.repeat)(self.count);
    }

    /// Opens a decision that `repeat` makes once, given how often it was made.
    pub fn open(repeat: impl FnMut(u32) + 'static) -> Self {
        Self { repeat: Box::new(repeat), count: 0 }
    }
}

fn manifest(services: u16, backends: u16) -> Arc<Manifest<InForce>> {
    let mut publisher = Publisher::open();
    publisher.publish((0..services).map(|i| docs::numbered(i, backends)).collect());
    publisher.in_force(None).expect("the documents are right")
}

/// Returns an agent whose abstention is over.
fn settled(backends: u16) -> Agent {
    let manifest = manifest(1, backends);
    let me = manifest.backends()[0].clone();
    let service = manifest.service_of(&me).expect("it is a member").clone();
    let mut agent = Agent::open(me, Incarnation(1), manifest, &service, 1, Moment(1));
    agent.tick(later());
    agent
}

/// Returns callers whose flows have the agent as their home.
fn at_home(agent: &Agent, count: usize) -> Vec<SocketAddr> {
    let me = &agent.context().me;
    let home = |c: &SocketAddr| {
        let flow = Header::udp(*c, address()).flow;
        agent.context().home(&flow).as_ref() == Some(me)
    };
    (0..).map(caller).filter(home).take(count).collect()
}

fn forward(caller: SocketAddr) -> Forward {
    let link = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7000);
    let via = Via { entry: "entry-0".into(), link };
    let header = Header::udp(caller, address());
    Forward { header, raw: [].into(), via, seen: later(), mode: Mode::Route, hops: 0 }
}

fn address() -> SocketAddr {
    docs::numbered(0, 1).address
}

fn caller(count: u32) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0b00_0000 + count / 50_000);
    SocketAddr::new(ip.into(), 10_000 + (count % 50_000) as u16)
}

fn later() -> Moment {
    Moment(1) + Duration::from_secs(1_000)
}
