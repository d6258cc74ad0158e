//! Choice among the backend servers that may get a new flow.
//!
//! The load that it answers: reports are up to 1 s old while some tens of homes place
//! flows independently. If each takes the best report, all of them take the same backend
//! server until it reports again. Draws by free capacity spread the flows as the homes
//! together should; the better of two draws avoids the backend servers that are worst off.

use std::net::SocketAddr;

use rand::Rng;

use crate::request::load_meter::Load;

/// Draws for one choice. With three or more, the homes again agree on few backend servers.
const DRAWS: usize = 2;
/// Least share of the slots that counts as free, so that a backend server whose report is
/// old may still be drawn.
const MIN_FREE: f64 = 0.1;
/// Factor for the caller's failure domain, since packets between domains are expensive.
const LOCAL_FACTOR: f64 = 8.0;
/// Share of the slots in use from which on the failure domain no longer counts: the
/// backend servers of a domain with many callers would otherwise make them late.
const LOCAL_UTILISATION: f64 = 0.7;
/// Share of all slots below which the bounds of the backend servers don't count.
const MOST_SLOTS: f64 = 0.7;
/// Factor for a backend server that recently missed an offer, so that it is drawn only if
/// no other can be.
const SUSPECT_FACTOR: f64 = 1e-9;

/// A backend server that may get a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its agent's datagram address.
    pub link: SocketAddr,
    /// Expected completion time and penalties in microseconds.
    pub cost: f64,
    // Its report, if its agent sent one.
    load: Option<Load>,
    // In the caller's failure domain.
    local: bool,
    // Recently missed an offer.
    suspect: bool,
}

impl Candidate {
    /// Creates a candidate with the load that its agent reported, if it did. `local` tells
    /// that it is in the caller's failure domain, `suspect` that it recently missed an offer.
    pub fn open(
        link: SocketAddr,
        load: Option<&Load>,
        cost: f64,
        local: bool,
        suspect: bool,
    ) -> Self {
        Self { link, cost, load: load.copied(), local, suspect }
    }

    /// Returns the free slots per microsecond of service time, and whether most slots are in
    /// use. The flows of a backend server that has just started bring their work only
    /// later, so that they count at least as those of the others.
    fn free(&self, all: &Totals) -> Option<(f64, bool)> {
        let load = self.load?;
        let slots = if all.bounded { load.slots } else { load.bound.min(load.slots) };
        let slots = f64::from(slots.max(1));
        let service_time = f64::from(load.service_time.max(1));
        let by_flows = f64::from(load.flows) * service_time * all.rate;
        let used = (f64::from(load.mean) / 100.0).max(by_flows);
        let free = (slots - used).max(MIN_FREE * slots) / service_time;
        Some((free, used >= LOCAL_UTILISATION * slots))
    }

    /// Returns the probability of a draw, relative to the other candidates.
    fn weight(&self, all: &Totals, mean: f64) -> f64 {
        let trust = if self.suspect { SUSPECT_FACTOR } else { 1.0 };
        trust
            * match self.free(all) {
                Some((free, false)) if self.local => free * LOCAL_FACTOR,
                Some((free, _)) => free,
                None => mean,
            }
    }
}

/// What the reports of all candidates say together.
#[derive(Clone, Copy, Debug)]
struct Totals {
    // Requests of one flow in a microsecond.
    rate: f64,
    // Whether most of the slots are bounded, as after a start of all backend servers. Then
    // there is no alternative, and the bounds don't count.
    bounded: bool,
}

impl Totals {
    fn of(loads: impl Iterator<Item = Load>) -> Self {
        let (mut used, mut work, mut slots, mut bound) = (0.0, 0.0, 0.0, 0.0);
        for load in loads {
            used += f64::from(load.mean) / 100.0;
            work += f64::from(load.flows) * f64::from(load.service_time);
            slots += f64::from(load.slots);
            bound += f64::from(load.bound.min(load.slots));
        }
        Self { rate: used / f64::max(work, 1.0), bounded: bound < slots * MOST_SLOTS }
    }
}

/// Draws candidates by free capacity, and returns the one among them with the least cost.
///
/// An agent that was not heard from, as when the reports of a failure domain are cut, counts
/// as the mean of the others: as an idle one, it would get several times its share.
pub fn choose<'a>(candidates: &'a [Candidate], rng: &mut impl Rng) -> Option<&'a Candidate> {
    let all = Totals::of(candidates.iter().filter_map(|c| c.load));
    let known: Vec<f64> = candidates.iter().filter_map(|c| Some(c.free(&all)?.0)).collect();
    let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    let weights: Vec<f64> = candidates.iter().map(|c| c.weight(&all, mean)).collect();
    let drawn: Vec<_> = (0..DRAWS).filter_map(|_| draw(candidates, &weights, rng)).collect();
    drawn.into_iter().min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn draw<'a>(
    candidates: &'a [Candidate],
    weights: &[f64],
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let mut at = rng.random::<f64>() * weights.iter().sum::<f64>();
    let drawn = candidates.iter().zip(weights).find(|(_, weight)| {
        at -= **weight;
        at < 0.0
    });
    // Rounding may leave a remainder.
    drawn.map(|(candidate, _)| candidate).or(candidates.last())
}
