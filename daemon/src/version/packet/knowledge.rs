//! What a process knows of routes and backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::process::confirmation::Answered;
use lagoonhollow_lib::process::confirmation::Confirmation;
use lagoonhollow_lib::process::confirmation::Part;
use lagoonhollow_lib::process::confirmation::Step;
use lagoonhollow_lib::process::confirmation::Witness;
use lagoonhollow_lib::process::registry::Change;
use lagoonhollow_lib::process::registry::Listing;
use lagoonhollow_lib::process::registry::Registry;
use lagoonhollow_lib::process::registry::RegistryUpdate;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::evacuations::EvacuationChange;
use lagoonhollow_lib::version::evacuations::Evacuations;
use lagoonhollow_lib::version::revision::Revision;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes::Routes;
use lagoonhollow_lib::version::routes_history::RoutesHistory;
use lagoonhollow_lib::version::routes_update::RoutesUpdate;
use tokio::sync::watch;

use super::knowledge_delta::KnowledgeDelta;

/// Knowledge of the process, which only the control thread changes.
#[derive(Debug)]
pub struct Knowledge {
    // Shared with the admin server; traffic threads never take this lock.
    state: Mutex<State>,
    view: watch::Sender<View>,
}

#[derive(Debug)]
struct State {
    registry: Registry,
    confirmation: Confirmation,
    orders: Position,
    members: Position,
    history: RoutesHistory,
    changed: bool,
}

/// Where the next read of a part continues.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    // The store's revision of the last read.
    read: Option<Revision>,
    // Whether the store no longer has the history after it.
    lost: bool,
}

impl Knowledge {
    /// Opens without any knowledge. `bound` is the strictest time limit for a change to be in
    /// force; `seed` differs between processes.
    pub fn open(bound: Duration, seed: u64) -> Self {
        let confirmation = Confirmation::open(bound, seed);
        let registry = Registry::default();
        let state = State {
            registry,
            confirmation,
            orders: Position::default(),
            members: Position::default(),
            history: RoutesHistory::default(),
            changed: false,
        };
        Self { state: state.into(), view: watch::channel(View::default()).0 }
    }

