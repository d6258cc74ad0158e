//! Which grants, votes and requests an agent accepts after its start.

use std::time::Duration;

use lagoonhollow_lib::connection::flow::Header;
use lagoonhollow_lib::process::action::Action;
use lagoonhollow_lib::process::agent::Agent;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::process::message::Forward;
use lagoonhollow_lib::process::message::Message;
use lagoonhollow_lib::process::message::Mode;
use lagoonhollow_lib::process::message::Via;
use lagoonhollow_lib::request::grant::Grant;
use lagoonhollow_lib::request::grant::Holder;
use lagoonhollow_lib::request::key::RequestKey;
use lagoonhollow_lib::request::message::Content;
use lagoonhollow_lib::request::message::Method;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::request::witness::Vote;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::docs::Publisher;

const RUN: Incarnation = Incarnation(1_000_000);
const EARLIER: Incarnation = Incarnation(500_000);
const START: Moment = Moment(1_000_000);
const LIFETIME: Duration = Duration::from_secs(8);

struct Fixture {
    agent: Agent,
    peers: Vec<Name>,
}

impl Fixture {
    fn open(members: u16) -> Self {
        let mut doc = docs::numbered(0, members);
        doc.lifetime = LIFETIME;
        let names = docs::names(&doc);
        let mut publisher = Publisher::open();
        publisher.publish(vec![doc]);
        let manifest = publisher.in_force(None).unwrap();
        let service = manifest.service_of(&names[0]).unwrap().clone();
        let agent = Agent::open(names[0].clone(), RUN, manifest, &service, 1, START);
        Self { agent, peers: names[1..].to_vec() }
    }

    fn hear(&mut self, from: &Name, message: Message, now: Moment) -> Vec<Action> {
        let to = self.agent.context().me.clone();
        let run = Incarnation(700_000);
        let envelope = Envelope { from: from.clone(), run, to, version: 1, message };
        self.agent.message(envelope, now)
    }

    fn synced(&mut self, requester: Incarnation, recovering: bool) {
        self.sync_grants(requester, recovering, &[]);
    }

    /// Lets every peer report its grants; the first peers have one grant each.
    fn sync_grants(&mut self, requester: Incarnation, recovering: bool, grants: &[Grant]) {
        for (i, peer) in self.peers.clone().iter().enumerate() {
            let message = Message::Synced {
                version: 1,
                flows: Vec::new(),
                grants: grants.get(i).cloned().into_iter().collect(),
                memberships: Vec::new(),
                former: Vec::new(),
                recovering,
                requester,
            };
            self.hear(peer, message, START);
        }
    }

    fn abstains(&mut self, now: Moment) -> bool {
        self.agent.gauges(now).recovering
    }

    /// Passes a request to the agent that an entry received at `seen`.
    fn report(&mut self, seen: Moment, now: Moment) -> Vec<Action> {
        let caller = "10.9.0.1:4000".parse().unwrap();
        let header = Header::udp(caller, "10.1.0.0:5683".parse().unwrap());
        let link = "10.8.0.1:7000".parse().unwrap();
        let via = Via { entry: "entry-0".into(), link };
        let request = Request {
            id: 7,
            token: Default::default(),
            method: Method::Post,
            path: "report".into(),
            observe: None,
            block: None,
            body: [].into(),
        };
        let forward = Forward { header, raw: [].into(), via, seen, mode: Mode::Delegate, hops: 1 };
        let from = self.peers[0].clone();
        self.agent.packet(&from, forward, Content::Request(request), now)
    }
}

fn vote_requests(actions: &[Action]) -> Vec<Message> {
    let messages = actions.iter().filter_map(|a| match a {
        Action::Send { message, .. } => Some(message.clone()),
        _ => None,
    });
    messages.filter(|m| matches!(m, Message::RequestVote { .. })).collect()
}

fn runs(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Run { .. })).count()
}

