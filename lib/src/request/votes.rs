//! An agent's part as a witness, from its start to its regular work.

use std::collections::BTreeSet;
use std::time::Duration;

use super::grant::Grant;
use super::grant::Holder;
use super::key::RequestKey;
use super::witness::Abstaining;
use super::witness::Granting;
use super::witness::Vote;
use super::witness::Witness;
use crate::process::context::Context;
use crate::process::moment::Moment;
use crate::process::name::Name;
use crate::process::reason::Reason;
use crate::version::membership::Membership;

#[derive(Debug)]
enum Stage {
    Abstaining(Witness<Abstaining>),
    Granting(Witness<Granting>),
}

/// A witness and what it still has to learn after its start.
///
/// It abstains for one request lifetime, or until every member of every open
/// membership has told it which requests it may have granted before.
#[derive(Debug)]
pub struct Votes {
    stage: Stage,
    told: BTreeSet<Name>,
    lifetime: Duration,
}

impl Votes {
    /// Opens a witness that has just started.
    pub fn open(lifetime: Duration, now: Moment) -> Self {
        let stage = Stage::Abstaining(Witness::open(now, lifetime));
        Self { stage, told: BTreeSet::new(), lifetime }
    }

    /// Returns whether the witness still abstains.
    pub fn is_recovering(&self) -> bool {
        matches!(self.stage, Stage::Abstaining(_))
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
        revisions: &[u64],
        now: Moment,
    ) -> Result<Vote, Vec<Membership>> {
        if context.joint.all().any(|m| !revisions.contains(&m.revision)) {
            context.count(Reason::Behind);
            return Err(context.joint.all().map(|m| (**m).clone()).collect());
        }
        let vote = match &mut self.stage {
            Stage::Abstaining(_) => Vote::Abstained,
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
    pub fn sweep(&mut self, context: &Context, lifetime: Duration, now: Moment) {
        if lifetime > self.lifetime {
            let longer = lifetime - self.lifetime;
            self.lifetime = lifetime;
            if let Stage::Abstaining(w) = &mut self.stage {
                w.extend(longer);
            }
        }
        match &mut self.stage {
            Stage::Abstaining(w) => w.expire(now, self.lifetime),
            Stage::Granting(w) => w.expire(now, self.lifetime),
        }
        self.advance(context, now);
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
        if told || witness.is_due(now) {
            let fresh = Witness::open(now, Duration::ZERO);
            if let Stage::Abstaining(witness) =
                std::mem::replace(&mut self.stage, Stage::Abstaining(fresh))
            {
                self.stage = Stage::Granting(witness.grant());
            }
        }
    }
}
