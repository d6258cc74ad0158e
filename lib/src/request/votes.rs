//! An agent's part as a witness, from its start to its regular work.

use std::collections::BTreeSet;

use super::grant::Grant;
use super::grant::Holder;
use super::key::RequestKey;
use super::witness::Abstaining;
use super::witness::Granting;
use super::witness::Vote;
use super::witness::Witness;
use crate::process::context::Context;
use crate::process::safeguard::Safeguard;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;
use crate::version::membership::Membership;

#[derive(Debug)]
enum Stage {
    Abstaining(Witness<Abstaining>),
    Granting(Witness<Granting>),
}

/// A witness and what it still has to learn after its start.
///
/// It abstains on requests that may have begun before its start, until every
/// member of every open membership has told it which ones it may have granted.
#[derive(Debug)]
pub struct Votes {
    stage: Stage,
    told: BTreeSet<Name>,
}

impl Votes {
    /// Opens a witness that has just started.
    pub fn open(now: Moment) -> Self {
        Self { stage: Stage::Abstaining(Witness::open(now)), told: BTreeSet::new() }
    }

    /// Returns whether the witness still abstains.
    pub fn is_recovering(&self) -> bool {
        matches!(self.stage, Stage::Abstaining(_))
    }

    /// Returns whether the witness would abstain on a request that begins now.
    pub fn abstains(&self, context: &Context, now: Moment) -> bool {
        match &self.stage {
            Stage::Abstaining(witness) => !witness.is_open(context.freshness(), now),
            Stage::Granting(_) => false,
        }
    }

    /// Votes on a request, or returns the memberships that the ballot lacks.
    ///
    /// # Errors
    ///
    /// Returns the open memberships if `revisions` lacks any of them.
    pub fn elect(
        &mut self,
        context: &mut Context,
        key: RequestKey,
        holder: &Holder,
        seen: Moment,
        revisions: &[u64],
        now: Moment,
    ) -> Result<Vote, Vec<Membership>> {
        let lacking = context.joint.all().any(|m| !revisions.contains(&m.revision));
        if lacking && context.keeps(Safeguard::JointMajority) {
            context.count(Reason::Behind);
            return Err(context.joint.all().map(|m| (**m).clone()).collect());
        }
        let freshness = context.freshness();
        let vote = match &mut self.stage {
            _ if !freshness.is_fresh(seen, now) => Vote::Abstained,
            Stage::Abstaining(witness) => witness.vote(key, holder, seen, freshness, now),
            Stage::Granting(witness) => witness.vote(key, holder, now),
        };
        if vote == Vote::Abstained {
            context.count(Reason::Abstained);
        }
        Ok(vote)
    }

    /// Takes in what a peer knows of grants made before this start.
    pub fn learn(
        &mut self,
        context: &mut Context,
        peer: &Name,
        grants: &[Grant],
        recovering: bool,
        now: Moment,
    ) {
        let Stage::Abstaining(witness) = &mut self.stage else {
            return;
        };
        for grant in grants {
            witness.learn(grant, now);
        }
        if !recovering {
            self.told.insert(peer.clone());
        }
        self.advance(context, now);
    }

    /// Returns the peers that have yet to tell their grants.
    pub fn untold(&self, context: &Context) -> BTreeSet<Name> {
        if !self.is_recovering() {
            return BTreeSet::new();
        }
        let mut names = context.joint.members();
        names.remove(&context.me);
        names.difference(&self.told).cloned().collect()
    }

    /// Returns the grants that concern `witness`.
    pub fn grants_for(&self, concerns: impl Fn(&RequestKey) -> bool) -> Vec<Grant> {
        match &self.stage {
            Stage::Abstaining(w) => w.grants(concerns),
            Stage::Granting(w) => w.grants(concerns),
        }
    }

    /// Forgets what is too old and ends the abstention when it is due.
    pub fn sweep(&mut self, context: &Context, now: Moment) {
        match &mut self.stage {
            Stage::Abstaining(w) => w.expire(context.freshness(), now),
            Stage::Granting(w) => w.expire(context.freshness(), now),
        }
        self.advance(context, now);
    }

    /// Follows a change of the open memberships: grants outlast it.
    pub fn joint_changed(&mut self, context: &Context) {
        if !context.keeps(Safeguard::GrantMemory) {
            self.stage = Stage::Granting(Witness::open(Moment(0)).grant());
        }
    }

    /// Returns the number of grants remembered.
    pub fn len(&self) -> usize {
        match &self.stage {
            Stage::Abstaining(w) => w.len(),
            Stage::Granting(w) => w.len(),
        }
    }

    /// Returns whether no grant is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn advance(&mut self, context: &Context, now: Moment) {
        let told = context.joint.members().len() > 1 && self.untold(context).is_empty();
        let Stage::Abstaining(witness) = &self.stage else {
            return;
        };
        if told || witness.is_due(context.freshness(), now) || !context.keeps(Safeguard::Abstention)
        {
            let fresh = Witness::open(now);
            if let Stage::Abstaining(witness) =
                std::mem::replace(&mut self.stage, Stage::Abstaining(fresh))
            {
                self.stage = Stage::Granting(witness.grant());
            }
        }
    }
}
