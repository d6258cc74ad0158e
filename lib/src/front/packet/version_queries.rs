//! Queries of observers: whom a process asks whether its knowledge is current, and which
//! answers count.

use std::net::SocketAddr;
use std::time::Duration;

use super::action::Action;
use super::message::KnownVersions;
use super::message::Message;
use crate::process::observers::Observers;
use crate::process::view::View;
use crate::value::moment::Moment;
use crate::version::roster::Roster;

/// Time between two rounds of queries. With the longest time between two confirmations of an
/// observer it stays below half of a bound of 3 s.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// Processes asked in one round, so that the loss of one does not delay the confirmation.
const FANOUT: usize = 2;
/// Time after which an answer no longer counts.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The queries of one process.
#[derive(Debug)]
pub struct VersionQueries {
    own: Option<SocketAddr>,
    port: u16,
    // Observers other than this process.
    others: Vec<SocketAddr>,
    // Index of the observer that is asked next.
    next: usize,
    // The observer that confirmed this process last; asked first.
    answered: Option<SocketAddr>,
    // Queries without an answer yet: to whom, with which number, and when.
    pending: Vec<(SocketAddr, u32, Moment)>,
    number: u32,
    asked_at: Moment,
}

impl VersionQueries {
    /// Opens the queries of the process at `own`, if others may ask it as well. Agents
    /// receive datagrams on `port`. `seed` differs between runs, so that an answer to an
    /// earlier run does not count.
    pub fn open(own: Option<SocketAddr>, port: u16, seed: u64, now: Moment) -> Self {
        let (others, pending) = (Vec::new(), Vec::new());
        // Times of a start differ in their low digits.
        let number = (seed ^ (seed >> 32)) as u32;
        let next = number as usize % usize::from(u16::MAX);
        Self { own, port, others, next, answered: None, pending, number, asked_at: now }
    }

    /// Chooses the observers of a new roster.
    pub fn update(&mut self, roster: &Roster) {
        let observers = Observers::of(roster, self.port);
        let others = observers.links().iter().filter(|l| Some(**l) != self.own);
        self.others = others.copied().collect();
        self.answered = self.answered.filter(|l| self.others.contains(l));
    }

    /// Returns whether a round of queries is due.
    pub fn is_due(&self, now: Moment) -> bool {
        now.since(self.asked_at) >= QUERY_INTERVAL
    }

    /// Returns the addresses and numbers of the next round of queries; the first one goes to
    /// the observer that confirmed this process last. While the process is not confirmed, one goes to
    /// `any`, some agent of the roster, since all observers may be out of reach.
    pub fn ask(
        &mut self,
        view: &View,
        any: Option<SocketAddr>,
        now: Moment,
    ) -> Vec<(SocketAddr, u32)> {
        self.asked_at = now;
        self.pending.retain(|(_, _, at)| now.since(*at) < ANSWER_TIMEOUT);
        let mut chosen: Vec<_> = self.answered.into_iter().collect();
        let any = any.filter(|l| !view.fresh && Some(*l) != self.own);
        chosen.extend(any.filter(|l| !chosen.contains(l)));
        for _ in 0..self.others.len() {
            if chosen.len() >= FANOUT {
                break;
            }
            let link = self.others[self.next % self.others.len()];
            self.next = self.next.wrapping_add(1);
            if !chosen.contains(&link) {
                chosen.push(link);
            }
        }
        chosen.into_iter().map(|link| (link, self.number(link, now))).collect()
    }

    /// Handles a message that may be an answer, from a process that knows the versions
    /// `known` while this one knows `mine`; returns the action that it leads to. An answer
    /// without a query leads to none.
    pub fn handle_reply(
        &mut self,
        from: SocketAddr,
        known: KnownVersions,
        mine: KnownVersions,
        message: &Message,
        now: Moment,
    ) -> Option<Action> {
        let Message::VersionReply { number, age_ms } = *message else { return None };
        let sent = self.take(from, number, now)?;
        let confirms = age_ms.is_some() && known == mine;
        if confirms && self.others.contains(&from) {
            self.answered = Some(from);
        } else if !confirms {
            self.answered = self.answered.filter(|l| *l != from);
        }
        let age = age_ms.map(|ms| Duration::from_millis(ms.into()));
        Some(Action::Answered { peer: from, known, sent, age })
    }

    /// Removes the query that an answer belongs to; returns the time at which it was sent.
    fn take(&mut self, from: SocketAddr, number: u32, now: Moment) -> Option<Moment> {
        let i = self.pending.iter().position(|(l, n, _)| (*l, *n) == (from, number))?;
        let (_, _, sent) = self.pending.swap_remove(i);
        (now.since(sent) < ANSWER_TIMEOUT).then_some(sent)
    }

    fn number(&mut self, link: SocketAddr, now: Moment) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.pending.push((link, self.number, now));
        self.number
    }
}
