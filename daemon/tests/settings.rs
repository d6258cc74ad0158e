//! Tests of reading the settings file.

use std::time::Duration;

use lagoonhollow_daemon::process::configuration::Configuration;
use lagoonhollow_daemon::process::packet::settings::Role;
use lagoonhollow_lib::request::warm_up::Allowance;
use lagoonhollow_testutils::property::holds;

const AGENT: &str = "[process]\nfront = packets\nrole = agent\nname = a\ndomain = d\n\
    drain_ms = 300\n[address]\nlink = 10.0.0.1:7720\nadmin = 10.0.0.1:8167\n\
    callers = 10.0.0.1:8172\noutbound = 10.0.0.1:8162\n[backend]\naddress = 10.0.0.1:8165\n\
    service = s\nreuse_seconds = 2\nheartbeat_ms = 1200\n[fleet]\nstore = http://10.0.0.9:8169\n\
    peers = 10.0.0.2:8166,10.0.0.3:8166\n";

#[test]
fn an_agent_of_the_packet_front_end_is_read() {
    let Ok(Configuration::Packets(settings)) = Configuration::parse("f", AGENT) else {
        panic!("not read as packets");
    };
    let Role::Agent(role) = &settings.role else { panic!("not read as an agent") };
    assert_eq!(role.reuse_delay, Duration::from_secs(2));
    assert_eq!(role.entry_ttl, Duration::from_millis(4_100));
    assert_eq!(settings.peers.len(), 2);
    assert!(!settings.first_start);
    assert_eq!(settings.drain_limit, Duration::from_secs(3));
}

#[test]
fn the_limit_for_leaving_backend_servers_is_at_least_a_second() {
    let with =
        |limit: &str| AGENT.replace("[fleet]", &format!("[fleet]\ndrain_limit_ms = {limit}"));
    let Ok(Configuration::Packets(settings)) = Configuration::parse("f", &with("6000")) else {
        panic!("not read as packets");
    };
    assert_eq!(settings.drain_limit, Duration::from_secs(6));
    let findings = Configuration::parse("f", &with("999")).unwrap_err().to_string();
    assert!(findings.contains("[fleet] drain_limit_ms"), "{findings}");
}

/// An unset limit that was taken for a limit of 0.
#[test]
fn the_warm_up_limit_applies_only_if_it_is_set() {
    let allowance = |more: &str| {
        let text = AGENT.replace("[fleet]", &format!("{more}[fleet]"));
        let Ok(Configuration::Packets(settings)) = Configuration::parse("f", &text) else {
            panic!("not read as packets");
        };
        let Role::Agent(role) = settings.role else { panic!("not read as an agent") };
        role.allowance
    };
    assert_eq!(allowance(""), None);
    let both = allowance("warmup_overage = 1.5\nwarmup_slack = 5\n");
    assert_eq!(both, Some(Allowance { overage: 1.5, slack: 5.0 }));
    assert_eq!(allowance("warmup_slack = 5\n"), Some(Allowance { overage: 1.0, slack: 5.0 }));
    let text = AGENT.replace("[fleet]", "warmup_overage = NaN\n[fleet]");
    let findings = Configuration::parse("f", &text).unwrap_err().to_string();
    assert!(findings.contains("[backend] warmup_overage"), "{findings}");
}

#[test]
fn every_finding_is_reported_with_its_line() {
    let text = AGENT
        .replace("drain_ms = 300", "drain_ms = soon")
        .replace("outbound = 10.0.0.1:8162\n", "")
        .replace("reuse_seconds = 2", "reuse_seconds = -1")
        .replace("[fleet]", "[fleet]\nkey = 1");
    let findings = Configuration::parse("f", &text).unwrap_err().to_string();
    for wanted in ["f:6: [process] drain_ms", "[address] outbound", "reuse_seconds", "[fleet] key"]
    {
        assert!(findings.contains(wanted), "{wanted} in\n{findings}");
    }
}

#[test]
fn an_unknown_front_end_is_a_finding() {
    let text = AGENT.replace("front = packets", "front = smoke");
    let findings = Configuration::parse("f", &text).unwrap_err().to_string();
    assert!(findings.contains("f:2: [process] front"), "{findings}");
}

#[test]
fn arbitrary_bytes_never_parse() {
    fn property(bytes: Vec<u8>) -> bool {
        let text = String::from_utf8_lossy(&bytes);
        Configuration::parse("f", &text).is_err()
    }
    holds(property as fn(Vec<u8>) -> bool);
}

#[test]
fn other_processes_reach_the_link_unless_another_address_is_advertised() {
    let advertised = |text: &str| match Configuration::parse("f", text) {
        Ok(Configuration::Packets(settings)) => settings.advertised.to_string(),
        other => panic!("not read as packets: {other:?}"),
    };
    assert_eq!(advertised(AGENT), "10.0.0.1:7720");
    let translated = AGENT.replace("[address]\n", "[address]\nadvertised = 10.9.0.1:7721\n");
    assert_eq!(advertised(&translated), "10.9.0.1:7721");
}
