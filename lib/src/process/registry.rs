//! The registered backend servers, as this process knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::version::member::Member;
use crate::version::member::MemberState;
use crate::version::revision::Revision;
use crate::version::roster::Roster;
use crate::version::routes::Published;

/// Time after the source's return within which backend servers write lapsed entries
/// again; the platform's documentation says about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// Time for which an entry of an earlier run is held back. The present run writes again
/// within a heartbeat; if it does not, it is the one whose clock was set back.
const EARLIER_HOLD: Duration = Duration::from_secs(5);

/// Maximum number of removed entries whose revision is remembered.
const MAX_REMOVED: usize = 4_096;

/// A backend server's entry with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The backend server.
    pub member: Member,
    /// Revision at which it was written.
    pub revision: Revision,
}

/// One change of the registered backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A backend server registered itself, or changed its entry.
    Set(Entry),
    /// An entry was removed, or can no longer be read.
    Removed {
        /// Name of the backend server.
        name: Name,
        /// The revision of the removal.
        revision: Revision,
    },
}

impl Change {
    /// Returns the revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Set(entry) => entry.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// All entries at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision; entries may be later.
    pub revision: Revision,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// Update for a process that knows an earlier revision; it brings that process to the
/// revision of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryUpdate {
    /// All entries, for a process that knows none or an old revision.
    Whole(Listing),
    /// The changes since the revision that the process named.
    Changes(Vec<Change>),
}

/// The registered backend servers, and those whose entry is missing but may
/// come back.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    revision: Revision,
    present: BTreeMap<Name, Entry>,
    // Entries that the source has lost, with the time until which they may come back.
    // Where a name is present as well, the lost entry is the later one.
    lapsed: BTreeMap<Name, (Entry, Moment)>,
    // Entries of earlier runs than the present ones, with the time since which they are held.
    earlier: BTreeMap<Name, (Entry, Moment)>,
    // Revisions of removals. Updates from peers and from the source may arrive out
    // of order, so an older removal or entry must not undo a later one.
    removed: BTreeMap<Name, Revision>,
    // Latest revision of a removal that is no longer in `removed`.
    forgotten: Revision,
    // Until then, entries that lapsed during a failure of the source may come back.
    grace_until: Moment,
    // Whether the source has failed since its last answer; meanwhile no missing
    // entry counts as removed.
    failing: bool,
}

impl Registry {
    /// Records that the source could not be read.
    pub fn failed(&mut self) {
        self.failing = true;
    }

    /// Records that the source answered.
    pub fn answered(&mut self, now: Moment) {
        if std::mem::take(&mut self.failing) {
            self.grace_until = now + RETURN_GRACE;
            for (_, until) in self.lapsed.values_mut() {
                *until = self.grace_until;
            }
        }
    }

    /// Records that a process which lacks no entry confirmed the same revision.
    pub fn vouched(&mut self) {
        self.failing = false;
    }

    /// Records that the entries are those of `revision`, after all changes up to it.
    pub fn advance(&mut self, revision: Revision) {
        if revision.epoch == self.revision.epoch {
            self.revision = self.revision.max(revision);
        }
    }

    /// Applies changes; returns whether any was new.
    pub fn change(&mut self, changes: Vec<Change>, now: Moment) -> bool {
        let mut changed = false;
        for change in changes {
            changed |= match change {
                // Each epoch begins with a listing.
                _ if change.revision().epoch != self.revision.epoch => false,
                Change::Set(entry) => self.set(entry, now),
                Change::Removed { name, revision } => self.remove(&name, revision, now),
            };
        }
        changed
    }

