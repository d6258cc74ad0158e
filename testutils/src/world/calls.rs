//! Event handling on the simulated network: callers, message delivery and ticks.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Header;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::process::action::Action;
use lagoonhollow_lib::process::gossip::Comparison;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::process::message::Forward;
use lagoonhollow_lib::process::message::Message;
use lagoonhollow_lib::process::message::Mode;
use lagoonhollow_lib::process::message::Via;
use lagoonhollow_lib::request::key::RequestKey;
use lagoonhollow_lib::request::message::Content;
use lagoonhollow_lib::request::message::Method;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::request::token::Token;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::name::Name;
use rand::Rng;

use super::World;
use super::call::Call;
use super::call::LONG_FACTOR;
use super::call::LONG_PATH;
use super::events::Event;
use super::node::content;

/// Time until the first retransmission; it doubles with each further one.
const RETRY_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of transmissions of a request.
const MAX_SENDS: u32 = 5;

impl World {
    /// Returns the flow of caller number `caller` to `service`.
    pub fn flow(&self, protocol: Protocol, caller: u16, service: SocketAddr) -> FlowKey {
        let [a, b] = caller.to_be_bytes();
        let caller = SocketAddr::new(Ipv4Addr::new(10, 250, a, b).into(), 40_000 + caller % 1000);
        FlowKey { protocol, caller, service }
    }

    /// Sends a POST request, which must run at most once.
    pub fn post(&mut self, flow: FlowKey, path: &str) -> RequestKey {
        self.call(flow, Method::Post, path, None, false)
    }

    /// Sends a GET request, which is idempotent.
    pub fn get(&mut self, flow: FlowKey, path: &str) -> RequestKey {
        self.call(flow, Method::Get, path, None, false)
    }

    /// Opens a channel; over TCP its packet also opens the flow.
    pub fn observe(&mut self, flow: FlowKey) -> RequestKey {
        self.call(flow, Method::Get, "alarms", Some(true), true)
    }

    fn call(
        &mut self,
        flow: FlowKey,
        method: Method,
        path: &str,
        observe: Option<bool>,
        opens: bool,
    ) -> RequestKey {
        let last = self.calls.last_id.entry(flow).or_default();
        *last += 1;
        let id = *last;
        let key = RequestKey { flow, id };
        let number = self.calls.by_number.len() as u32;
        self.calls.by_number.push(key);
        let token = Token(number.to_be_bytes().as_slice().into());
        let body = format!("{}#{number}", flow.service).into_bytes().into();
        let (path, block) = (path.into(), None);
        let request = Request { id, token, method, path, observe, block, body };
        let opens = opens && flow.protocol == Protocol::Tcp;
        let (sent, answered) = (self.now, None);
        let (runs, answers) = (Vec::new(), Vec::new());
        let call = Call { request, opens, sent, answered, runs, answers };
        self.calls.all.insert(key, call);
        self.events.push(self.now, Event::Send { key, times: 0 });
        key
    }

    pub(super) fn handle(&mut self, event: Event) {
        let paused = event.process().and_then(|n| self.nodes.get(n)).map(|n| n.paused_until);
        if let Some(until) = paused.filter(|until| *until > self.now) {
            self.events.push(until, event);
            return;
        }
        match event {
            Event::Deliver(envelope) => self.deliver(envelope),
            Event::Tick { name, run } => self.tick(name, run),
            Event::Done { name, run, id, answer } => {
                let now = self.now;
                // A backend server outlives its agent, and its answers reach the next run.
                let late = self.faults.late_copies.is_some();
                if let Some(node) = self.nodes.get_mut(&name).filter(|n| n.run == run || late) {
                    let actions = node.agent.backend(id, answer, now);
                    self.apply_actions(&name, actions);
                }
            }
            Event::Enforce { name, version } => self.enforce(&name, version),
            Event::Send { key, times } => self.transmit(key, times),
            Event::Answered { key, answer } => {
                if let Some(call) = self.calls.all.get_mut(&key) {
                    call.answered.get_or_insert(self.now);
                    call.answers.push(answer);
                }
            }
            Event::Notified { flow, id, answer } => {
                if self.calls.seen_ids.insert((flow, id)) {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    self.calls.notifications.entry(flow).or_default().push(text);
                }
                let header = Header { flow, opens: false, closes: false };
                self.send_packet(header, Content::Acknowledge(id));
            }
        }
    }

