//! A backend server with slots, a slow warm-up, load shedding, cancellation and
//! deadlines, which records what it ran.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_lib::request::message::Block;
use lagoonhollow_lib::request::message::Method;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_wire::backend;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Maximum number of queued requests; further ones are shed.
const MAX_QUEUE: usize = 256;
/// Number of blocks in a download.
pub const BLOCKS: u32 = 8;
/// Block size exponent (SZX of RFC 7959): blocks of 64 bytes.
const BLOCK_SIZE: u8 = 2;

/// Configuration of a backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Name of its service. Bodies of downloads, channels and notifications start
    /// with it, and so must bodies of requests, or they count as misrouted.
    pub service: String,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Service time of one request after the warm-up.
    pub service_time: Duration,
    /// Time after the start during which requests take four times as long.
    pub warmup: Duration,
}

/// What a backend server ran and counted.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Bodies of the POST requests that were run, in order.
    pub ran: Vec<String>,
    /// Requests that were run although their body names another service.
    pub misrouted: u64,
    /// Requests that were cancelled before they started.
    pub cancelled: u64,
    /// Requests that were refused because of shedding or a full queue.
    pub shed: u64,
    /// Requests that were dropped because their deadline passed before they started.
    pub expired: u64,
    /// Channels (CoAP observations) that are open.
    pub channels: usize,
    /// Requests received, including refused ones but not cancellations.
    pub received: u64,
}

/// A running backend server; dropping it stops the server.
#[derive(Debug)]
pub struct Backend {
    record: Arc<Mutex<Record>>,
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<thread::JoinHandle<()>>,
}

#[derive(Debug)]
enum Command {
    Notify(String),
    Shed(bool),
    Stop,
}

