//! The platform's metadata store, read over HTTP/1.1. Backends and the operator write to it
//! directly.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Changes are forgotten after this time.
const HISTORY: Duration = Duration::from_secs(20);
/// Entries of backends that were not renewed for this time are removed.
const LEASE: Duration = Duration::from_millis(3_600);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    renewed: Option<Instant>,
}

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    value: Option<Item>,
}

struct Data {
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    // Revision of the last change that was forgotten.
    forgotten: u64,
    revision: u64,
    // Machines that are turned away, by the number of their listener.
    denied: HashSet<usize>,
    // When each machine last called for changes.
    watched: HashMap<usize, Instant>,
}

#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    /// Starts a store that each machine reaches at an address of its own, so that some can be
    /// turned away.
    pub fn bind(addresses: &[SocketAddr]) -> Self {
        let data = Data {
            items: BTreeMap::new(),
            history: Vec::new(),
            forgotten: 0,
            revision: 100,
            denied: HashSet::new(),
            watched: HashMap::new(),
        };
        let store = Self { data: Arc::new((Mutex::new(data), Condvar::new())) };
        for (machine, address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(address).expect("the store's address is free");
            let accepting = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = accepting.clone();
                    thread::spawn(move || store.serve(stream, machine));
                }
            });
        }
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                leases.expire();
            }
        });
        store
    }

    /// Writes an item; returns the revision, which acknowledges it.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.write(key, value, None)
    }

    /// Writes the entry of a backend, which lapses unless it is written again. `value` has the
    /// field `sequence` last; the entry changes only if more than that does.
    pub fn renew(&self, key: &str, value: &str) -> u64 {
        let own = |text: &str| text.split(",\"sequence\":").next().map(str::to_owned);
        let mut data = self.data.0.lock().unwrap();
        if let Some(item) = data.items.get_mut(key).filter(|i| own(&i.value) == own(value)) {
            item.renewed = Some(Instant::now());
            return item.revision;
        }
        drop(data);
        self.write(key, value, Some(Instant::now()))
    }

    fn write(&self, key: &str, value: &str, renewed: Option<Instant>) -> u64 {
        let mut data = self.data.0.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        let created = data.items.get(key).map_or(revision, |i| i.created);
        let item = Item { value: value.to_owned(), revision, created, renewed };
        data.items.insert(key.to_owned(), item.clone());
        data.history.push(Event {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            value: Some(item),
        });
        self.data.1.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut data = self.data.0.lock().unwrap();
        if data.items.remove(key).is_some() {
            data.revision += 1;
            let revision = data.revision;
            data.history.push(Event {
                at: Instant::now(),
                revision,
                key: key.to_owned(),
                value: None,
            });
            self.data.1.notify_all();
        }
    }

    /// Answers all calls of these machines with 503, pending ones too.
    pub fn turn_away(&self, machines: &[usize]) {
        self.data.0.lock().unwrap().denied = machines.iter().copied().collect();
        self.data.1.notify_all();
    }

    /// Returns the machines that have called for changes within the last two seconds.
    pub fn readers(&self) -> Vec<usize> {
        let data = self.data.0.lock().unwrap();
        let recent = data.watched.iter().filter(|(_, at)| at.elapsed() < Duration::from_secs(2));
        let mut readers: Vec<_> = recent.map(|(machine, _)| *machine).collect();
        readers.sort_unstable();
        readers
    }

    fn expire(&self) {
        let mut data = self.data.0.lock().unwrap();
        while data.history.first().is_some_and(|e| e.at.elapsed() > HISTORY) {
            data.forgotten = data.history.remove(0).revision;
        }
        let late = |i: &Item| i.renewed.is_some_and(|at| at.elapsed() > LEASE);
        let keys: Vec<_> =
            data.items.iter().filter(|(_, i)| late(i)).map(|(k, _)| k.clone()).collect();
        drop(data);
        keys.iter().for_each(|key| self.remove(key));
    }

    fn serve(&self, stream: TcpStream, machine: usize) {
        let Ok(mut out) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if !matches!(input.read_line(&mut line), Ok(n) if n > 0) {
                return;
            }
            loop {
                let mut header = String::new();
                if !matches!(input.read_line(&mut header), Ok(n) if n > 0) {
                    return;
                }
                if header == "\r\n" {
                    break;
                }
            }
            let path = line.split(' ').nth(1).unwrap_or("/");
            let (status, body) = self.answer(path, machine);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str, machine: usize) -> (&'static str, String) {
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let get = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let mut found = pairs.filter(|(n, _)| *n == name);
            found.next().map(|(_, v)| unescape(v)).unwrap_or_default()
        };
        let mut data = self.data.0.lock().unwrap();
        if data.denied.contains(&machine) {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        match call {
            "/lagoonhollow/kv-key" => match data.items.get(&get("key")) {
                Some(item) => {
                    let text = item_json(&get("key"), item);
                    let text = text.trim_end_matches('}');
                    ("200 OK", format!("{text},\"current_rev\":{}}}", data.revision))
                }
                None => ("404 Not Found", "{}".to_owned()),
            },
            "/lagoonhollow/kv-range" => {
                let (prefix, after) = (get("prefix"), get("after"));
                let fits = |k: &str| k.starts_with(&prefix) && k > after.as_str();
                let mut items: Vec<_> = data.items.iter().filter(|(k, _)| fits(k)).collect();
                // A page holds about 500 items or 1 MB, and one item at least.
                let mut bytes = 0;
                let fit = items.iter().take(500).take_while(|(_, item)| {
                    let first = bytes == 0;
                    bytes += item.value.len();
                    first || bytes <= 1 << 20
                });
                let count = fit.count();
                let more = items.len() > count;
                items.truncate(count);
                let items: Vec<_> = items.iter().map(|(k, i)| item_json(k, i)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":{more},\"current_rev\":{}}}",
                    items.join(","),
                    data.revision
                );
                ("200 OK", body)
            }
            "/lagoonhollow/kv-watch" => {
                let prefix = get("prefix");
                let after: u64 = get("after").parse().unwrap_or(0);
                let wait: u64 = get("wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                data.watched.insert(machine, Instant::now());
                loop {
                    if data.denied.contains(&machine) {
                        return ("503 Service Unavailable", "{}".to_owned());
                    }
                    if after < data.forgotten {
                        return ("410 Gone", "{}".to_owned());
                    }
                    let fits = |e: &&Event| e.revision > after && e.key.starts_with(&prefix);
                    let events: Vec<_> = data.history.iter().filter(fits).map(event_json).collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        let body = format!(
                            "{{\"events\":[{}],\"current_rev\":{}}}",
                            events.join(","),
                            data.revision
                        );
                        return ("200 OK", body);
                    }
                    data = self.data.1.wait_timeout(data, end - now).unwrap().0;
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let value = base64(item.value.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{},\"create_rev\":{},\"lease\":{}}}",
        item.revision,
        item.created,
        u8::from(item.renewed.is_some())
    )
}

fn event_json(event: &Event) -> String {
    match &event.value {
        Some(item) => item_json(&event.key, item),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
            event.key, event.revision
        ),
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |w, i| w << 8 | u32::from(*part.get(i).unwrap_or(&0)));
        for i in 0..4 {
            let index = (word >> (18 - 6 * i)) & 63;
            out.push(if i <= part.len() { SET[index as usize] as char } else { '=' });
        }
    }
    out
}