    fn transmit(&mut self, key: RequestKey, times: u32) {
        let Some(call) = self.calls.all.get(&key) else { return };
        if !call.answers.is_empty() || times >= MAX_SENDS {
            return;
        }
        let header = Header { flow: key.flow, opens: call.opens, closes: false };
        let content = Content::Request(call.request.clone());
        self.send_packet(header, content);
        let retry_at = self.now + RETRY_TIMEOUT * 2u32.pow(times);
        self.events.push(retry_at, Event::Send { key, times: times + 1 });
    }

    /// Passes a packet to a random entry, as the fabric does.
    fn send_packet(&mut self, header: Header, content: Content) {
        let up: Vec<_> = (0..self.entries.len()).filter(|i| self.entries[*i].up).collect();
        if up.is_empty() {
            return;
        }
        let entry = &mut self.entries[up[self.rng.random_range(0..up.len())]];
        let name = entry.name.clone();
        let version = entry.forwarder.version();
        let Ok(target) = entry.forwarder.forward(&header, self.now) else { return };
        let link = SocketAddr::new(Ipv4Addr::new(10, 240, 0, 1).into(), 7000);
        let via = Via { entry: name.clone(), link };
        // The simulated network has no codec: the bytes only identify the content.
        let raw = self.encode(content);
        let forward = Forward { header, raw, via, seen: self.now, mode: Mode::Route, hops: 0 };
        let message = Message::Forward(forward);
        let (from, to, run) = (name.clone(), target.agent.clone(), Incarnation(0));
        let envelope = Envelope { from, run, to, version, message };
        self.send(&name, &target.agent, Event::Deliver(envelope));
    }

    fn encode(&mut self, content: Content) -> std::sync::Arc<[u8]> {
        let text = match content {
            Content::Request(request) => format!("r{}", request.id),
            Content::Acknowledge(id) => format!("a{id}"),
            Content::Reset(id) => format!("x{id}"),
        };
        text.into_bytes().into()
    }

