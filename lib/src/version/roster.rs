//! The registered backend servers at one revision.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;

use super::member::Member;
use super::ranking::Ranking;
use super::revision::Revision;
use crate::value::name::Name;

/// Maximum number of backend servers of unlisted services.
const MAX_UNLISTED: usize = 1_024;

/// The pool of one service's members, ranked for each flow.
#[derive(Clone, Debug)]
pub struct Pool {
    members: Vec<Arc<Member>>,
    ranking: Ranking,
}

/// All registered backend servers; shared and immutable.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    revision: Revision,
    members: Vec<Arc<Member>>,
    pools: BTreeMap<Name, Pool>,
    by_address: HashMap<SocketAddr, Arc<Member>>,
    by_vm: HashMap<IpAddr, Arc<Member>>,
    unlisted: Vec<Arc<Member>>,
    // Number of VMs with backend servers of unlisted services beyond the limit.
    omitted: usize,
}

impl Pool {
    fn open(members: Vec<Arc<Member>>) -> Self {
        let ranking = Ranking::weighted(members.iter().map(|m| (&m.name, 1)));
        Self { members, ranking }
    }

    /// Returns the members.
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// Returns the first `count` members for the hashed key, best rank first.
    pub fn ranks(&self, key: u64, count: usize) -> impl Iterator<Item = &Arc<Member>> {
        self.ranking.top(key, count).into_iter().map(|i| &self.members[i])
    }
}

impl Roster {
    /// Opens the roster of `members` at `revision`.
    ///
    /// Where two members claim one address, the one that started last holds it:
    /// addresses are reused, also by other services.
    pub fn open(revision: Revision, members: impl IntoIterator<Item = Member>) -> Self {
        let mut by_address: HashMap<SocketAddr, Arc<Member>> = HashMap::new();
        for member in members {
            let holder = by_address.get(&member.address);
            if holder.is_none_or(|h| h.born <= member.born) {
                by_address.insert(member.address, Arc::new(member));
            }
        }
        let mut members: Vec<_> = by_address.values().cloned().collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let mut services: BTreeMap<Name, Vec<Arc<Member>>> = BTreeMap::new();
        for member in &members {
            services.entry(member.service.clone()).or_default().push(member.clone());
        }
        let pools = services.into_iter().map(|(name, list)| (name, Pool::open(list))).collect();
        let by_vm = members.iter().map(|m| (m.address.ip(), m.clone())).collect();
        Self { revision, members, pools, by_address, by_vm, unlisted: Vec::new(), omitted: 0 }
    }

    /// Adds `members` of services that the configuration does not list. They get no flows and
    /// hold no address, but may own flows that were opened under an earlier version.
    ///
    /// One member is kept of each VM, the one that started last, and none of a VM that the
    /// roster already has a member on. Up to 1,024 are kept.
    pub fn with_unlisted<'a>(mut self, members: impl IntoIterator<Item = &'a Member>) -> Self {
        let mut by_vm: HashMap<IpAddr, &Member> = HashMap::new();
        for member in members {
            let ip = member.address.ip();
            let kept = by_vm.get(&ip).is_some_and(|m| m.born > member.born);
            if !kept && !self.by_vm.contains_key(&ip) {
                by_vm.insert(ip, member);
            }
        }
        let mut unlisted: Vec<_> = by_vm.into_values().collect();
        unlisted.sort_by(|a, b| a.name.cmp(&b.name));
        self.omitted = unlisted.len().saturating_sub(MAX_UNLISTED);
        unlisted.truncate(MAX_UNLISTED);
        self.unlisted = unlisted.into_iter().cloned().map(Arc::new).collect();
        self
    }

    /// Returns the revision that the roster was read at.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all members of listed services, sorted by name.
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// Returns the backend servers of services that the configuration does not list, sorted by
    /// name, on VMs where no member is.
    pub fn unlisted(&self) -> &[Arc<Member>] {
        &self.unlisted
    }

    /// Returns whether [`members`](Self::members) and [`unlisted`](Self::unlisted) together
    /// have every VM with a registered backend server; otherwise a flow that none of them owns
    /// may be owned by another one.
    pub fn lists_all(&self) -> bool {
        self.omitted == 0
    }

    /// Returns the members of a service.
    pub fn pool(&self, service: &Name) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// Returns the member that holds `address`.
    pub fn holder(&self, address: SocketAddr) -> Option<&Arc<Member>> {
        self.by_address.get(&address)
    }

    /// Returns the member on the VM with address `ip`.
    pub fn on_vm(&self, ip: IpAddr) -> Option<&Arc<Member>> {
        self.by_vm.get(&ip)
    }
}
