//! The platform's configuration service: a read-only HTTP API with a watch by long
//! polling.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_lib::version::index::Index;
use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::types::Path;
use ntex::web::types::Query;
use ntex::web::types::State;
use serde::Deserialize;
use tokio::sync::watch;

use crate::docs::Publisher;

type Published = (Index, Vec<Arc<Doc>>);

/// State shared by the server and its handle.
#[derive(Debug)]
struct Inner {
    published: watch::Sender<Published>,
    // Version that is answered instead of the last published one, if set.
    stale: Mutex<Option<Published>>,
    // First version published; a replica that stopped updating still answers it.
    first: Mutex<Option<Published>>,
    down: Mutex<bool>,
    slow: Mutex<Duration>,
    live: Mutex<BTreeMap<Name, BTreeSet<Name>>>,
    health: Mutex<BTreeMap<Name, &'static str>>,
    calls: AtomicU64,
}

/// A running configuration service with switches that inject faults.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    inner: Arc<Inner>,
    publisher: Mutex<Publisher>,
    server: ntex::server::Server,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

impl Platform {
    /// Starts the service at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn spawn(address: SocketAddr) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            published: watch::Sender::new((Index::default(), Vec::new())),
            stale: Mutex::new(None),
            first: Mutex::new(None),
            down: Mutex::new(false),
            slow: Mutex::new(Duration::ZERO),
            live: Mutex::new(BTreeMap::new()),
            health: Mutex::new(BTreeMap::new()),
            calls: AtomicU64::new(0),
        });
        let shared = inner.clone();
        let (started, result) = std::sync::mpsc::channel();
        thread::spawn(move || {
            let system = ntex::rt::System::new("platform", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                match serve(shared, address) {
                    Ok(server) => {
                        let _ = started.send(Ok(server.clone()));
                        let _ = server.await;
                    }
                    Err(e) => {
                        let _ = started.send(Err(e));
                    }
                }
            });
        });
        let server = result.recv().map_err(io::Error::other)??;
        Ok(Self { address, inner, publisher: Mutex::new(Publisher::open()), server })
    }

    /// Returns the service's base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Publishes the next version of the manifest and returns its number.
    pub fn publish(&self, docs: Vec<Doc>) -> u64 {
        let published = lock(&self.publisher).publish(docs);
        let version = published.0.version;
        lock(&self.inner.first).get_or_insert_with(|| published.clone());
        self.inner.published.send_replace(published);
        version
    }

    /// Returns the documents that were last published.
    pub fn docs(&self) -> Vec<Doc> {
        lock(&self.publisher).docs()
    }

    /// Makes the service answer with status 503, or normally again.
    pub fn set_down(&self, down: bool) {
        *lock(&self.inner.down) = down;
    }

    /// Makes the service keep answering the current version after later ones are
    /// published, or the last published version again.
    pub fn set_stale(&self, stale: bool) {
        let now = self.inner.published.borrow().clone();
        *lock(&self.inner.stale) = stale.then_some(now);
    }

    /// Makes the service answer the first version published from now on.
    pub fn set_stale_at_first(&self) {
        let first = lock(&self.inner.first).clone();
        *lock(&self.inner.stale) = first;
    }

    /// Delays each answer by `delay`, except those of health endpoints.
    pub fn set_slow(&self, delay: Duration) {
        *lock(&self.inner.slow) = delay;
    }

    /// Sets the list of live VMs of a service.
    pub fn set_live(&self, service: &str, names: impl IntoIterator<Item = Name>) {
        lock(&self.inner.live).insert(service.into(), names.into_iter().collect());
    }

    /// Sets the state that the health endpoint of a backend server reports: ok, cold or
    /// draining.
    pub fn set_health(&self, backend: &str, state: &'static str) {
        lock(&self.inner.health).insert(backend.into(), state);
    }

    /// Returns the URL of the health endpoint of a backend server.
    pub fn health_url(&self, backend: &str) -> String {
        format!("{}/health/{backend}", self.url())
    }

    /// Returns the number of requests so far, without those to health endpoints.
    ///
    /// A watch counts once, however long it waits.
    pub fn calls(&self) -> u64 {
        self.inner.calls.load(Ordering::Relaxed)
    }

    /// Stops the service.
    pub fn stop(&self) {
        drop(self.server.stop(false));
    }
}

fn serve(inner: Arc<Inner>, address: SocketAddr) -> io::Result<ntex::server::Server> {
    let app = async move || {
        web::App::new()
            .state(inner.clone())
            .service(web::resource("/index").route(web::get().to(index)))
            .service(web::resource("/service/{name}").route(web::get().to(service)))
            .service(web::resource("/live/{name}").route(web::get().to(live)))
            .service(web::resource("/health/{name}").route(web::get().to(health)))
    };
    Ok(web::server(app).workers(1).disable_signals().bind(address)?.run())
}

async fn index(inner: State<Arc<Inner>>, query: Query<WatchQuery>) -> HttpResponse {
    if let Some(response) = inner.inject_fault().await {
        return response;
    }
    let stale = lock(&inner.stale).clone();
    if let Some((index, _)) = stale {
        return HttpResponse::Ok().json(&index);
    }
    let mut published = inner.published.subscribe();
    let later = published.wait_for(|(index, _)| index.version > query.after);
    let limit = Duration::from_millis(query.wait_ms);
    match tokio::time::timeout(limit, later).await {
        Ok(Ok(published)) => HttpResponse::Ok().json(&published.0),
        _ => HttpResponse::NotModified().finish(),
    }
}

async fn service(inner: State<Arc<Inner>>, name: Path<String>) -> HttpResponse {
    if let Some(response) = inner.inject_fault().await {
        return response;
    }
    let stale = lock(&inner.stale).clone();
    let (_, docs) = stale.unwrap_or_else(|| inner.published.borrow().clone());
    match docs.iter().find(|d| d.service.as_str() == *name) {
        Some(doc) => HttpResponse::Ok().json(&**doc),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn live(inner: State<Arc<Inner>>, name: Path<String>) -> HttpResponse {
    if let Some(response) = inner.inject_fault().await {
        return response;
    }
    let list = lock(&inner.live).get(name.as_str()).cloned();
    HttpResponse::Ok().json(&list.unwrap_or_default())
}

async fn health(inner: State<Arc<Inner>>, name: Path<String>) -> HttpResponse {
    let state = lock(&inner.health).get(name.as_str()).copied().unwrap_or("ok");
    HttpResponse::Ok().json(&serde_json::json!({ "state": state, "load": 0.5 }))
}

impl Inner {
    /// Counts the request and applies the configured delay.
    ///
    /// Returns the error response if the service is down.
    async fn inject_fault(&self) -> Option<HttpResponse> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let slow = *lock(&self.slow);
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        let down = *lock(&self.down);
        down.then(|| HttpResponse::ServiceUnavailable().finish())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
