//! End-to-end tests: separate processes on loopback addresses, with and without
//! failures.

mod common;

use std::time::Duration;

use common::Fleet;
use lagoonhollow_lib::connection::flow::Header;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::process::message::Forward;
use lagoonhollow_lib::process::message::Message;
use lagoonhollow_lib::process::message::Mode;
use lagoonhollow_lib::process::message::Via;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_lib::request::message::Method;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_testutils::backend::BLOCKS;
use lagoonhollow_testutils::backend::download_block;
use lagoonhollow_testutils::caller::Caller;
use lagoonhollow_testutils::fleet::FLEET_KEY;
use lagoonhollow_testutils::loopback;
use lagoonhollow_wire::caller::encode_request;
use lagoonhollow_wire::seal::FleetKey;
use nix::sys::signal::Signal;

const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "current_thread")]
async fn reports_channels_and_downloads_are_served() {
    let fleet = Fleet::spawn(2, 3);
    fleet.wait_until_granting();
    let address = fleet.service.doc.address;
    let mut caller = Caller::connect(loopback::next(), address).await.unwrap();

    let answer = caller.post("report", "alarm:r1").await.expect("an answer to the report");
    assert_eq!(answer.code, Code::Changed);
    assert_eq!(&*answer.body, b"done:alarm:r1");
    assert_eq!(fleet.run_count("alarm:r1"), 1);

    let first = caller.observe("alarms").await.expect("an answer to the registration");
    assert_eq!(first.code, Code::Content);
    fleet.notify("flood");
    let note = caller.notification(NOTIFICATION_TIMEOUT).await.expect("a notification");
    assert_eq!(&*note.body, b"alarm:flood");

    let file = caller.download("firmware").await.expect("a download");
    let whole: String = (0..BLOCKS).map(|n| download_block("alarm", "firmware", n)).collect();
    assert_eq!(file, whole);
    fleet.stop();
}

#[tokio::test(flavor = "current_thread")]
async fn status_and_explain_describe_a_flow() {
    let fleet = Fleet::spawn(1, 3);
    fleet.wait_until_granting();
    let address = fleet.service.doc.address;
    let mut caller = Caller::connect(loopback::next(), address).await.unwrap();
    let flow = caller.address().unwrap();
    caller.observe("alarms").await.expect("an answer");

    let by_entry = fleet.entries[0].explain(flow, address).expect("the entry explains");
    assert_eq!(by_entry.service.as_deref(), Some("alarm"));
    assert_eq!(by_entry.ranks.len(), 3);
    let home = fleet.agents.iter().find(|a| a.host.name == by_entry.ranks[0]).expect("the home");
    let by_home = home.explain(flow, address).expect("the home explains");
    assert_eq!(by_home.ranks, by_entry.ranks, "entry and agent agree");
    assert_eq!(by_home.owner.as_deref(), Some(by_entry.ranks[0].as_str()));
    fleet.wait_until(|_| home.held("channels") == Some(1));
    let metrics = home.metrics().expect("metrics");
    assert!(metrics.contains("lagoonhollow_reasons_total{reason=\"forged\"}"), "{metrics}");
    fleet.stop();
}

#[tokio::test(flavor = "current_thread")]
async fn forged_misdirected_and_looping_datagrams_are_dropped_and_counted() {
    let fleet = Fleet::spawn(1, 3);
    fleet.wait_until_granting();
    let agent = &fleet.agents[0];
    let socket = std::net::UdpSocket::bind((loopback::next(), 0)).unwrap();
    let key = FleetKey::parse(FLEET_KEY).unwrap();
    let message = |to: &str, hops| {
        let caller = socket.local_addr().unwrap();
        let header = Header::udp(caller, fleet.service.doc.address);
        let via = Via { entry: "nobody".into(), link: caller };
        let raw = encode_request(&get_request()).unwrap().into();
        let seen = Moment(u64::MAX / 2);
        let message = Message::Forward(Forward { header, raw, via, seen, mode: Mode::Route, hops });
        let (from, run) = ("nobody".into(), Incarnation(1));
        let envelope = Envelope { from, run, to: to.into(), version: 0, message };
        key.seal(&envelope).unwrap()
    };
    let mut forged = message(&agent.host.name, 0);
    forged[40] ^= 1;
    let misdirected = message("another", 0);
    let looping = message(&agent.host.name, 99);
    fleet.wait_until(|_| {
        for raw in [&forged, &misdirected, &looping] {
            socket.send_to(raw, agent.host.link()).unwrap();
        }
        let reasons = agent.status().map(|s| s.reasons).unwrap_or_default();
        ["forged", "wrong_service", "looping"].iter().all(|r| reasons.contains_key(*r))
    });
    assert!(
        fleet.backends.iter().all(|b| b.record().received == 0),
        "no request reached a backend server"
    );
    fleet.stop();
}