    /// Returns a receiver that is notified of each new view.
    pub fn subscribe(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// Returns the current view.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Returns the version of the routes and the revision of the roster.
    pub fn known(&self) -> KnownVersions {
        KnownVersions::of(&self.view.borrow())
    }

    /// Puts routes in force if they are later; returns whether they are. The roster
    /// follows with the next [`Self::publish`].
    pub fn apply_routes(&self, published: Published) -> bool {
        let old = self.view.borrow().routes.clone();
        if published.version <= old.version() {
            return false;
        }
        // Which services are known follows from the services and from the routes.
        self.lock().changed = true;
        let routes = Arc::new(Routes::open(published).enforce(&old));
        self.lock().history.add(routes.clone());
        self.view.send_modify(|view| view.routes = routes);
        true
    }

    /// Returns the routes to which another process's update leads; none if it does not follow
    /// those in force here.
    pub fn updated_routes(&self, update: RoutesUpdate) -> Option<Published> {
        match update {
            RoutesUpdate::Whole(published) => Some(published),
            RoutesUpdate::Changes(changes) => changes.apply(self.view.borrow().routes.published()),
        }
    }

    /// Puts the failure domains in force that the store lists as evacuated at `revision`.
    pub fn replace_evacuations(&self, revision: Revision, listed: &[EvacuationChange]) {
        let known = self.view.borrow().evacuations.clone();
        self.apply_evacuations(known.relisted(revision, listed));
    }

    /// Puts the orders in force that the store reported as given or withdrawn.
    pub fn change_evacuations(&self, changes: &[EvacuationChange]) {
        let known = self.view.borrow().evacuations.clone();
        // Each epoch begins with a listing.
        if known.is_known() {
            self.apply_evacuations(known.changed(changes));
        }
    }

    /// Puts a later set of evacuated failure domains in force; returns whether it is later.
    pub fn apply_evacuations(&self, evacuations: Evacuations) -> bool {
        self.view.send_if_modified(|view| {
            let later = evacuations.revision() > view.evacuations.revision();
            if later {
                view.evacuations = evacuations.into();
            }
            later
        })
    }

    /// Returns what this process does next about `part`.
    pub fn step(&self, part: Part, observes: bool, now: Moment) -> Step {
        self.lock().confirmation.step(part, observes, now)
    }

    /// Returns the revision after which nothing is known of `part`, none if all of it has to
    /// be read.
    pub fn position(&self, part: Part) -> Option<Revision> {
        let state = self.lock();
        // Where another process has told this one of later changes, they are known as well.
        let (position, known) = match part {
            Part::Orders => (state.orders, self.view.borrow().evacuations.revision()),
            Part::Members => (state.members, state.registry.revision()),
        };
        let latest = position.read.max((known != Revision::default()).then_some(known));
        latest.filter(|_| !position.lost)
    }

    /// Records that the store no longer has the history that the next read of `part` needs.
    pub fn lose_position(&self, part: Part) {
        self.lock().position(part).lost = true;
    }

    /// Records that `part` could not be read from the store.
    pub fn read_failed(&self, part: Part, ready: bool, now: Moment) {
        let mut state = self.lock();
        // The store may be out of reach of this process alone, which another one that
        // vouches for its knowledge would tell.
        let vouched = matches!(state.confirmation.witness(), Some(Witness::Process(_)));
        if !(vouched && state.confirmation.is_current(now)) {
            state.registry.failed();
        }
        state.confirmation.failed(part, ready, now);
    }

    /// Records that an answer of the store at `revision` was applied.
    pub fn confirm_read(&self, part: Part, revision: Revision, answer: &Answered, now: Moment) {
        let mut state = self.lock();
        *state.position(part) = Position { read: Some(revision), lost: false };
        if state.confirmation.has_lapsed(now) {
            state.registry.failed();
        }
        state.confirmation.read(part, answer);
        if state.confirmation.is_current(now) {
            state.registry.answered(now);
        }
    }

    /// Records that the process at `by` lacked no change as of `age` before it answered a
    /// query that was sent at `sent`; has no effect unless it knows the same versions.
    pub fn vouch(
        &self,
        by: SocketAddr,
        known: KnownVersions,
        sent: Moment,
        age: Duration,
        now: Moment,
    ) {
        if known != self.known() {
            return;
        }
        let mut state = self.lock();
        let lapsed = state.confirmation.has_lapsed(now);
        if lapsed {
            state.registry.failed();
        }
        state.confirmation.vouched(by, sent, age);
        match (state.confirmation.is_current(now), lapsed) {
            // Entries may have lapsed during an outage that no process could report to this one.
            (true, true) => state.registry.answered(now),
            (true, false) => state.registry.vouched(),
            (false, _) => {}
        }
    }

    /// Returns what confirms the knowledge, and the time up to which nothing is missing.
    pub fn confirmation(&self) -> Option<(Witness, Moment)> {
        let confirmation = &self.lock().confirmation;
        confirmation.witness().zip(confirmation.confirmed_at())
    }

    /// Applies changes that the store reported.
    pub fn apply_changes(&self, changes: Vec<Change>, now: Moment) {
        let mut state = self.lock();
        state.changed |= state.registry.change(changes, now);
    }

    /// Applies an update from a process that knows the later revision `at`.
    pub fn apply_update(&self, update: RegistryUpdate, at: Revision, now: Moment) {
        let mut state = self.lock();
        state.changed |= state.registry.learn(update, now);
        state.registry.advance(at);
    }

    /// Replaces all backend servers by those that the store lists.
    pub fn replace_members(&self, listing: Listing, now: Moment) {
        let mut state = self.lock();
        state.changed |= state.registry.replace(listing, now);
    }

    /// Publishes a new view to the traffic thread if something has changed.
    pub fn publish(&self, now: Moment) {
        let mut state = self.lock();
        state.changed |= state.registry.expire(now);
        let current = state.confirmation.is_current(now);
        let fresh = current && state.registry.confirms_absence(now);
        let partial = current && !fresh;
        let read = state.confirmation.confirmed_at().unwrap_or_default();
        let members_at = state.confirmation.members_at().unwrap_or_default();
        let routes = self.view.borrow().routes.clone();
        // A revision without a difference is published too: other processes compare it.
        let later = state.registry.revision() != self.view.borrow().roster.revision();
        let changed = std::mem::take(&mut state.changed) || later;
        let roster = changed.then(|| state.registry.roster(routes.published()));
        drop(state);
        self.view.send_if_modified(|view| {
            let modified = roster.is_some()
                || (fresh, partial, read) != (view.fresh, view.partial, view.read_at)
                || members_at != view.members_at;
            (view.fresh, view.partial, view.read_at) = (fresh, partial, read);
            view.members_at = members_at;
            if let Some(roster) = roster {
                view.roster = roster.into();
            }
            modified
        });
    }

    /// Returns what this process knows beyond the versions `known`.
    pub fn delta_since(&self, known: KnownVersions, now: Moment) -> KnowledgeDelta {
        let evacuations = self.view.borrow().evacuations.clone();
        let later = evacuations.revision() > known.evacuations;
        let evacuations = later.then(|| (*evacuations).clone());
        let state = self.lock();
        let routes = state.history.update_since(known.routes);
        let roster = state.registry.updates_since(known.roster);
        drop(state);
        let age_ms = self.view.borrow().age_ms(now);
        KnowledgeDelta { routes, roster, known: self.known(), age_ms, evacuations }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl State {
    fn position(&mut self, part: Part) -> &mut Position {
        match part {
            Part::Orders => &mut self.orders,
            Part::Members => &mut self.members,
        }
    }
}
