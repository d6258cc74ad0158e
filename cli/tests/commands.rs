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

/// Returns a configuration with routes and services as JSON texts.
fn configuration(version: u64, routes: &[&str], services: &[&str]) -> String {
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],
            "limits":{{"idle_timeout_ms":15000}}}}"#
    )
}

/// Returns a route with a latency target of 200 ms and a timeout of 1 s.
fn route(name: &str, host: &str, target: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{host}","prefix":"/443/","type":"safe","timeout_ms":1000,
            "target_latency_ms":200,"priority":1,{target}}}"#
    )
}

fn check_config(arguments: &[&str]) -> (Option<i32>, String) {
    let output = run_tool(&[&["check-config"], arguments].concat());
    (output.status.code(), text(&output.stdout) + &text(&output.stderr))
}

/// A configuration with several mistakes must not need one run of the tool for each.
#[test]
fn all_errors_and_warnings_of_a_configuration_are_reported_together() {
    let routes = [
        route("a", "198.18.0.1", r#""service":"s""#),
        route("b", "198.18.0.1", r#""service":"t""#),
        route("c", "198.18.0.2", r#""service":"lost""#),
        route("d", "not-an-address", r#""service":"s""#),
        route(
            "e",
            "198.18.0.3",
            r#""traffic_split":[{"service":"s","weight":0},{"service":"t","weight":1}]"#,
        ),
    ];
    let routes: Vec<_> = routes.iter().map(String::as_str).collect();
    let services = [r#"{"name":"s"}"#, r#"{"name":"t"}"#, r#"{"name":"unused"}"#];
    let path = write_file("mistakes.json", &configuration(7, &routes, &services));
    let (code, output) = check_config(&[&path, "--longest-flow", "10"]);
    assert_eq!(code, Some(2), "{output}");
    for expected in [
        "error    op/config routes[3]: invalid IPv4 address syntax",
        "error    route c: service lost is not configured",
        "warning  route a: never matches: route b has the address 198.18.0.1:443 too",
        "warning  route e: service s has weight 0 and gets no new flows",
        "warning  service unused: no route names it, so it gets no flows",
        "warning  limits: the idle timeout of 15000 ms never applies",
        "version 7: 4 routes, 3 services, 2 errors, 4 warnings",
    ] {
        assert!(output.contains(expected), "{expected} is missing in\n{output}");
    }
}

/// A warning must stop a pipeline only if the operator asks for that.
#[test]
fn warnings_fail_the_check_of_a_configuration_only_if_it_is_strict() {
    let a = route("a", "198.18.0.1", r#""service":"s""#);
    let services = [r#"{"name":"s"}"#, r#"{"name":"unused"}"#];
    let path = write_file("warned.json", &configuration(7, &[&a], &services));
    assert_eq!(check_config(&[&path]).0, Some(0));
    assert_eq!(check_config(&[&path, "--strict"]).0, Some(1));
}

/// An operator must see before publishing that a dropped route ends its flows.
#[test]
fn the_differences_from_the_configuration_in_force_say_what_happens_to_flows() {
    let (a, b) = (
        route("a", "198.18.0.1", r#""service":"s""#),
        route("b", "198.18.0.2", r#""service":"s""#),
    );
    let services = [r#"{"name":"s"}"#];
    let before = write_file("before.json", &configuration(7, &[&a, &b], &services));
    let after = write_file("after.json", &configuration(9, &[&a], &services));
    let (code, output) = check_config(&[&after, "--in-force", &before]);
    assert_eq!(code, Some(0), "{output}");
    assert!(output.contains("change   version: 7 to 9; open flows stay"), "{output}");
    let dropped = "change   route b: dropped (198.18.0.2:443); its open flows end";
    assert!(output.contains(dropped), "{output}");
    let (_, output) = check_config(&[&before, "--in-force", &after]);
    assert!(output.contains("every process ignores it"), "{output}");
}

/// Files that are no configuration must give a short error, not a panic or a wall of text.
#[test]
fn random_bytes_and_files_that_are_too_long_give_a_clear_error() {
    let noise = write_file("noise.json", "\u{1}\u{2}{{{]]");
    let (code, output) = check_config(&[&noise]);
    assert_eq!(code, Some(2));
    assert!(output.contains("is not a configuration") && output.lines().count() == 1, "{output}");
    let long = write_file("long.json", &" ".repeat(20_000_000));
    let (code, output) = check_config(&[&long]);
    assert_eq!(code, Some(2));
    assert!(output.contains("the store takes at most 1048576"), "{output}");
}
