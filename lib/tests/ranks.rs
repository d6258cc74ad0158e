//! Weighted rendezvous hashing: ranks, shares, and the flows that a change moves.

use lagoonhollow_lib::version::backend::Backend;
use lagoonhollow_lib::version::ranking::Ranking;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::property::holds;

const KEYS: u64 = 20_000;

fn members(count: u16) -> Vec<Backend> {
    docs::numbered(0, count).backends
}

fn homes(members: &[Backend]) -> Vec<usize> {
    let ranking = Ranking::open(members);
    (0..KEYS).map(|key| ranking.home(key).unwrap()).collect()
}

#[test]
fn ranks_are_a_permutation_that_starts_with_the_home() {
    fn property(key: u64, count: u8) -> bool {
        let count = 1 + u16::from(count) % 50;
        let ranking = Ranking::open(&members(count));
        let ranks = ranking.top(key, usize::from(count));
        let mut sorted = ranks.clone();
        sorted.sort_unstable();
        ranks.first().copied() == ranking.home(key)
            && sorted == (0..usize::from(count)).collect::<Vec<_>>()
    }
    holds(property as fn(u64, u8) -> bool);
}

#[test]
fn leaving_moves_only_the_flows_of_the_one_that_left() {
    fn property(key: u64, count: u8, left: u8) -> bool {
        let count = 2 + u16::from(count) % 20;
        let all = members(count);
        let left = usize::from(left) % all.len();
        let mut rest = all.clone();
        let gone = rest.remove(left);
        let before = &all[Ranking::open(&all).home(key).unwrap()].name;
        let after = &rest[Ranking::open(&rest).home(key).unwrap()].name;
        before == &gone.name || before == after
    }
    holds(property as fn(u64, u8, u8) -> bool);
}

#[test]
fn shares_follow_weights() {
    let mut members = members(4);
    for (member, weight) in members.iter_mut().zip([100, 100, 200, 400]) {
        member.weight = weight;
    }
    let homes = homes(&members);
    for (i, share) in [0.125, 0.125, 0.25, 0.5].into_iter().enumerate() {
        let found = homes.iter().filter(|h| **h == i).count() as f64 / KEYS as f64;
        assert!((found - share).abs() < 0.015, "member {i} has {found} instead of {share}");
    }
}

#[test]
fn a_join_moves_its_share_and_no_more() {
    let before = homes(&members(9));
    let after = homes(&members(10));
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count() as f64 / KEYS as f64;
    assert!((moved - 0.1).abs() < 0.01, "{moved} of the flows moved");
    assert!(before.iter().zip(&after).all(|(a, b)| a == b || *b == 9));
}
