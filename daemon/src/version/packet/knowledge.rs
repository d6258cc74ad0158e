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
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes::Routes;
use tokio::sync::watch;

use super::knowledge_delta::KnowledgeDelta;

/// Time beyond the end of a watch within which the store has answered again if
/// it can, the pause between two watches included: a missing backend server is
/// known to be missing until then.
const FRESH_MARGIN: Duration = Duration::from_secs(3);

/// Knowledge of the process, which only the control thread changes.
#[derive(Debug)]
pub struct Knowledge {
    // The admin server reads it; no traffic thread takes this lock.
    state: Mutex<State>,
    view: watch::Sender<View>,
}

#[derive(Debug, Default)]
struct State {
    registry: Registry,
    last_answer: Moment,
    // When the next answer is due at the latest.
    next_answer: Moment,
    changed: bool,
}

impl Knowledge {
    /// Opens without any knowledge.
    pub fn open() -> Self {
        Self { state: Mutex::default(), view: watch::channel(View::default()).0 }
    }

    /// Returns a receiver of each new view.
    pub fn subscribe(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// Returns what is known now.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Returns the version and revision of what is known.
    pub fn known(&self) -> KnownVersions {
        let view = self.view.borrow();
        KnownVersions { routes: view.routes.version(), roster: view.roster.revision() }
    }

    /// Puts routes in force if they are later; returns whether they are.
    pub fn apply_routes(&self, published: Published) -> bool {
        let old = self.view.borrow().routes.clone();
        if published.version <= old.version() {
            return false;
        }
        let routes = Routes::open(published).enforce(&old).into();
        self.view.send_modify(|view| view.routes = routes);
        true
    }

    /// Takes in that backend servers could not be read from the store.
    pub fn store_failed(&self) {
        self.lock().registry.failed();
    }

    /// Takes in that the store answered.
    pub fn store_answered(&self, now: Moment) {
        let mut state = self.lock();
        state.registry.answered(now);
        state.last_answer = now;
        state.next_answer = now;
    }

    /// Takes in that the store, which has just answered, is asked for changes
    /// and may take `wait` to answer.
    pub fn watch_started(&self, wait: Duration, now: Moment) {
        let mut state = self.lock();
        if now < state.next_answer + FRESH_MARGIN {
            state.next_answer = now + wait;
        }
    }

    /// Takes in changes that the store told.
    pub fn apply_changes(&self, changes: Vec<Change>, now: Moment) {
        let mut state = self.lock();
        state.changed |= state.registry.change(changes, now);
    }

    /// Takes in what a process that knows more told.
    pub fn apply_update(&self, update: RegistryUpdate, now: Moment) {
        let mut state = self.lock();
        state.changed |= state.registry.learn(update, now);
    }

    /// Takes in all entries that the store has.
    pub fn replace_members(&self, listing: Listing, now: Moment) {
        let mut state = self.lock();
        state.changed |= state.registry.replace(listing, now);
    }

    /// Shows the traffic thread what has changed.
    pub fn publish(&self, now: Moment) {
        let mut state = self.lock();
        state.changed |= state.registry.expire(now);
        let answered =
            state.last_answer > Moment::default() && now < state.next_answer + FRESH_MARGIN;
        let fresh = answered && state.registry.confirms_absence(now);
        let read = state.last_answer;
        let roster = std::mem::take(&mut state.changed).then(|| state.registry.roster());
        drop(state);
        self.view.send_if_modified(|view| {
            let modified = roster.is_some() || fresh != view.fresh || read != view.read_at;
            (view.fresh, view.read_at) = (fresh, read);
            if let Some(roster) = roster {
                view.roster = roster.into();
            }
            modified
        });
    }

    /// Returns what a process that knows `known` needs to know as much.
    pub fn delta_since(&self, known: KnownVersions) -> KnowledgeDelta {
        let routes = self.view.borrow().routes.clone();
        let later = routes.version() > known.routes;
        let routes = later.then(|| routes.published().clone());
        KnowledgeDelta { routes, roster: self.lock().registry.updates_since(known.roster) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