    /// Applies a complete listing; returns whether anything in it was new.
    pub fn replace(&mut self, listing: Listing, now: Moment) -> bool {
        let Listing { revision, entries } = listing;
        if revision.epoch < self.revision.epoch {
            return false;
        }
        let restored = revision.epoch > self.revision.epoch;
        let first = self.revision.number == 0;
        if restored {
            self.begin_epoch(revision.epoch, now);
        }
        let listed = |name: &Name| entries.iter().any(|e| e.member.name == *name);
        let missing: Vec<_> = self.present.keys().filter(|n| !listed(n)).cloned().collect();
        let removed = |name| Change::Removed { name, revision };
        let mut changes: Vec<_> = missing.into_iter().map(removed).collect();
        changes.extend(entries.into_iter().map(Change::Set));
        let changed = self.change(changes, now) || restored;
        // Processes with the same revision know the same entries, so one that does not know
        // which change was the last takes the revision of the listing.
        if first || changed {
            self.advance(revision);
        }
        changed
    }

    /// Begins an epoch of the source, which has lost entries. Backend servers write them
    /// again as after an outage. A process that has just started can't tell whether the
    /// source came back a moment ago, so that holds for it too.
    fn begin_epoch(&mut self, epoch: u32, now: Moment) {
        self.revision = Revision { epoch, number: 0 };
        self.grace_until = self.grace_until.max(now + RETURN_GRACE);
        for (_, until) in self.lapsed.values_mut() {
            *until = self.grace_until;
        }
    }