#[test]
fn a_witness_grants_at_once_when_every_peer_has_reported_its_grants() {
    let mut fixture = Fixture::open(4);
    assert!(fixture.abstains(START));
    fixture.synced(RUN, false);
    assert!(!fixture.abstains(START));
}

#[test]
fn answers_to_an_earlier_run_end_no_abstention() {
    let mut fixture = Fixture::open(4);
    fixture.synced(EARLIER, false);
    assert!(fixture.abstains(START));
}

#[test]
fn peers_that_have_lost_their_grants_end_no_abstention() {
    let mut fixture = Fixture::open(4);
    fixture.synced(RUN, true);
    assert!(fixture.abstains(START));
    // No request that is still fresh by then can have been granted before the start.
    let later = START + LIFETIME + Duration::from_secs(2);
    assert!(!fixture.abstains(later));
}

/// Returns how a witness that has learned `grants` votes on `key` for `holder`.
fn vote_after(grants: &[Grant], key: RequestKey, holder: &Holder) -> Vote {
    let mut fixture = Fixture::open(4);
    fixture.sync_grants(RUN, false, grants);
    let (from, holder) = (fixture.peers[0].clone(), holder.clone());
    let vote_request = Message::RequestVote { key, holder, seen: START, revisions: vec![1] };
    let votes = fixture.hear(&from, vote_request, START).into_iter().filter_map(|a| match a {
        Action::Send { message: Message::Voted { vote, .. }, .. } => Some(vote),
        _ => None,
    });
    votes.last().expect("a vote")
}

#[test]
fn a_request_that_two_may_hold_is_granted_to_neither() {
    // The first holder is this agent's own earlier run, which may have run the
    // request with the vote that this witness has forgotten.
    let caller = "10.9.0.1:4000".parse().unwrap();
    let flow = Header::udp(caller, "10.1.0.0:5683".parse().unwrap()).flow;
    let key = RequestKey { flow, id: 7 };
    let peers = Fixture::open(4).peers;
    let dead = Holder { agent: "s0-b0".into(), run: EARLIER };
    let alive = Holder { agent: peers[0].clone(), run: Incarnation(700_000) };
    let grant = |holder: &Holder, held| Grant { key, holder: holder.clone(), held };

    let both = [grant(&alive, false), grant(&dead, false)];
    assert_ne!(vote_after(&both, key, &alive), Vote::Granted);
    let reversed = [grant(&dead, false), grant(&alive, false)];
    assert_ne!(vote_after(&reversed, key, &alive), Vote::Granted);
    // A holder that reports its own majority settles the question.
    let held = [grant(&dead, false), grant(&alive, true)];
    assert_eq!(vote_after(&held, key, &alive), Vote::Granted);
    let alone = [grant(&alive, false)];
    assert_eq!(vote_after(&alone, key, &alive), Vote::Granted);
    let dead_alone = [grant(&dead, false)];
    assert_eq!(vote_after(&dead_alone, key, &alive), Vote::Held(dead));
}

#[test]
fn votes_for_an_earlier_run_count_for_nothing() {
    for (requester, started) in [(RUN, 1), (EARLIER, 0)] {
        let mut fixture = Fixture::open(4);
        let requests = vote_requests(&fixture.report(START, START));
        let Some(Message::RequestVote { key, .. }) = requests.first().cloned() else {
            panic!("the witnesses are asked");
        };
        let mut count = 0;
        for peer in fixture.peers.clone() {
            let message = Message::Voted { key, vote: Vote::Granted, requester };
            count += runs(&fixture.hear(&peer, message, START));
        }
        assert_eq!(count, started, "asked by {requester:?}");
    }
}

#[test]
fn a_transmission_taken_a_lifetime_ago_is_dropped() {
    let mut fixture = Fixture::open(4);
    let late = START + LIFETIME + Duration::from_millis(1);
    assert_eq!(vote_requests(&fixture.report(START, late)), []);
    let future = START + Duration::from_millis(1_001);
    assert_eq!(vote_requests(&fixture.report(future, START)), []);
    assert_ne!(vote_requests(&fixture.report(START, START + LIFETIME)), []);
}
