//! A small deployment on loopback addresses: settings from the template of the deploy files, and
//! the programs as separate processes.

use std::collections::HashMap;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

pub const SERVICE: &str = "core-a";
pub const ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 18, 0, 1), 443);
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Addresses, ports and the temporary folder of one run.
pub struct Site {
    pub folder: PathBuf,
    repository: PathBuf,
    template: String,
    octet: u8,
    base: u16,
    entries: u8,
    agents: u8,
    nodes: HashMap<String, Child>,
}

impl Site {
    /// Chooses ports that are free on all addresses.
    pub fn open(entries: u8, agents: u8) -> Self {
        let repository = PathBuf::from(std::env::var("REPOSITORY").expect("REPOSITORY is set"));
        let template = std::fs::read_to_string(repository.join("deploy/settings.ini"));
        let template = template.expect("the template can be read");
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let nodes = HashMap::new();
        let octet = 64 + (pid % 128) as u8;
        let mut site =
            Self { folder, repository, template, octet, base: 0, entries, agents, nodes };
        for attempt in 0..500 {
            site.base = 21_000 + ((pid.wrapping_mul(37) + attempt * 13) % 1_000 * 10) as u16;
            if site.is_free() {
                return site;
            }
        }
        panic!("no free ports");
    }

    fn is_free(&self) -> bool {
        let ips: Vec<_> = (0..self.entries).map(|i| self.entry_ip(i)).collect();
        let ips = ips.into_iter().chain((0..self.agents).map(|i| self.agent_ip(i)));
        let ips: Vec<_> = ips.chain([Ipv4Addr::LOCALHOST]).collect();
        (0..8).all(|n| {
            let port = self.base + n;
            ips.iter().all(|ip| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        })
    }

    pub fn entry_ip(&self, i: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 1, 10 + i)
    }