    fn decode(&self, forward: &Forward) -> Option<Content> {
        let text = std::str::from_utf8(&forward.raw).ok()?;
        let id = text[1..].parse().ok()?;
        match text.as_bytes()[0] {
            b'r' => {
                let key = RequestKey { flow: forward.header.flow, id };
                Some(Content::Request(self.calls.all.get(&key)?.request.clone()))
            }
            b'a' => Some(Content::Acknowledge(id)),
            _ => Some(Content::Reset(id)),
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let now = self.now;
        let to = envelope.to.clone();
        if let Some(at) = self.entries.iter().position(|e| e.name == to) {
            self.deliver_to_entry(at, envelope);
            return;
        }
        let (from, version) = (envelope.from.clone(), envelope.version);
        let Some(current) = self.nodes.get(&to).map(super::node::Node::version) else { return };
        if version > current {
            self.pull(&to, &from, version);
        }
        let content = match &envelope.message {
            Message::Forward(forward) => self.decode(forward),
            _ => None,
        };
        let Some(node) = self.nodes.get_mut(&to) else { return };
        let actions = match (envelope.message, content) {
            (Message::Forward(forward), Some(content)) => {
                node.agent.packet(&from, forward, content, now)
            }
            (Message::Forward(_), None) => Vec::new(),
            (Message::Gossip { control, notices, wants_reply }, _) => {
                for notice in notices.iter().filter(|n| node.gossip.spread(n)) {
                    node.agent.notice(notice);
                }
                if node.gossip.compare(current, version, control, wants_reply) == Comparison::Push {
                    let message = node.gossip.reply();
                    self.send_message(&to, &from, message);
                }
                Vec::new()
            }
            (message, _) => node.agent.message(Envelope { message, ..envelope }, now),
        };
        self.apply_actions(&to, actions);
    }

    fn deliver_to_entry(&mut self, at: usize, envelope: Envelope) {
        let Envelope { from, version, message, .. } = envelope;
        let entry = &mut self.entries[at];
        let name = entry.name.clone();
        let current = entry.forwarder.version();
        entry.forwarder.answered(&from);
        if let Message::Gossip { notices, .. } = message {
            for notice in notices.into_iter().filter(|n| entry.gossip.spread(n)) {
                entry.forwarder.notice(notice);
            }
        }
        if version > current {
            self.pull(&name, &from, version);
        }
    }

    fn tick(&mut self, name: Name, run: Incarnation) {
        let now = self.now;
        if let Some(at) = self.entries.iter().position(|e| e.name == name) {
            self.tick_entry(at);
            self.events.push(now + super::TICK_INTERVAL, Event::Tick { name, run });
            return;
        }
        let Some(node) = self.nodes.get_mut(&name).filter(|n| n.run == run) else { return };
        let actions = node.agent.tick(now);
        let manifest = node.agent.context().manifest.clone();
        let due = node.gossip.due(&manifest, &mut node.rng, now);
        let messages: Vec<_> =
            due.into_iter().map(|b| (b.name.clone(), node.gossip.message())).collect();
        self.apply_actions(&name, actions);
        for (to, message) in messages {
            self.send_message(&name, &to, message);
        }
        self.events.push(now + super::TICK_INTERVAL, Event::Tick { name, run });
    }

    fn tick_entry(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        let (name, version) = (entry.name.clone(), entry.forwarder.version());
        let manifest = self.versions[&version].clone();
        for backend in entry.gossip.due(&manifest, &mut self.rng, self.now) {
            let message = self.entries[at].gossip.message();
            let (from, to, run) = (name.clone(), backend.name.clone(), Incarnation(0));
            let envelope = Envelope { from, run, to, version, message };
            self.send(&name, &backend.name, Event::Deliver(envelope));
        }
    }

    pub(super) fn apply_actions(&mut self, name: &Name, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send_message(name, &to, message),
                Action::Answer { via, flow, id, answer } => {
                    let key = RequestKey { flow, id };
                    self.send(name, &via.entry, Event::Answered { key, answer });
                    self.send_message(name, &via.entry, Message::Ack);
                }
                Action::Notify { via, flow, id, answer } => {
                    let entry = via.entry;
                    if self.entries.iter().any(|e| e.name == entry && e.up) {
                        self.send(name, &entry, Event::Notified { flow, id, answer });
                    }
                }
                Action::Run { id, request, .. } => self.run_request(name, id, request),
                Action::Cancel { id } => {
                    if let Some(node) = self.nodes.get_mut(name) {
                        node.channels.remove(&id);
                    }
                }
                Action::Spread(notice) => {
                    if let Some(node) = self.nodes.get_mut(name) {
                        node.gossip.spread(&notice);
                    }
                }
            }
        }
    }

    fn run_request(&mut self, name: &Name, id: u64, request: Request) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        let run = node.run;
        let mut time = self.service_time.mul_f64(self.rng.random_range(0.5..1.5));
        if request.path.as_str() == LONG_PATH {
            time *= LONG_FACTOR;
        }
        node.worked += time;
        time = time.div_f64(node.speed);
        let text = String::from_utf8_lossy(&request.body).into_owned();
        if request.observe == Some(true) {
            node.channels.insert(id, request);
        } else if let Some(call) = self.calls.by_token(&request.token) {
            call.runs.push(name.clone());
        }
        let answer = content(&format!("done:{text}"));
        let at = self.now + time;
        if let Some(wait) = self.faults.late_copies {
            let answer = answer.clone();
            self.events.push(at + wait, Event::Done { name: name.clone(), run, id, answer });
        }
        self.events.push(at, Event::Done { name: name.clone(), run, id, answer });
    }
}

impl Event {
    /// Returns the process that handles the event, if it may be paused.
    fn process(&self) -> Option<&Name> {
        match self {
            Self::Deliver(envelope) => Some(&envelope.to),
            Self::Tick { name, .. } | Self::Done { name, .. } | Self::Enforce { name, .. } => {
                Some(name)
            }
            Self::Send { .. } | Self::Answered { .. } | Self::Notified { .. } => None,
        }
    }
}
