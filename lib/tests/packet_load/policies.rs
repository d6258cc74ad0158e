//! Ways to choose a backend server, against which placement is measured.

use std::net::SocketAddr;

use lagoonhollow_lib::connection::candidate;
use lagoonhollow_lib::connection::candidate::Candidate;
use lagoonhollow_lib::process::neighbours::Neighbours;
use lagoonhollow_lib::request::load_meter::Load;
use lagoonhollow_lib::value::moment::Moment;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::fleet::Policy;
use super::fleet::Start;

/// Slots assumed for an agent that was not heard from.
const SLOTS: u32 = 3;

/// The backend servers that accept flows and have not declined, with their load and the
/// flows placed there since the report.
fn open(
    view: &Neighbours,
    links: &[SocketAddr],
    offered: &[usize],
    now: Moment,
) -> Vec<(usize, Load, u32)> {
    let candidates = links.iter().enumerate().filter(|(i, _)| !offered.contains(i));
    let fits = candidates.filter(|(_, l)| !view.is_suspect(**l, now));
    let load = |l: &SocketAddr| match view.get(*l) {
        Some(n) => (n.load, n.charged),
        None => (Load::unknown(SLOTS), view.charged_unheard(*l)),
    };
    let accepting = |l: &SocketAddr| view.get(*l).is_none_or(|n| n.accepting);
    fits.filter(|(_, l)| accepting(l)).map(|(i, l)| (i, load(l).0, load(l).1)).collect()
}

/// The least expected completion time, with 5% of jitter.
pub struct Minimum;

impl Policy for Minimum {
    fn choose(
        &self,
        view: &Neighbours,
        links: &[SocketAddr],
        offered: &[usize],
        domain: usize,
        rng: &mut Pcg64Mcg,
        now: Moment,
    ) -> Option<usize> {
        let costs = open(view, links, offered, now).into_iter();
        let costs = costs.map(|(i, l, c)| {
            let far = if i % 3 == domain { 0.0 } else { 3_000.0 };
            (i, l.completion(c) * rng.random_range(1.0..1.05) + far)
        });
        costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
    }
}

/// The fewest requests.
pub struct Fewest;

impl Policy for Fewest {
    fn choose(
        &self,
        view: &Neighbours,
        links: &[SocketAddr],
        offered: &[usize],
        _: usize,
        rng: &mut Pcg64Mcg,
        now: Moment,
    ) -> Option<usize> {
        let open = open(view, links, offered, now).into_iter();
        open.min_by_key(|(_, l, c)| (u32::from(l.busy) + c, rng.random::<u32>())).map(|c| c.0)
    }
}

/// The one with fewer requests among two drawn at random.
pub struct TwoChoices;

impl Policy for TwoChoices {
    fn choose(
        &self,
        view: &Neighbours,
        links: &[SocketAddr],
        offered: &[usize],
        _: usize,
        rng: &mut Pcg64Mcg,
        now: Moment,
    ) -> Option<usize> {
        let open = open(view, links, offered, now);
        let mut draw = || (!open.is_empty()).then(|| open[rng.random_range(0..open.len())]);
        let drawn = [draw()?, draw()?];
        drawn.into_iter().min_by_key(|(_, l, c)| u32::from(l.busy) + c).map(|c| c.0)
    }
}

/// The homes' way: the better of two draws by free capacity, and agents that decline.
pub struct Drawn;

/// The same with another start of backend servers.
pub struct Starting(pub Start);

impl Policy for Starting {
    fn start(&self) -> Start {
        self.0
    }

    fn declines(&self) -> usize {
        Drawn.declines()
    }

    fn choose(
        &self,
        view: &Neighbours,
        links: &[SocketAddr],
        offered: &[usize],
        domain: usize,
        rng: &mut Pcg64Mcg,
        now: Moment,
    ) -> Option<usize> {
        Drawn.choose(view, links, offered, domain, rng, now)
    }
}

impl Policy for Drawn {
    fn declines(&self) -> usize {
        2
    }

    fn choose(
        &self,
        view: &Neighbours,
        links: &[SocketAddr],
        offered: &[usize],
        domain: usize,
        rng: &mut Pcg64Mcg,
        now: Moment,
    ) -> Option<usize> {
        let open = open(view, links, offered, now).into_iter();
        let candidates = open.map(|(i, l, c)| {
            let far = if i % 3 == domain { 0.0 } else { 3_000.0 };
            let heard = view.get(links[i]).map(|n| n.load);
            let unheard = if heard.is_some() { 0.0 } else { 50_000.0 };
            let cost = l.completion(c) + far + unheard;
            Candidate::open(links[i], heard.as_ref(), cost, i % 3 == domain, false)
        });
        let candidates: Vec<_> = candidates.collect();
        let chosen = candidate::choose(&candidates, rng)?;
        links.iter().position(|l| *l == chosen.link)
    }
}
