//! Registry entries of another writer, as the users' platform allows them.

use serde_json::json;

/// Levels of a value that is nested more deeply than a thread's stack bears.
const DEPTH: usize = 200_000;

/// Returns registry entries that no backend server wrote, each as key and value.
pub fn odd_entries() -> Vec<(String, Vec<u8>)> {
    let valid = json!({
        "service": "alarm", "address": "127.45.11.9:8165", "zone": "d-0", "version": "v1",
        "max_concurrency": 4, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1
    });
    let with = |field: &str, value: &str| {
        let text = valid.to_string();
        let name = format!("\"{field}\":");
        let (head, rest) = text.split_once(&name).expect("the field is there");
        let end = rest.find([',', '}']).expect("the value ends");
        let key = format!("servers/i-{field}-{}", &value[..value.len().min(8)]);
        (key, format!("{head}{name}{value}{}", &rest[end..]).into_bytes())
    };
    let deep = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let long = format!("\"{}\"", "x".repeat(100_000));
    let mut entries = vec![
        with("service", &deep),
        with("sequence", &deep),
        with("born", "1e999"),
        with("born", "18446744073709551616"),
        with("max_concurrency", "4294967296"),
        with("max_concurrency", &long),
        with("warmup_left_ms", "-1"),
        with("address", "\"127.45.11.9:99999\""),
        ("servers/i-bytes".to_owned(), vec![0xff, 0x00, 0xfe]),
        ("servers/i-nested".to_owned(), format!("{{\"extra\":{deep}}}").into_bytes()),
    ];
    for key in
        ["servers/a b", "servers/a&prefix=op/", "servers/a#b", "servers/%zz", "servers/\u{e4}/?"]
    {
        entries.push((key.to_owned(), b"{}".to_vec()));
    }
    entries
}

/// Returns a registry entry with a value of `length` bytes where a number belongs.
pub fn long_entry(length: usize) -> Vec<u8> {
    json!({"max_concurrency": "x".repeat(length)}).to_string().into_bytes()
}
