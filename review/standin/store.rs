//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Items in one page of a range.
const PAGE: usize = 50;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Data {
    items: BTreeMap<String, Item>,
    // Every write, in order.
    history: Vec<(String, Item)>,
    revision: u64,
    // How often all open connections went silent.
    silenced: u64,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    pub fn bind(address: SocketAddrV4) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let data = Data { revision: 40, ..Data::default() };
        let store = Self { data: Arc::new((Mutex::new(data), Condvar::new())) };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.data.0.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        let created = data.items.get(key).map_or(revision, |i| i.created);
        let item = Item { value: value.as_bytes().to_vec(), revision, created };
        data.items.insert(key.to_owned(), item.clone());
        data.history.push((key.to_owned(), item));
        self.data.1.notify_all();
    }

    /// Writes an entry unless it differs from the present one in `sequence` only.
    pub fn beat(&self, key: &str, value: &str) -> bool {
        let rest = |text: &str| {
            text.split_once("\"sequence\":").map(|(before, after)| {
                (before.to_owned(), after.trim_start_matches(char::is_numeric).to_owned())
            })
        };
        let present = self.data.0.lock().unwrap().items.get(key).map(|i| i.value.clone());
        let present = present.map(|v| String::from_utf8_lossy(&v).into_owned());
        let changes = present.is_none_or(|p| rest(&p) != rest(value));
        if changes {
            self.put(key, value);
        }
        changes
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn silence(&self) {
        self.data.0.lock().unwrap().silenced += 1;
    }

    fn silenced(&self) -> u64 {
        self.data.0.lock().unwrap().silenced
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let silenced = self.silenced();
        let mut out = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut header = String::new();
            while input.read_line(&mut header)? > 2 {
                header.clear();
            }
            let path = line.split(' ').nth(1).unwrap_or_default();
            let (status, body) = self.answer(path);
            while self.silenced() != silenced {
                thread::park();
            }
            let length = body.len();
            write!(
                out,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            )?;
        }
    }

    fn answer(&self, path: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let value = |name: &str| {
            let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name);
            pair.map(|(_, v)| unescape(v)).unwrap_or_default()
        };
        match path {
            "/lagoonhollow/kv-key" => self.key(&value("key")),
            "/lagoonhollow/kv-range" => (200, self.range(&value("prefix"), &value("after"))),
            "/lagoonhollow/kv-watch" => {
                let after = value("after").parse().unwrap_or(0);
                let wait = value("wait_ms").parse::<u64>().unwrap_or(0).min(30_000);
                (200, self.watch(&value("prefix"), after, Duration::from_millis(wait)))
            }
            _ => (404, String::new()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let data = self.data.0.lock().unwrap();
        match data.items.get(key) {
            Some(item) => {
                let fields = fields(key, item);
                (200, format!("{{{fields},\"current_rev\":{}}}", data.revision))
            }
            None => (404, String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let data = self.data.0.lock().unwrap();
        let held = |(key, _): &(&String, &Item)| key.starts_with(prefix) && key.as_str() > after;
        let items: Vec<_> = data.items.iter().filter(held).collect();
        let more = items.len() > PAGE;
        let page = items.iter().take(PAGE).map(|(k, i)| format!("{{{}}}", fields(k, i)));
        let page = page.collect::<Vec<_>>().join(",");
        format!("{{\"items\":[{page}],\"has_more\":{more},\"current_rev\":{}}}", data.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut data = self.data.0.lock().unwrap();
        loop {
            let newer =
                |(key, item): &&(String, Item)| key.starts_with(prefix) && item.revision > after;
            let events: Vec<_> = data.history.iter().filter(newer).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let event = |(key, item): &(String, Item)| format!("{{{}}}", fields(key, item));
                let events = events.into_iter().map(event).collect::<Vec<_>>().join(",");
                return format!("{{\"events\":[{events}],\"current_rev\":{}}}", data.revision);
            }
            data = self.data.1.wait_timeout(data, left).unwrap().0;
        }
    }
}

fn fields(key: &str, item: &Item) -> String {
    let value = base64(&item.value);
    let Item { revision, created, .. } = item;
    format!(
        "\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"create_rev\":{created},\"lease\":0"
    )
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let code = bytes.get(i + 1..i + 3).and_then(|h| std::str::from_utf8(h).ok());
        let code = code.and_then(|h| u8::from_str_radix(h, 16).ok());
        match code.filter(|_| bytes[i] == b'%') {
            Some(code) => {
                out.push(code);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let byte = |i: usize| u32::from(part.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= part.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
