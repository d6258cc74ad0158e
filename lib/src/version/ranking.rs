//! Weighted rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::backend::Backend;
use crate::value::name::Name;

/// Ranks of members for a key; processes with the same members compute the same.
#[derive(Clone, Debug)]
pub struct Ranking {
    candidates: Vec<Candidate>,
    // With equal weights the hash alone gives the same order and needs no
    // logarithm.
    equal_weights: bool,
}

#[derive(Clone, Debug)]
struct Candidate {
    seed: u64,
    weight: f64,
}

impl Ranking {
    /// Opens a ranking of `members`.
    pub fn open(members: &[Backend]) -> Self {
        Self::weighted(members.iter().map(|b| (&b.name, b.weight)))
    }

    /// Opens a ranking of members given by name and weight.
    pub fn weighted<'a>(members: impl Iterator<Item = (&'a Name, u32)>) -> Self {
        let candidate = |(name, weight): (&Name, u32)| Candidate {
            seed: xxh3_64(name.as_str().as_bytes()),
            weight: f64::from(weight),
        };
        let candidates: Vec<_> = members.map(candidate).collect();
        let equal_weights = candidates.windows(2).all(|pair| pair[0].weight == pair[1].weight);
        Self { candidates, equal_weights }
    }

    /// Returns the index of the member with the highest score.
    pub fn home(&self, key: u64) -> Option<usize> {
        let scores =
            self.candidates.iter().enumerate().map(|(i, c)| (c.score(key, self.equal_weights), i));
        scores.max_by(compare).map(|(_, i)| i)
    }

    /// Returns the indices of the `count` members with the highest scores.
    pub fn top(&self, key: u64, count: usize) -> Vec<usize> {
        let candidates = self.candidates.iter().enumerate();
        let mut scores: Vec<_> =
            candidates.map(|(i, c)| (c.score(key, self.equal_weights), i)).collect();
        if count < scores.len() {
            scores.select_nth_unstable_by(count, |a, b| compare(b, a));
            scores.truncate(count);
        }
        scores.sort_unstable_by(|a, b| compare(b, a));
        scores.into_iter().map(|(_, i)| i).collect()
    }
}

impl Candidate {
    // -w / ln(u) keeps each member's share proportional to its weight and moves
    // only the keys whose winner changes.
    fn score(&self, key: u64, equal_weights: bool) -> f64 {
        let hash = xxh3_64_with_seed(&key.to_le_bytes(), self.seed);
        let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        if equal_weights { unit } else { -self.weight / unit.ln() }
    }
}

fn compare(a: &(f64, usize), b: &(f64, usize)) -> std::cmp::Ordering {
    a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
}
