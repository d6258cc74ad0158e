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
    // Free capacity in slots per microsecond of service time, if its agent reported.
    free: Option<f64>,
    // Preference apart from the load.
    factor: f64,
}

impl Candidate {
    /// Creates a candidate with the load that its agent reported, if it did. `local` tells that it is
    /// in the caller's failure domain, `suspect` that it recently missed an offer.
    pub fn open(
        link: SocketAddr,
        load: Option<&Load>,
        cost: f64,
        local: bool,
        suspect: bool,
    ) -> Self {
        let trust = if suspect { SUSPECT_FACTOR } else { 1.0 };
        let Some(load) = load else { return Self { link, cost, free: None, factor: trust } };
        let slots = f64::from(load.bound.min(load.slots).max(1));
        let used = f64::from(load.mean) / 100.0;
        let free = (slots - used).max(MIN_FREE * slots) / f64::from(load.service_time.max(1));
        let local = if local && used < LOCAL_UTILISATION * slots { LOCAL_FACTOR } else { 1.0 };
        Self { link, cost, free: Some(free), factor: local * trust }
    }
}

/// Draws candidates by free capacity, and returns the one among them with the least cost.
///
/// An agent that was not heard from, as when the reports of a failure domain are cut, counts
/// as the mean of the others: as an idle one, it would get several times its share.
pub fn choose<'a>(candidates: &'a [Candidate], rng: &mut impl Rng) -> Option<&'a Candidate> {
    let known: Vec<f64> = candidates.iter().filter_map(|c| c.free).collect();
    let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    let weights: Vec<f64> = candidates.iter().map(|c| c.free.unwrap_or(mean) * c.factor).collect();
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