#[tokio::test(flavor = "current_thread")]
async fn reports_survive_a_killed_entry_and_a_paused_agent() {
    let mut fleet = Fleet::spawn(3, 4);
    fleet.wait_until_granting();
    let address = fleet.service.doc.address;
    let mut callers = Vec::new();
    for _ in 0..12 {
        callers.push(Caller::connect(loopback::next(), address).await.unwrap());
    }
    let mut outcomes = Vec::new();
    for round in 0..12 {
        match round {
            2 => {
                fleet.entries[2].signal(Signal::SIGKILL);
                fleet.entries.truncate(2);
                fleet.fabric.spray(2).unwrap();
            }
            4 => fleet.agents[1].signal(Signal::SIGSTOP),
            8 => fleet.agents[1].signal(Signal::SIGCONT),
            _ => {}
        }
        let posts = callers.iter_mut().enumerate().map(|(i, caller)| async move {
            let body = format!("alarm:c{i}-{round}");
            let answer = caller.post("report", &body).await;
            (body, answer)
        });
        outcomes.extend(futures_util::future::join_all(posts).await);
    }
    let mut done = 0;
    for (body, answer) in outcomes {
        let runs = fleet.run_count(&body);
        assert!(runs <= 1, "{body} ran {runs} times");
        let Some(answer) = answer else { continue };
        match answer.code {
            Code::Changed => {
                assert_eq!((runs, &*answer.body), (1, format!("done:{body}").as_bytes()));
                done += 1;
            }
            Code::NotRun(_) => assert_eq!(runs, 0, "{body} was refused as not run"),
            _ => {}
        }
    }
    assert!(done > 0, "no report was accepted");
}

#[tokio::test(flavor = "current_thread")]
async fn a_planned_stop_hands_its_channels_over() {
    let mut fleet = Fleet::spawn(2, 3);
    fleet.wait_until_granting();
    let address = fleet.service.doc.address;
    let mut callers = Vec::new();
    for _ in 0..12 {
        let mut caller = Caller::connect(loopback::next(), address).await.unwrap();
        caller.observe("alarms").await.expect("a channel");
        callers.push(caller);
    }
    let stopped = fleet.agents.remove(0);
    stopped.signal(Signal::SIGTERM);
    assert_eq!(stopped.wait(), Some(0));
    fleet.wait_until(|f| {
        let channels = f.agents.iter().filter_map(|a| a.held("channels"));
        channels.sum::<u64>() == 12
    });
    // The second notification is sent only once the first is acknowledged, so this
    // covers both directions.
    for text in ["first", "second"] {
        fleet.notify(text);
        for (i, caller) in callers.iter_mut().enumerate() {
            let expected = format!("alarm:{text}");
            let mut got = false;
            while !got {
                let note = caller.notification(NOTIFICATION_TIMEOUT).await;
                let note = note.unwrap_or_else(|| panic!("caller {i} gets {text}"));
                got = *note.body == *expected.as_bytes();
            }
        }
    }
}

#[tokio::test(flavor = "current_thread")]
async fn an_agent_starts_from_its_peers_while_the_platform_is_down() {
    let mut fleet = Fleet::spawn(1, 3);
    fleet.wait_until_granting();
    fleet.platform.set_down(true);
    let host = fleet.agents[2].host.clone();
    fleet.agents[2].signal(Signal::SIGKILL);
    fleet.agents.truncate(2);
    fleet.spawn_agent(host);
    fleet.wait_until(|f| f.agents[2].status().is_some_and(|s| s.version == 1));
    fleet.wait_until_granting();
    let address = fleet.service.doc.address;
    let mut caller = Caller::connect(loopback::next(), address).await.unwrap();
    let answer = caller.post("report", "alarm:r1").await.expect("an answer");
    assert_eq!(answer.code, Code::Changed);
}

#[test]
fn a_stale_platform_does_not_roll_the_version_back() {
    let mut fleet = Fleet::spawn(1, 2);
    let mut docs = fleet.platform.docs();
    docs[0].backends[0].weight = 50;
    fleet.platform.publish(docs);
    fleet.wait_until(|f| f.all(|p| p.status().is_some_and(|s| s.version == 2)));
    fleet.platform.set_stale_at_first();
    // A process that starts now gets the old version from the platform and the
    // latest one from its peers.
    fleet.spawn_entry(common::new_entry());
    let current = |p: &common::Process| p.status().is_some_and(|s| s.version == 2);
    fleet.wait_until(|f| f.all(current));
    let stale =
        |p: &common::Process| p.status().is_some_and(|s| s.reasons.contains_key("stale_manifest"));
    fleet.wait_until(|f| f.entries.iter().any(stale));
    assert!(fleet.all(current), "a process went back to an older version");
}

#[test]
fn a_bad_manifest_changes_nothing_and_is_counted() {
    let fleet = Fleet::spawn(1, 2);
    let mut docs = fleet.platform.docs();
    docs[0].backends[0].weight = 0;
    fleet.platform.publish(docs.clone());
    fleet.wait_until(|f| {
        let counted = |p: &common::Process| {
            p.status().is_some_and(|s| s.reasons.contains_key("bad_manifest"))
        };
        f.all(counted)
    });
    assert!(fleet.all(|p| p.status().is_some_and(|s| s.version == 1)));
    docs[0].backends[0].weight = 50;
    fleet.platform.publish(docs);
    fleet.wait_until(|f| f.all(|p| p.status().is_some_and(|s| s.version == 3)));
}

fn get_request() -> Request {
    Request {
        id: 1,
        token: Default::default(),
        method: Method::Get,
        path: "level".into(),
        observe: None,
        block: None,
        body: [].into(),
    }
}
