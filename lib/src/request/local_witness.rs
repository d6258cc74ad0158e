//! An agent's own witness, with its recovery after a start.

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
enum State {
    Abstaining(Witness<Abstaining>),
    Granting(Witness<Granting>),
}

/// The witness of this agent, and the peers that have reported since its start.
///
/// It abstains on requests that may have been sent before its start, until every
/// member of every open membership has reported the grants of its earlier runs.
#[derive(Debug)]
pub struct LocalWitness {
    state: State,
    reported: BTreeSet<Name>,
}

impl LocalWitness {
    /// Creates a witness that has just started.
    pub fn open(now: Moment) -> Self {
        Self { state: State::Abstaining(Witness::open(now)), reported: BTreeSet::new() }
    }

    /// Returns whether the witness still abstains.
    pub fn is_recovering(&self) -> bool {
        matches!(self.state, State::Abstaining(_))
    }

    /// Returns whether the witness would abstain on a request that arrives now.
    pub fn abstains(&self, context: &Context, now: Moment) -> bool {
        match &self.state {
            State::Abstaining(witness) => !witness.can_vote(context.freshness(), now),
            State::Granting(_) => false,
        }
    }

    /// Votes on a request for which `holder` collects votes under `revisions`.
    ///
    /// # Errors
    ///
    /// Returns the open memberships if `revisions` lacks any of them.
    pub fn vote(
        &mut self,
        context: &mut Context,
        key: RequestKey,
        holder: &Holder,
        seen: Moment,
        revisions: &[u64],
        now: Moment,
    ) -> Result<Vote, Vec<Membership>> {
        let lacking = context.joint.all().any(|m| !revisions.contains(&m.revision));
        if lacking && context.enforces(Safeguard::JointMajority) {
            context.count(Reason::Behind);
            return Err(context.joint.all().map(|m| (**m).clone()).collect());
        }
        let freshness = context.freshness();
        let vote = match &mut self.state {
            _ if !freshness.is_fresh(seen, now) => Vote::Abstained,
            State::Abstaining(witness) => witness.vote(key, holder, seen, freshness, now),
            State::Granting(witness) => witness.vote(key, holder, now),
        };
        if vote == Vote::Abstained {
            context.count(Reason::Abstained);
        }
        Ok(vote)
    }

    /// Adds the grants from before this start that a peer reported.
    ///
    /// The report is incomplete if the peer itself is `recovering`.
    pub fn learn(
        &mut self,
        context: &mut Context,
        peer: &Name,
        grants: &[Grant],
        recovering: bool,
        now: Moment,
    ) {
        let State::Abstaining(witness) = &mut self.state else {
            return;
        };
        for grant in grants {
            witness.learn(grant, now);
        }
        if !recovering {
            self.reported.insert(peer.clone());
        }
        self.advance(context, now);
    }

    /// Returns the peers that have not reported their grants yet.
    pub fn unreported(&self, context: &Context) -> BTreeSet<Name> {
        if !self.is_recovering() {
            return BTreeSet::new();
        }
        let mut names = context.joint.members();
        names.remove(&context.me);
        names.difference(&self.reported).cloned().collect()
    }

    /// Returns the grants that `concerns` selects.
    pub fn grants_for(&self, concerns: impl Fn(&RequestKey) -> bool) -> Vec<Grant> {
        match &self.state {
            State::Abstaining(w) => w.grants(concerns),
            State::Granting(w) => w.grants(concerns),
        }
    }

    /// Removes grants whose retention period has ended, and ends the abstention
    /// when it is no longer needed.
    pub fn sweep(&mut self, context: &Context, now: Moment) {
        match &mut self.state {
            State::Abstaining(w) => w.expire(context.freshness(), now),
            State::Granting(w) => w.expire(context.freshness(), now),
        }
        self.advance(context, now);
    }

    /// Handles a change of the open memberships, across which grants are kept.
    pub fn joint_changed(&mut self, context: &Context) {
        if !context.enforces(Safeguard::GrantMemory) {
            self.state = State::Granting(Witness::open(Moment(0)).start_granting());
        }
    }

    /// Returns the number of grants kept.
    pub fn len(&self) -> usize {
        match &self.state {
            State::Abstaining(w) => w.len(),
            State::Granting(w) => w.len(),
        }
    }

    /// Returns whether no grant is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Ends the abstention once all peers have reported or no earlier grant counts
    /// any more.
    fn advance(&mut self, context: &Context, now: Moment) {
        let complete = context.joint.members().len() > 1 && self.unreported(context).is_empty();
        let State::Abstaining(witness) = &self.state else {
            return;
        };
        if complete
            || witness.may_grant(context.freshness(), now)
            || !context.enforces(Safeguard::Abstention)
        {
            let placeholder = Witness::open(now);
            if let State::Abstaining(witness) =
                std::mem::replace(&mut self.state, State::Abstaining(placeholder))
            {
                self.state = State::Granting(witness.start_granting());
            }
        }
    }
}