    pub fn agent_ip(&self, i: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 2, 10 + i)
    }

    pub fn client_ip(&self, i: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 3, 10 + i)
    }

    /// The address at which machine `number` reaches the store: the entries come first.
    pub fn store(&self, number: u8) -> SocketAddr {
        (Ipv4Addr::new(127, self.octet, 4, 10 + number), self.base).into()
    }

    /// The port of `datagram_addr`, the same on all machines.
    pub fn callers(&self) -> u16 {
        self.base + 1
    }

    pub fn ready(&self, ip: Ipv4Addr) -> SocketAddr {
        (ip, self.base + 2).into()
    }

    pub fn control(&self, ip: Ipv4Addr) -> SocketAddr {
        (ip, self.base + 3).into()
    }

    pub fn outbound(&self, ip: Ipv4Addr) -> SocketAddr {
        (ip, self.base + 4).into()
    }

    pub fn app(&self, ip: Ipv4Addr) -> SocketAddr {
        (ip, self.base + 5).into()
    }

    pub fn internal(&self, ip: Ipv4Addr) -> SocketAddr {
        (ip, self.base + 6).into()
    }

    pub fn zone(&self, i: u8) -> &'static str {
        ZONES[usize::from(i) % ZONES.len()]
    }

    /// Starts or restarts an entry.
    pub fn start_entry(&mut self, i: u8, first: bool) {
        let (name, ip) = (format!("entry-{i}"), self.entry_ip(i));
        let mut fields = self.fields(&name, ip, i, first);
        let control = self.control(ip).to_string();
        fields.insert("listen_addrs.control_plane".into(), control);
        self.start(&name, &fields);
    }

    /// Starts or restarts an agent.
    pub fn start_agent(&mut self, i: u8, service: &str, first: bool) {
        let (name, ip) = (format!("agent-{i}"), self.agent_ip(i));
        let mut fields = self.fields(&name, ip, i, first);
        fields.insert("app".into(), self.app(ip).to_string());
        fields.insert("service".into(), service.into());
        fields.insert("listen_addrs.outbound".into(), self.outbound(ip).to_string());
        self.start(&name, &fields);
    }

    // The fields of DEPLOY.md that the template uses, with the bounds of the small sites.
    fn fields(&self, name: &str, ip: Ipv4Addr, i: u8, first: bool) -> HashMap<String, String> {
        let number = if name.starts_with("entry") { i } else { self.entries + i };
        let seeds: Vec<_> =
            (0..self.entries.min(3)).map(|i| self.control(self.entry_ip(i)).to_string()).collect();
        let list = [
            ("node_name", name.to_owned()),
            ("ip", ip.to_string()),
            ("zone", self.zone(i).to_owned()),
            ("bootstrap", first.to_string()),
            ("internal_ports.0", (self.base + 6).to_string()),
            ("listen_addrs.ready_addr", self.ready(ip).to_string()),
            ("listen_addrs.datagram_addr", format!("{ip}:{}", self.callers())),
            ("bounds.address_reuse_s", "2".to_owned()),
            ("bounds.drain_timeout_ms", "3000".to_owned()),
            ("heartbeat_interval_ms", "1200".to_owned()),
            ("platform.address", self.store(number).to_string()),
            ("seed_addrs", seeds.join(",")),
            ("seed_addrs.0", seeds[0].clone()),
        ];
        list.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
    }

    fn start(&mut self, name: &str, fields: &HashMap<String, String>) {
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, render(&self.template, fields, "")).expect("settings are written");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("the log can be written");
        // The command of the deploy file, with the settings in the temporary folder.
        let child = Command::new(self.repository.join("target/release/lagoonhollowd"))
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log can be shared"))
            .stdout(log)
            .spawn()
            .expect("the program starts; is it built?");
        // So that the script can end the process if this program is ended itself.
        if let Some(path) = std::env::var_os("PIDS") {
            let list = std::fs::File::options().create(true).append(true).open(path);
            let _ = list.and_then(|mut f| writeln!(f, "{}", child.id()));
        }
        if let Some(mut old) = self.nodes.insert(name.to_owned(), child) {
            let _ = old.wait();
        }
    }

    /// Kills a process that this site started.
    pub fn kill(&mut self, name: &str) {
        if let Some(child) = self.nodes.get_mut(name) {
            let _ = child.kill();
        }
    }

    pub fn wait(&mut self, name: &str) {
        if let Some(child) = self.nodes.get_mut(name) {
            let _ = child.wait();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.nodes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Fills in a template: `{{a}}`, `{{#a}} .. {{/a}}` and `{{^a}} .. {{/a}}`, where `{{.}}` is the
/// value of the section.
fn render(template: &str, fields: &HashMap<String, String>, dot: &str) -> String {
    let Some((before, rest)) = template.split_once("{{") else { return template.to_owned() };
    let (tag, rest) = rest.split_once("}}").expect("a placeholder ends");
    let mut out = before.to_owned();
    let rest = match tag.chars().next() {
        Some(kind @ ('#' | '^')) => {
            let name = &tag[1..];
            let (inner, rest) =
                rest.split_once(&format!("{{{{/{name}}}}}")).expect("a section ends");
            let value = fields.get(name).filter(|v| *v != "false");
            if value.is_some() == (kind == '#') {
                out += &render(inner, fields, value.map_or("", |v| v));
            }
            rest
        }
        _ if tag == "." => {
            out += dot;
            rest
        }
        _ => {
            out += fields.get(tag).map_or("", |v| v);
            rest
        }
    };
    out + &render(rest, fields, dot)
}

/// Returns a configuration with one route for each of `routes`: name, address, service.
pub fn config(version: u64, routes: &[(&str, (Ipv4Addr, u16), &str)], services: &[&str]) -> String {
    // New versions change time-outs.
    let timeout = 1_200 + version % 10;
    let route = |(name, (ip, port), service): &(&str, (Ipv4Addr, u16), &str)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{ip}\",\"prefix\":\"/{port}/\",\
             \"service\":\"{service}\",\"type\":\"unsafe\",\"timeout_ms\":{timeout},\
             \"target_latency_ms\":200,\"max_attempts\":1,\"priority\":1}}"
        )
    };
    let routes: Vec<_> = routes.iter().map(route).collect();
    let service = |name: &&str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":2000}}")
    };
    let services: Vec<_> = services.iter().map(service).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":8192,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":2000,\"idle_timeout_ms\":12000}}}}",
        routes.join(","),
        services.join(",")
    )
}
