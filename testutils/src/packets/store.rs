//! A test double of the platform's store, with its HTTP interface.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ntex::http::StatusCode;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::Query;
use ntex::web::types::State;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// Header of all answers: how often the store came back from a copy, from 1.
const ERA_HEADER: &str = "Store-Era";

/// Fault that the store simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// None.
    None,
    /// Every request is answered with this HTTP status.
    Status(u16),
    /// Requests are never answered.
    Silent,
    /// Answers are delayed.
    Slow(Duration),
}

#[derive(Clone, Debug)]
struct Item {
    value: Option<Vec<u8>>,
    revision: u64,
}

/// A copy of what the store holds at one time.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

#[derive(Debug)]
struct Data {
    items: BTreeMap<String, Item>,
    revision: u64,
    // Number of times that the store came back from a copy.
    era: u64,
    // Watches from revisions before this one are refused.
    compacted: u64,
    fault: StoreFault,
    page_size: usize,
    calls: u64,
    // How often all open connections went silent, and that number at the first request of
    // each connection.
    silenced: u64,
    connections: HashMap<SocketAddr, u64>,
}

/// Handle of a running store; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    data: Arc<Mutex<Data>>,
    changed: Arc<Notify>,
}

#[derive(Clone, Debug, Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Clone, Debug, Deserialize)]
struct RangeQuery {
    prefix: String,
    #[serde(default)]
    after: String,
}

#[derive(Clone, Debug, Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

impl Store {
    /// Starts a store that listens on `address`, in its own thread.
    ///
    /// # Panics
    ///
    /// Panics if the address can't be bound.
    pub fn bind(address: SocketAddr) -> Self {
        let data = Data {
            items: BTreeMap::new(),
            revision: 1,
            era: 1,
            compacted: 0,
            fault: StoreFault::None,
            page_size: 2,
            calls: 0,
            silenced: 0,
            connections: HashMap::new(),
        };
        let store = Self { data: Arc::new(Mutex::new(data)), changed: Arc::default() };
        let (bound, result) = std::sync::mpsc::channel();
        let state = store.clone();
        std::thread::spawn(move || {
            let system = ntex::rt::System::new("store", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let app = async move || {
                    web::App::new()
                        .state(state.clone())
                        .service(
                            web::resource("/lagoonhollow/kv-key").route(web::get().to(get_key)),
                        )
                        .service(
                            web::resource("/lagoonhollow/kv-range").route(web::get().to(get_range)),
                        )
                        .service(
                            web::resource("/lagoonhollow/kv-watch")
                                .route(web::get().to(watch_prefix)),
                        )
                };
                let server = web::server(app).workers(1).disable_signals().bind(address);
                let server = server.map(|s| s.run());
                bound.send(server.as_ref().map(|_| ()).map_err(|e| e.to_string())).unwrap();
                if let Ok(server) = server {
                    let _ = server.await;
                }
            });
        });
        result.recv().expect("store thread ended").expect("failed to bind the store");
        store
    }

    /// Writes the operator's routes.
    pub fn publish(&self, routes: &[u8]) {
        self.put("op/config", routes);
    }

    /// Writes the order to evacuate a failure domain.
    pub fn evacuate(&self, domain: &str) {
        self.put(&format!("op/evacuate/{domain}"), b"");
    }

    /// Withdraws the order to evacuate a failure domain.
    pub fn restore_domain(&self, domain: &str) {
        self.remove(&format!("op/evacuate/{domain}"));
    }

    /// Writes the registry entry of a backend server.
    pub fn register(&self, name: &str, entry: &[u8]) {
        self.put(&format!("servers/{name}"), entry);
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut data = self.lock();
        data.revision += 1;
        let item = Item { value: Some(value.to_vec()), revision: data.revision };
        data.items.insert(key.to_owned(), item);
        drop(data);
        self.changed.notify_waiters();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut data = self.lock();
        data.revision += 1;
        let revision = data.revision;
        if let Some(item) = data.items.get_mut(key) {
            *item = Item { value: None, revision };
        }
        drop(data);
        self.changed.notify_waiters();
    }

    /// Sets the fault to simulate. Unless it is none, pending watches are
    /// answered with status 503.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
        self.changed.notify_waiters();
    }

    /// Makes all open connections silent for good, without a reset; new ones work.
    pub fn silence(&self) {
        self.lock().silenced += 1;
    }

    /// Sets the largest number of items in one answer.
    pub fn set_page_size(&self, items: usize) {
        self.lock().page_size = items;
    }

    /// Discards the history, so that watches from earlier revisions are refused.
    pub fn compact(&self) {
        let mut data = self.lock();
        data.revision += 1;
        data.compacted = data.revision;
        drop(data);
        self.changed.notify_waiters();
    }

    /// Returns a copy, as the store makes them for itself.
    pub fn copy(&self) -> StoreCopy {
        let data = self.lock();
        StoreCopy { items: data.items.clone(), revision: data.revision }
    }

    /// Makes the store come back from a copy: what was written since is gone, and its
    /// revisions are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut data = self.lock();
        let StoreCopy { items, revision } = copy;
        (data.items, data.revision, data.compacted) = (items, revision, 0);
        data.era += 1;
        drop(data);
        self.changed.notify_waiters();
    }

    /// Returns the keys of all items that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let data = self.lock();
        let held = data.items.iter().filter(|(k, i)| k.starts_with(prefix) && i.value.is_some());
        held.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Returns the number of requests received.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns whether the connection of a request has gone silent.
    fn is_silent(&self, request: &HttpRequest) -> bool {
        let mut data = self.lock();
        let silenced = data.silenced;
        let peer = request.peer_addr();
        peer.is_some_and(|peer| *data.connections.entry(peer).or_insert(silenced) < silenced)
    }

    /// Counts a request and applies the simulated fault; returns the answer if the
    /// fault determines it.
    async fn begin_call(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let (fault, era) = {
            let mut data = self.lock();
            data.calls += 1;
            (data.fault, data.era)
        };
        if self.is_silent(request) {
            return std::future::pending().await;
        }
        match fault {
            StoreFault::None => None,
            StoreFault::Status(status) => {
                let status = StatusCode::from_u16(status).ok()?;
                Some(HttpResponse::build(status).header(ERA_HEADER, era).finish())
            }
            StoreFault::Silent => std::future::pending().await,
            StoreFault::Slow(by) => {
                tokio::time::sleep(by).await;
                None
            }
        }
    }
}