    /// Drops lapsed entries that did not come back in time, and accepts those of earlier
    /// runs that no later write has replaced; returns whether there were any.
    pub fn expire(&mut self, now: Moment) -> bool {
        if self.failing {
            return false;
        }
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| *until > now);
        let lapsed = self.lapsed.len() < before;
        let held = |_: &Name, (_, since): &mut (Entry, Moment)| now.since(*since) >= EARLIER_HOLD;
        let outlasting: Vec<_> = self.earlier.extract_if(.., held).collect();
        let accepted = !outlasting.is_empty();
        for (name, (entry, _)) in outlasting {
            self.present.remove(&name);
            self.set(entry, now);
        }
        lapsed || accepted
    }

    /// Returns whether a missing entry proves that its backend server is gone,
    /// rather than about to register again after an outage of the source.
    pub fn confirms_absence(&self, now: Moment) -> bool {
        !self.failing && now >= self.grace_until
    }

    /// Returns the roster of the registered backend servers, and those that may come
    /// back. Those of services that `routes` does not have are kept apart: they may hold
    /// flows of a version that this process has not seen, or be of another writer.
    pub fn roster(&self, routes: &Published) -> Roster {
        let lapsed = self.lapsed.values().map(|(entry, _)| entry);
        let current = |(name, entry)| (!self.lapsed.contains_key(name)).then_some(entry);
        let entries = self.present.iter().filter_map(current).chain(lapsed);
        let services = routes.known_services();
        let known = |m: &&Member| services.as_ref().is_none_or(|s| s.contains(&m.service));
        let (members, unlisted): (Vec<_>, Vec<_>) = entries.map(|e| &e.member).partition(known);
        Roster::open(self.revision, members.into_iter().cloned()).with_unlisted(unlisted)
    }

    /// Returns the update that brings a peer at `revision` to this revision.
    pub fn updates_since(&self, revision: Revision) -> RegistryUpdate {
        let unknown = revision.number == 0 || revision.epoch < self.revision.epoch;
        if unknown || revision < self.forgotten {
            return RegistryUpdate::Whole(self.listing());
        }
        let removed = self.removed.iter().filter(|(_, at)| **at > revision);
        let removed =
            removed.map(|(name, at)| Change::Removed { name: name.clone(), revision: *at });
        let set = self.present.values().filter(|e| e.revision > revision);
        RegistryUpdate::Changes(removed.chain(set.cloned().map(Change::Set)).collect())
    }

    /// Applies an update from a peer; returns whether anything in it was new.
    pub fn learn(&mut self, update: RegistryUpdate, now: Moment) -> bool {
        match update {
            RegistryUpdate::Whole(listing) => self.replace(listing, now),
            RegistryUpdate::Changes(changes) => self.change(changes, now),
        }
    }

    /// Returns all entries.
    pub fn listing(&self) -> Listing {
        Listing { revision: self.revision, entries: self.present.values().cloned().collect() }
    }

    /// Returns the revision of the last change; processes with the same revision
    /// know the same entries.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies an entry. Within an epoch an entry can only advance the run under its name:
    /// a write of an earlier run may be done seconds late, after the entry of the present
    /// run, and updates of other processes may arrive out of order.
    fn set(&mut self, mut entry: Entry, now: Moment) -> bool {
        let name = entry.member.name.clone();
        let known = self.present.get(&name);
        let last = known.map(|e| e.revision).or(self.removed.get(&name).copied());
        let present = known.filter(|e| e.revision.epoch == entry.revision.epoch);
        let run = entry.member.run();
        if present.is_some_and(|known| run < known.member.run()) {
            self.revision = self.revision.max(entry.revision);
            let since = match self.earlier.get(&name) {
                Some((held, since)) if held.member.run() == run => *since,
                _ => now,
            };
            self.earlier.insert(name, (entry, since));
            return false;
        }
        self.earlier.remove(&name);
        let advances = present.is_some_and(|known| run > known.member.run());
        if last.is_some_and(|last| entry.revision < last) && !advances {
            return false;
        }
        // The earlier run's entry may have been written later.
        entry.revision = entry.revision.max(last.unwrap_or_default());
        self.revision = self.revision.max(entry.revision);
        self.removed.remove(&name);
        let (member, epoch) = (entry.member.clone(), entry.revision.epoch);
        let lapsed = self.lapsed.remove(&name);
        let old = self.present.insert(name.clone(), entry);
        // A source that went back may hold an earlier state of a backend server than
        // the one that is known, until the backend server writes again. In the same epoch,
        // an earlier run does not end the time in which a lapsed entry may come back.
        if let Some((later, until)) = &lapsed
            && later.revision.epoch == epoch
            && later.member.run() > run
            && now < *until
        {
            self.lapsed.insert(name, (later.clone(), *until));
            return false;
        }
        let latest = lapsed.as_ref().map(|(entry, _)| entry).or(old.as_ref());
        let kept = latest.filter(|e| e.revision.epoch < epoch && e.member.follows(&member));
        if let Some(kept) = kept.filter(|_| now < self.grace_until).cloned() {
            self.lapsed.insert(name, (kept, self.grace_until));
            return false;
        }
        lapsed.is_some() || old.is_none_or(|o| o.member != member)
    }

    fn remove(&mut self, name: &Name, revision: Revision, now: Moment) -> bool {
        let Some(entry) = self.present.get(name) else { return false };
        if revision < entry.revision {
            return false;
        }
        let Some(entry) = self.present.remove(name) else { return false };
        self.earlier.remove(name);
        self.revision = self.revision.max(revision);
        if self.removed.len() >= MAX_REMOVED {
            self.forget_oldest();
        }
        self.removed.insert(name.clone(), revision);
        // A backend server that did not announce its leaving may have lapsed during an
        // outage: a pending watch reports that only when the source returns.
        let returns = now < self.grace_until || entry.member.standing == MemberState::Ready;
        let until = if self.failing {
            Some(self.grace_until)
        } else {
            returns.then(|| self.grace_until.max(now + RETURN_GRACE))
        };
        if let Some(until) = until {
            self.lapsed.entry(name.clone()).or_insert((entry, until));
        }
        true
    }

    /// Forgets the removal with the lowest revision.
    fn forget_oldest(&mut self) {
        let oldest = self.removed.iter().min_by_key(|(_, revision)| **revision);
        if let Some((name, revision)) = oldest.map(|(name, revision)| (name.clone(), *revision)) {
            self.removed.remove(&name);
            self.forgotten = self.forgotten.max(revision);
        }
    }
}
