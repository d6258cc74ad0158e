//! The lookup of a flow's owner among the peers that may know it.

use std::collections::BTreeSet;

use super::ownership::Ownership;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Maximum number of packets held during the lookup of one flow.
pub const MAX_HELD: usize = 8;

/// A lookup in progress, with the packets that are held until it is over.
#[derive(Clone, Debug)]
pub struct Lookup<P> {
    /// Peers that have not replied.
    pub waiting: BTreeSet<Name>,
    /// Held packets.
    pub held: Vec<P>,
    /// When the lookup started.
    pub started: Moment,
    /// When the peers in `waiting` were last asked.
    pub asked: Moment,
    /// The ownership that prevails among those in the replies.
    pub owner: Option<Ownership>,
    /// Whether a peer that might own the flow could not be asked.
    pub incomplete: bool,
}

impl<P> Lookup<P> {
    /// Opens a lookup among the peers in `waiting`.
    pub fn open(waiting: BTreeSet<Name>, incomplete: bool, now: Moment) -> Self {
        Self { waiting, held: Vec::new(), started: now, asked: now, owner: None, incomplete }
    }

    /// Holds a packet; returns whether there was room.
    pub fn hold(&mut self, packet: P) -> bool {
        let room = self.held.len() < MAX_HELD;
        if room {
            self.held.push(packet);
        }
        room
    }

    /// Handles one peer's reply.
    pub fn answer(&mut self, peer: &Name, owner: Option<Ownership>) {
        self.waiting.remove(peer);
        if let Some(found) = owner {
            let better = self.owner.as_ref().is_none_or(|o| found.prevails(o));
            if better {
                self.owner = Some(found);
            }
        }
    }

    /// Stops waiting for a peer that is presumed dead.
    pub fn give_up(&mut self, peer: &Name) {
        if self.waiting.remove(peer) {
            self.incomplete = true;
        }
    }

    /// Returns whether the owner is found or no peer is left to reply.
    pub fn is_over(&self) -> bool {
        self.owner.is_some() || self.waiting.is_empty()
    }
}
