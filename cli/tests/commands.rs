//! Commands that need no running process.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::docs::Publisher;
use lagoonhollow_testutils::fleet::Host;

fn run_tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lagoonhollow"))
        .args(arguments)
        .output()
        .expect("the tool can be started")
}

fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path.to_str().expect("the path is text").to_owned()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn valid_settings_are_confirmed() {
    let settings = Host::open("entry-0").entry_settings("http://127.0.0.1:8080", &[]);
    let path = write_file("right.ini", &settings);
    let output = run_tool(&["check-settings", &path]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout), format!("{path}: right, for the entry entry-0\n"));
}

#[test]
fn three_errors_in_settings_are_reported_together_with_their_lines() {
    let settings = "[process]\nrole = agent\nname = a\ndomain = d\n[address]\n\
                    link = 127.0.0.1\ncontrol = 127.0.0.1:7001\nadmin = 127.0.0.1:7002\n\
                    [fleet]\nkey = 12\nplatform = http://127.0.0.1:8080\n\
                    [backend]\naddress = 127.0.0.1:7003\nspeed = 4\n";
    let path = write_file("wrong.ini", settings);
    let output = run_tool(&["check-settings", &path]);
    assert_eq!(output.status.code(), Some(2));
    let expected = format!(
        "{path}:14: [backend] speed: is not a known key\n\
         {path}:6: [address] link: \"127.0.0.1\" is not an IP address and port\n\
         {path}:10: [fleet] key: the value is not 64 hexadecimal digits\n"
    );
    assert_eq!(text(&output.stderr), expected);
    let output = run_tool(&["--json", "check-settings", &path]);
    let json: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(json["findings"].as_array().map(Vec::len), Some(3));
}

#[test]
fn manifests_are_checked_as_a_whole() {
    let mut publisher = Publisher::open();
    let (index, docs) = publisher.publish(vec![docs::numbered(0, 3), docs::numbered(1, 2)]);
    let json = |docs: &[std::sync::Arc<lagoonhollow_lib::version::doc::Doc>]| {
        let docs: Vec<_> = docs.iter().map(|d| &**d).collect();
        serde_json::json!({ "index": index, "services": docs }).to_string()
    };
    let path = write_file("right.json", &json(&docs));
    let output = run_tool(&["check-manifest", &path]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let expected = format!("{path}: right, version 1 with 2 services and 5 backend servers\n");
    assert_eq!(text(&output.stdout), expected);

    let mut wrong = (*docs[1]).clone();
    wrong.backends[0].slots = 0;
    wrong.address = docs[0].address;
    let path = write_file("wrong.json", &json(&[docs[0].clone(), wrong.into()]));
    let output = run_tool(&["check-manifest", &path]);
    assert_eq!(output.status.code(), Some(2));
    let expected = "service/s1.address: 10.1.0.0:5683 is already used at service/s0.address\n\
                    service/s1.backends[0].slots: must be from 1 to 100000\n";
    assert_eq!(text(&output.stderr), expected);
}

#[test]
fn an_unreachable_process_and_an_invalid_flow_are_errors() {
    let output = run_tool(&["status", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("does not answer"));
    let output = run_tool(&["explain", "127.0.0.1:1", "nonsense"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("is not a flow"));
}
