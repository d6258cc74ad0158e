//! The callers of the demo.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_testutils::backend::BLOCKS;
use lagoonhollow_testutils::backend::download_block;
use lagoonhollow_testutils::caller::Caller;
use lagoonhollow_testutils::loopback;

use crate::fleet::Fleet;
use crate::totals::Totals;

/// Callers that keep a channel open and also send reports.
const CHANNEL_CALLERS: usize = 40;
/// Callers that only send reports.
const REPORT_CALLERS: usize = 16;
/// Callers that only download.
const DOWNLOAD_CALLERS: usize = 8;
/// Time between two reports of a caller that only reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// What the callers share with the main thread.
#[derive(Debug, Default)]
struct Shared {
    totals: Mutex<Totals>,
    /// Codes of the answers to reports, by the body of the report.
    outcomes: Mutex<HashMap<String, Code>>,
    open_channels: AtomicU64,
    /// Set when callers are to send no more requests.
    stop: AtomicBool,
    /// Set when callers are to wait no longer for the last notification.
    end: AtomicBool,
}

impl Shared {
    /// Counts a download by whether its content was right; none if it did not end.
    fn count_download(&self, right: Option<bool>) {
        let mut totals = self.totals.lock().unwrap();
        match right {
            Some(true) => totals.downloads += 1,
            Some(false) => totals.wrong_answers += 1,
            None => totals.incomplete += 1,
        }
    }
}

/// All callers, on a thread of their own.
pub struct Workload {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Workload {
    pub fn spawn(addresses: &[(String, SocketAddr)]) -> Self {
        let shared = Arc::new(Shared::default());
        let (ours, addresses) = (shared.clone(), addresses.to_vec());
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            let tasks = tokio::task::LocalSet::new();
            tasks.block_on(&runtime, work(ours, addresses));
        });
        Self { shared, thread: Some(thread) }
    }

    /// Waits until all channels are open, for 10 s at most.
    pub fn wait_for_channels(&self) {
        for _ in 0..500 {
            if self.shared.open_channels.load(Ordering::Relaxed) >= CHANNEL_CALLERS as u64 {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Makes callers send no more requests.
    pub fn stop_work(&self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(500));
    }

    /// Gives the last notification `limit` to arrive, then ends all callers.
    pub fn finish(&self, limit: Duration) {
        thread::sleep(limit);
        self.shared.end.store(true, Ordering::Relaxed);
    }

    /// Waits for the callers and compares what they got with what the backend servers
    /// did.
    pub fn count(mut self, fleet: &Fleet) -> Totals {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let mut totals = self.shared.totals.lock().unwrap().clone();
        let mut runs: HashMap<String, u64> = HashMap::new();
        for record in fleet.records() {
            totals.misrouted += record.misrouted;
            record.ran.into_iter().for_each(|body| *runs.entry(body).or_default() += 1);
        }
        totals.double_runs = runs.values().filter(|n| **n > 1).count() as u64;
        let outcomes = self.shared.outcomes.lock().unwrap();
        let refused = outcomes.iter().filter(|(_, code)| matches!(code, Code::NotRun(_)));
        totals.false_not_run = refused.filter(|(body, _)| runs.contains_key(*body)).count() as u64;
        totals.manifest_seconds = fleet.rollout_seconds.iter().copied().fold(0.0, f64::max);
        totals
    }
}

async fn work(shared: Arc<Shared>, addresses: Vec<(String, SocketAddr)>) {
    let (alarm, firmware) = (addresses[0].clone(), addresses[1].clone());
    let mut tasks = Vec::new();
    for i in 0..CHANNEL_CALLERS {
        tasks.push(tokio::task::spawn_local(hold_channel(shared.clone(), alarm.clone(), i)));
    }
    for i in 0..REPORT_CALLERS {
        tasks.push(tokio::task::spawn_local(report(shared.clone(), alarm.clone(), i)));
    }
    for i in 0..DOWNLOAD_CALLERS {
        tasks.push(tokio::task::spawn_local(download(shared.clone(), firmware.clone(), i)));
    }
    for task in tasks {
        let _ = task.await;
    }
}

/// Keeps a channel open, sends reports over the same flow, and waits for the last
/// notification.
async fn hold_channel(shared: Arc<Shared>, (service, address): (String, SocketAddr), i: usize) {
    let Ok(mut caller) = Caller::connect(loopback::next(), address).await else { return };
    let opened = caller.observe("alarms").await;
    if opened.is_none_or(|a| a.code != Code::Content) {
        shared.totals.lock().unwrap().broken_flows += 1;
        return;
    }
    shared.open_channels.fetch_add(1, Ordering::Relaxed);
    let mut sent = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        post_report(&shared, &mut caller, format!("{service}:c{i}-{sent}")).await;
        sent += 1;
        tokio::time::sleep(REPORT_INTERVAL * 10).await;
    }
    let expected = format!("{service}:last");
    let mut last = false;
    while !last && !shared.end.load(Ordering::Relaxed) {
        let note = caller.notification(Duration::from_millis(200)).await;
        last = note.is_some_and(|n| *n.body == *expected.as_bytes());
    }
    let mut totals = shared.totals.lock().unwrap();
    if last {
        totals.channels += 1;
    } else {
        totals.broken_flows += 1;
    }
}

async fn report(shared: Arc<Shared>, (service, address): (String, SocketAddr), i: usize) {
    let mut sent = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        // Eight reports over each flow.
        let Ok(mut caller) = Caller::connect(loopback::next(), address).await else { return };
        for _ in 0..8 {
            post_report(&shared, &mut caller, format!("{service}:r{i}-{sent}")).await;
            sent += 1;
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }
}

async fn post_report(shared: &Shared, caller: &mut Caller, body: String) {
    let answer = caller.post("report", &body).await;
    let Some(answer) = answer else {
        shared.totals.lock().unwrap().unanswered += 1;
        return;
    };
    let mut totals = shared.totals.lock().unwrap();
    match answer.code {
        Code::Changed if *answer.body == *format!("done:{body}").as_bytes() => totals.reports += 1,
        Code::Changed => totals.wrong_answers += 1,
        Code::NotRun(_) => totals.refused += 1,
        Code::Unknown(_) => totals.unknown += 1,
        _ => totals.wrong_answers += 1,
    }
    drop(totals);
    shared.outcomes.lock().unwrap().insert(body, answer.code);
}

async fn download(shared: Arc<Shared>, (service, address): (String, SocketAddr), i: usize) {
    let whole: String = (0..BLOCKS).map(|n| download_block(&service, "image", n)).collect();
    while !shared.stop.load(Ordering::Relaxed) {
        let Ok(mut caller) = Caller::connect(loopback::next(), address).await else { return };
        let file = caller.download("image").await;
        shared.count_download(file.map(|f| f == whole));
        tokio::time::sleep(REPORT_INTERVAL * (5 + i as u32)).await;
    }
}
