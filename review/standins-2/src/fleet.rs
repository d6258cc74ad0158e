//! A store, backends, agents and entries of a small deployment.

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::Record;
use crate::backend::Backend;
use crate::backend::Plan;
use crate::router::Router;
use crate::router::is_ready;
use crate::site;
use crate::site::Site;
use crate::store::Store;
use crate::unix_ms;

/// Traffic starts this time after the machines do.
const LEAD: Duration = Duration::from_secs(10);

pub struct Fleet {
    pub site: Site,
    pub store: Store,
    pub router: Router,
    pub backends: Vec<Option<Backend>>,
}

impl Fleet {
    /// Starts everything but the backends in `without`; returns none if it isn't ready in time.
    pub fn open(entries: u8, agents: u8, without: &[u8], record: &Record) -> Option<Self> {
        let site = Site::open(entries, agents);
        let addresses: Vec<_> = (0..entries + agents).map(|n| site.store(n)).collect();
        let store = Store::bind(&addresses);
        let routes = [("report", site::ROUTE, site::SERVICE)];
        store.put("op/config", &site::config(7, &routes, &[site::SERVICE]));
        let addresses: Vec<_> = (0..entries)
            .map(|i| {
                let ip = site.entry_ip(i);
                ((ip, site.callers()).into(), site.ready(ip))
            })
            .collect();
        let router = Router::open(&addresses);
        let mut fleet = Self { site, store, router, backends: Vec::new() };
        for i in 0..agents {
            let plan = fleet.plan(i, site::SERVICE, unix_ms());
            let start = || Backend::start(plan, &fleet.store, record, 100 + u64::from(i));
            let backend = (!without.contains(&i)).then(start);
            fleet.backends.push(backend);
        }
        let started = Instant::now();
        (0..agents).for_each(|i| fleet.site.start_agent(i, site::SERVICE, true));
        (0..entries).for_each(|i| fleet.site.start_entry(i, true));
        let begun = Instant::now();
        let site = &fleet.site;
        let all = || (0..agents).all(|i| is_ready(site.ready(site.agent_ip(i))));
        while fleet.router.ready() < usize::from(entries) || !all() {
            if begun.elapsed() > Duration::from_secs(15) {
                record.line("not all nodes are ready");
                return None;
            }
            sleep(Duration::from_millis(100));
        }
        record.line("all nodes are ready");
        sleep(LEAD.saturating_sub(started.elapsed()));
        Some(fleet)
    }

    pub fn plan(&self, i: u8, service: &str, born: u64) -> Plan {
        let ip = self.site.agent_ip(i);
        Plan {
            id: format!("i-{:06x}", 0x3a_41c0 + u32::from(i) * 0x01d7),
            service: service.to_owned(),
            zone: self.site.zone(i).to_owned(),
            app: self.site.app(ip),
            outbound: self.site.outbound(ip),
            slots: 4,
            born,
        }
    }

    /// Ends all backends.
    pub fn end(&mut self) {
        self.backends.drain(..).flatten().for_each(|b| drop(b.crash()));
    }
}