impl Backend {
    /// Starts a backend server at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn spawn(address: SocketAddr, options: BackendOptions) -> io::Result<Self> {
        let record = Arc::new(Mutex::new(Record::default()));
        let (commands, receiver) = mpsc::unbounded_channel();
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let shared = record.clone();
        let serve = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            runtime.block_on(async {
                if let Ok(socket) = UdpSocket::from_std(socket) {
                    Server::open(socket, options, shared).run(receiver).await;
                }
            });
        };
        let thread = thread::Builder::new().name("backend".to_owned()).spawn(serve)?;
        Ok(Self { record, commands, thread: Some(thread) })
    }

    /// Returns a copy of the record so far.
    pub fn record(&self) -> Record {
        lock(&self.record).clone()
    }

    /// Sends a notification on every channel.
    pub fn notify(&self, text: &str) {
        let _ = self.commands.send(Command::Notify(text.to_owned()));
    }

    /// Makes the server refuse further requests, or accept them again.
    ///
    /// Requests that open a channel are accepted in either case.
    pub fn set_shedding(&self, on: bool) {
        let _ = self.commands.send(Command::Shed(on));
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A request that is queued or running.
#[derive(Debug)]
struct Job {
    id: u64,
    request: Request,
    agent: SocketAddr,
    deadline: Option<tokio::time::Instant>,
}

struct Server {
    socket: UdpSocket,
    options: BackendOptions,
    record: Arc<Mutex<Record>>,
    queue: VecDeque<Job>,
    running: BTreeMap<u64, Job>,
    channels: BTreeMap<u64, (Request, SocketAddr)>,
    done: mpsc::UnboundedSender<u64>,
    finished: mpsc::UnboundedReceiver<u64>,
    start: tokio::time::Instant,
    shedding: bool,
}

impl Server {
    fn open(socket: UdpSocket, options: BackendOptions, record: Arc<Mutex<Record>>) -> Self {
        let (done, finished) = mpsc::unbounded_channel();
        Self {
            socket,
            options,
            record,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            channels: BTreeMap::new(),
            done,
            finished,
            start: tokio::time::Instant::now(),
            shedding: false,
        }
    }

    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut buffer = vec![0; 65_535];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, agent)) = received {
                        self.handle(&buffer[..length], agent);
                    }
                }
                id = self.finished.recv() => {
                    if let Some(job) = id.and_then(|id| self.running.remove(&id)) {
                        self.finish(job);
                    }
                }
                command = commands.recv() => match command {
                    Some(Command::Notify(text)) => self.notify(&text),
                    Some(Command::Shed(on)) => self.shedding = on,
                    Some(Command::Stop) | None => return,
                },
            }
            self.start_queued();
        }
    }

    fn handle(&mut self, raw: &[u8], agent: SocketAddr) {
        let Ok((id, request, remaining)) = backend::decode_request(raw) else { return };
        if request.observe == Some(false) && request.method == Method::Get {
            self.cancel(id);
            return;
        }
        lock(&self.record).received += 1;
        if request.observe == Some(true) {
            let body = format!("{}:registered", self.options.service);
            self.channels.insert(id, (request, agent));
            lock(&self.record).channels = self.channels.len();
            self.answer(id, agent, Code::Content, body, None);
            return;
        }
        if self.shedding || self.queue.len() >= MAX_QUEUE {
            lock(&self.record).shed += 1;
            self.answer(id, agent, Code::NotRun(Reason::Shed), String::new(), None);
            return;
        }
        let deadline = remaining.map(|d| tokio::time::Instant::now() + d);
        self.queue.push_back(Job { id, request, agent, deadline });
    }

    fn start_queued(&mut self) {
        while self.running.len() < self.options.slots {
            let Some(job) = self.queue.pop_front() else { return };
            if job.deadline.is_some_and(|d| d < tokio::time::Instant::now()) {
                lock(&self.record).expired += 1;
                continue;
            }
            self.record_run(&job.request);
            let (id, done) = (job.id, self.done.clone());
            let cold = self.start.elapsed() < self.options.warmup;
            let time = self.options.service_time * if cold { 4 } else { 1 };
            tokio::spawn(async move {
                tokio::time::sleep(time).await;
                let _ = done.send(id);
            });
            self.running.insert(id, job);
        }
    }

    fn record_run(&self, request: &Request) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut record = lock(&self.record);
        if !body.is_empty() && !body.starts_with(&self.options.service) {
            record.misrouted += 1;
        }
        if request.method == Method::Post {
            record.ran.push(body);
        }
    }

    fn finish(&self, job: Job) {
        let Job { id, request, agent, .. } = job;
        match (request.method, request.block) {
            (Method::Post, _) => {
                let body = String::from_utf8_lossy(&request.body);
                self.answer(id, agent, Code::Changed, format!("done:{body}"), None);
            }
            (_, block) => {
                let number = block.map_or(0, |b| b.number);
                let more = number + 1 < BLOCKS;
                let block = Block { number, more, size: BLOCK_SIZE };
                let body = download_block(&self.options.service, request.path.as_str(), number);
                self.answer(id, agent, Code::Content, body, Some(block));
            }
        }
    }

    fn cancel(&mut self, id: u64) {
        let before = self.queue.len();
        self.queue.retain(|w| w.id != id);
        self.channels.remove(&id);
        let mut record = lock(&self.record);
        record.cancelled += (before - self.queue.len()) as u64;
        record.channels = self.channels.len();
    }

    fn notify(&self, text: &str) {
        let body = format!("{}:{text}", self.options.service);
        for (id, (_, agent)) in &self.channels {
            self.answer(*id, *agent, Code::Content, body.clone(), None);
        }
    }

    fn answer(&self, id: u64, to: SocketAddr, code: Code, body: String, block: Option<Block>) {
        let body = body.into_bytes().into();
        let answer = Answer { token: Default::default(), code, observe: None, block, body };
        if let Ok(raw) = backend::encode_answer(id, &answer) {
            let _ = self.socket.try_send_to(&raw, to);
        }
    }
}

/// Returns the text of block `number` of the download at `path` of `service`.
pub fn download_block(service: &str, path: &str, number: u32) -> String {
    let text = format!("{service}/{path}#{number}|");
    let size = 1 << (BLOCK_SIZE + 4);
    text.chars().cycle().take(size).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