impl Data {
    fn item(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        let value = STANDARD.encode(item.value.as_ref()?);
        Some(json!({
            "key": key, "value": value, "revision": item.revision,
            "create_rev": item.revision, "lease": 0
        }))
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let is_newer =
            |(key, item): &(&String, &Item)| key.starts_with(prefix) && item.revision > after;
        let event = |(key, item): (&String, &Item)| match self.item(key) {
            Some(event) => event,
            None => json!({ "key": key, "revision": item.revision, "tombstone": true }),
        };
        self.items.iter().filter(is_newer).map(event).collect()
    }

    fn answer(&self, status: StatusCode) -> HttpResponse {
        HttpResponse::build(status).header(ERA_HEADER, self.era).finish()
    }

    fn answer_json(&self, body: &Value) -> HttpResponse {
        HttpResponse::Ok().header(ERA_HEADER, self.era).json(body)
    }
}

async fn get_key(
    request: HttpRequest,
    store: State<Store>,
    query: Query<KeyQuery>,
) -> HttpResponse {
    if let Some(answer) = store.begin_call(&request).await {
        return answer;
    }
    let data = store.lock();
    match data.item(&query.key) {
        Some(mut item) => {
            item["current_rev"] = json!(data.revision);
            data.answer_json(&item)
        }
        None => data.answer(StatusCode::NOT_FOUND),
    }
}

async fn get_range(
    request: HttpRequest,
    store: State<Store>,
    query: Query<RangeQuery>,
) -> HttpResponse {
    if let Some(answer) = store.begin_call(&request).await {
        return answer;
    }
    let data = store.lock();
    let keys = data.items.keys().filter(|k| k.starts_with(&query.prefix) && **k > query.after);
    let mut items: Vec<_> = keys.filter_map(|k| data.item(k)).collect();
    let more = items.len() > data.page_size;
    items.truncate(data.page_size);
    let answer = json!({ "items": items, "has_more": more, "current_rev": data.revision });
    data.answer_json(&answer)
}

async fn watch_prefix(
    request: HttpRequest,
    store: State<Store>,
    query: Query<WatchQuery>,
) -> HttpResponse {
    if let Some(answer) = store.begin_call(&request).await {
        return answer;
    }
    let end = Instant::now() + Duration::from_millis(query.wait_ms.min(30_000));
    let era = store.lock().era;
    loop {
        let changed = store.changed.notified();
        if store.is_silent(&request) {
            std::future::pending::<()>().await;
        }
        {
            let data = store.lock();
            // The store cuts the watches of an earlier era when it goes away.
            if data.fault != StoreFault::None || data.era != era {
                return data.answer(StatusCode::SERVICE_UNAVAILABLE);
            }
            if query.after < data.compacted || query.after > data.revision {
                return data.answer(StatusCode::GONE);
            }
            let events = data.events(&query.prefix, query.after);
            if !events.is_empty() || Instant::now() >= end {
                let answer = json!({ "events": events, "current_rev": data.revision });
                return data.answer_json(&answer);
            }
        }
        // After the time-out, the next pass answers without events.
        let _ = timeout_at(end, changed).await;
    }
}
