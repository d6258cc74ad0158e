//! Life cycle of an agent or an entry.

use std::time::Duration;

use crate::value::moment::Moment;

/// The settings are checked and nothing is bound yet.
#[derive(Clone, Copy, Debug)]
pub struct Starting;

/// State is being read back from peers.
#[derive(Clone, Copy, Debug)]
pub struct Recovering;

/// Work is accepted.
#[derive(Clone, Copy, Debug)]
pub struct Serving;

/// No new work is accepted; open work is finished.
#[derive(Clone, Copy, Debug)]
pub struct Draining {
    deadline: Moment,
}

/// No work is open any more.
#[derive(Clone, Copy, Debug)]
pub struct Stopped;

/// A process in state `S`; each step consumes the state before it.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle<S> {
    state: S,
    since: Moment,
}

/// A state of the life cycle, with the name that operators see.
pub trait State {
    /// The name.
    const NAME: &'static str;
}

impl State for Starting {
    const NAME: &'static str = "starting";
}

impl State for Recovering {
    const NAME: &'static str = "recovering";
}

impl State for Serving {
    const NAME: &'static str = "serving";
}

impl State for Draining {
    const NAME: &'static str = "draining";
}

impl State for Stopped {
    const NAME: &'static str = "stopped";
}

impl<S: State> Lifecycle<S> {
    /// Returns the name of the state.
    pub fn name(&self) -> &'static str {
        S::NAME
    }
}

impl<S> Lifecycle<S> {
    /// Returns when the state was entered.
    pub fn since(&self) -> Moment {
        self.since
    }

    fn step<T>(&self, state: T, now: Moment) -> Lifecycle<T> {
        Lifecycle { state, since: now }
    }
}

impl Lifecycle<Starting> {
    /// Opens the life cycle.
    pub fn open(now: Moment) -> Self {
        Self { state: Starting, since: now }
    }

    /// Starts to read state back from peers.
    pub fn recover(self, now: Moment) -> Lifecycle<Recovering> {
        self.step(Recovering, now)
    }
}

impl Lifecycle<Recovering> {
    /// Starts to accept work.
    pub fn serve(self, now: Moment) -> Lifecycle<Serving> {
        self.step(Serving, now)
    }
}

impl Lifecycle<Serving> {
    /// Stops accepting work and gives open work `limit` to finish.
    pub fn drain(self, now: Moment, limit: Duration) -> Lifecycle<Draining> {
        self.step(Draining { deadline: now + limit }, now)
    }
}

impl Lifecycle<Draining> {
    /// Stops once no work is `open` or the time limit has passed.
    ///
    /// # Errors
    ///
    /// Returns the state unchanged while work is open and time is left.
    pub fn finish(self, now: Moment, open: usize) -> Result<Lifecycle<Stopped>, Self> {
        if open == 0 || now >= self.state.deadline {
            Ok(self.step(Stopped, now))
        } else {
            Err(self)
        }
    }
}
