//! What a process knows of routes and backend servers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lagoonhollow_lib::front::packet::message::KnownVersions;
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
use tokio::sync::watch;

use super::knowledge_delta::KnowledgeDelta;

/// Time after the end of a watch within which a reachable store has answered
/// again, including a pause of [`USUAL_PAUSE`] between two watches. Until then, a backend
/// server that is not listed is known to be gone.
const FRESH_MARGIN: Duration = Duration::from_secs(3);
/// Pause between two watches that [`FRESH_MARGIN`] includes.
const USUAL_PAUSE: Duration = Duration::from_millis(2_400);

/// Knowledge of the process, which only the control thread changes.
#[derive(Debug)]
pub struct Knowledge {
    // Shared with the admin server; traffic threads never take this lock.
    state: Mutex<State>,
    view: watch::Sender<View>,
}

#[derive(Debug, Default)]
struct State {
    registry: Registry,
    last_answer: Moment,
    // Latest time at which the next answer is due.
    next_answer: Moment,
    changed: bool,
}

impl Knowledge {
    /// Opens without any knowledge.
    pub fn open() -> Self {
        Self { state: Mutex::default(), view: watch::channel(View::default()).0 }
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
        self.lock().changed |= published.services != old.published().services;
        let routes = Routes::open(published).enforce(&old).into();
        self.view.send_modify(|view| view.routes = routes);
        true
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

    /// Records that backend servers could not be read from the store.
    pub fn store_failed(&self) {
        self.lock().registry.failed();
    }

    /// Records that the store answered.
    pub fn store_answered(&self, now: Moment) {
        let mut state = self.lock();
        state.registry.answered(now);
        state.last_answer = now;
        state.next_answer = now;
    }

    /// Records that the next watch starts only after `interval`.
    ///
    /// Has no effect if the previous answer is overdue.
    pub fn watch_paused(&self, interval: Duration, now: Moment) {
        let mut state = self.lock();
        if now < state.next_answer + FRESH_MARGIN {
            state.next_answer = now + interval.saturating_sub(USUAL_PAUSE);
        }
    }

    /// Records that a watch has started, which the store may take `wait` to answer.
    ///
    /// Has no effect if the previous answer is overdue.
    pub fn watch_started(&self, wait: Duration, now: Moment) {
        let mut state = self.lock();
        if now < state.next_answer + FRESH_MARGIN {
            state.next_answer = now + wait;
        }
    }

    /// Applies changes that the store reported.
    pub fn apply_changes(&self, changes: Vec<Change>, now: Moment) {
        let mut state = self.lock();
        state.changed |= state.registry.change(changes, now);
    }

    /// Applies an update from a process that knows a later revision.
    pub fn apply_update(&self, update: RegistryUpdate, now: Moment) {
        let mut state = self.lock();
        state.changed |= state.registry.learn(update, now);
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
        let answered =
            state.last_answer > Moment::default() && now < state.next_answer + FRESH_MARGIN;
        let fresh = answered && state.registry.confirms_absence(now);
        let partial = answered && !fresh;
        let read = state.last_answer;
        let routes = self.view.borrow().routes.clone();
        let changed = std::mem::take(&mut state.changed);
        let roster = changed.then(|| state.registry.roster(routes.published()));
        drop(state);
        self.view.send_if_modified(|view| {
            let modified = roster.is_some()
                || (fresh, partial, read) != (view.fresh, view.partial, view.read_at);
            (view.fresh, view.partial, view.read_at) = (fresh, partial, read);
            if let Some(roster) = roster {
                view.roster = roster.into();
            }
            modified
        });
    }

    /// Returns what this process knows beyond the versions `known`.
    pub fn delta_since(&self, known: KnownVersions) -> KnowledgeDelta {
        let routes = self.view.borrow().routes.clone();
        let later = routes.version() > known.routes;
        let routes = later.then(|| routes.published().clone());
        let evacuations = self.view.borrow().evacuations.clone();
        let later = evacuations.revision() > known.evacuations;
        let evacuations = later.then(|| (*evacuations).clone());
        let roster = self.lock().registry.updates_since(known.roster);
        KnowledgeDelta { routes, roster, evacuations }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
