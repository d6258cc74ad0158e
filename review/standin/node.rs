//! The project's own processes, started as the deploy file says.

use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use crate::record::Record;

const SIGKILL: i32 = 9;

/// Option of `prctl`: a signal for the process when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// A small deployment: its folder, bounds and addresses.
#[derive(Clone)]
pub struct Deployment {
    /// Second octet of all addresses.
    pub number: u8,
    pub folder: PathBuf,
    pub record: Record,
}

impl Deployment {
    /// Opens a deployment whose loopback addresses are free.
    pub fn open(folder: &Path, record: &Record) -> Option<Self> {
        let first = 40 + (std::process::id() % 160) as u8;
        let free = |number: &u8| {
            let store = SocketAddrV4::new(Ipv4Addr::new(127, *number, 9, 1), 8_169);
            std::net::TcpListener::bind(store).is_ok()
        };
        let number = (first..=250).chain(40..first).find(free)?;
        Some(Self { number, folder: folder.to_owned(), record: record.clone() })
    }

    pub fn ip(&self, group: u8, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.number, group, index as u8 + 1)
    }

    pub fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(9, 0), 8_169)
    }

    /// Address of a backend, on the machine of its node.
    pub fn app(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(1, index), 8_165)
    }

    pub fn outbound(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(1, index), 8_162)
    }

    /// Address at which a frontend machine gets the packets of clients.
    pub fn packets(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(2, index), 8_172)
    }

    pub fn ready(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, 8_167)
    }

    pub fn client(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(3, index), 8_172)
    }

    /// Starts the node of a frontend machine.
    pub fn start_entry(&self, index: usize, first_start: bool) -> Node {
        let ip = self.ip(2, index);
        let fields = vec![("listen_addrs.control_plane", format!("{ip}:8166"))];
        self.start(&format!("frontend-{index}"), ip, first_start, fields)
    }

    /// Starts the node of a side machine.
    pub fn start_agent(&self, index: usize, service: &str, first_start: bool) -> Node {
        let ip = self.ip(1, index);
        let fields = vec![
            ("listen_addrs.outbound", self.outbound(index).to_string()),
            ("app", self.app(index).to_string()),
            ("service", service.to_owned()),
        ];
        self.start(&format!("side-{index}"), ip, first_start, fields)
    }

    fn start(
        &self,
        name: &str,
        ip: Ipv4Addr,
        first_start: bool,
        mut fields: Vec<(&'static str, String)>,
    ) -> Node {
        let seeds: Vec<_> = (0..2).map(|i| format!("{}:8166", self.ip(2, i))).collect();
        fields.extend([
            ("node_name", name.to_owned()),
            ("zone", "z".to_owned()),
            ("ip", ip.to_string()),
            ("bootstrap", first_start.to_string()),
            ("internal_ports.0", "7720".to_owned()),
            ("listen_addrs.ready_addr", format!("{ip}:8167")),
            ("listen_addrs.datagram_addr", format!("{ip}:8172")),
            ("seed_addrs", seeds.join(",")),
            ("seed_addrs.0", seeds[0].clone()),
            ("platform.address", self.store().to_string()),
            ("heartbeat_interval_ms", "1200".to_owned()),
            ("bounds.address_reuse_s", "2".to_owned()),
            ("bounds.drain_timeout_ms", "3000".to_owned()),
        ]);
        let template = std::fs::read_to_string("deploy/settings.ini").expect("the template");
        let settings = self.folder.join(format!("{name}.conf"));
        let text = render(&template, &fields, "");
        File::create(&settings).and_then(|mut f| f.write_all(text.as_bytes())).expect("settings");
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new("target/release/lagoonhollowd");
        command.arg("--settings").arg(&settings).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        let ends_with_parent = || {
            // SAFETY: `prctl` is a plain system call, which is allowed after `fork`.
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
            Ok(())
        };
        // SAFETY: the closure allocates nothing and takes no lock.
        unsafe { command.pre_exec(ends_with_parent) };
        let child = command.spawn().expect("lagoonhollowd starts");
        self.record.line(format!("START {name}"));
        Node { name: name.to_owned(), ip, child }
    }
}

/// A running process, which is killed when the value is dropped.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Fills in the template of the settings.
fn render(text: &str, fields: &[(&str, String)], current: &str) -> String {
    let Some((before, rest)) = text.split_once("{{") else { return text.to_owned() };
    let (name, rest) = rest.split_once("}}").expect("a placeholder ends");
    let value = |name: &str| {
        let field = fields.iter().find(|(key, _)| *key == name);
        field.map(|(_, v)| v.as_str()).filter(|v| *v != "false" && !v.is_empty())
    };
    let Some(section) = name.strip_prefix(['#', '^']) else {
        let field = fields.iter().find(|(key, _)| *key == name).map(|(_, v)| v.as_str());
        let field = if name == "." { current } else { field.unwrap_or_default() };
        return format!("{before}{field}{}", render(rest, fields, current));
    };
    let end = format!("{{{{/{section}}}}}");
    let (inner, after) = rest.split_once(&end).expect("a section ends");
    let inner = match (name.starts_with('#'), value(section)) {
        (true, Some(value)) => render(inner, fields, value),
        (false, None) => render(inner, fields, current),
        _ => String::new(),
    };
    format!("{before}{inner}{}", render(after, fields, current))
}
