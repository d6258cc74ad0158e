//! An agent and its backend server on the fake network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::process::agent::Agent;
use lagoonhollow_lib::process::gossip::Gossip;
use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::manifest::InForce;
use lagoonhollow_lib::version::manifest::Manifest;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// One agent with its backend server.
pub struct Node {
    pub agent: Agent,
    pub run: Incarnation,
    pub gossip: Gossip,
    pub rng: Pcg64Mcg,
    /// Until when it is stopped.
    pub paused_until: Moment,
    /// Channels of the backend server.
    pub channels: BTreeMap<u64, Request>,
    /// Speed of the backend server.
    pub speed: f64,
    /// Service time that its work would have taken at speed 1.
    pub worked: Duration,
}

impl Node {
    pub fn open(
        name: &Name,
        run: Incarnation,
        manifest: Arc<Manifest<InForce>>,
        seed: u64,
        now: Moment,
    ) -> Option<Self> {
        let service = manifest.service_of(name)?.clone();
        let control = manifest.backend(name)?.control;
        Some(Self {
            agent: Agent::open(name.clone(), run, manifest, &service, seed, now),
            run,
            gossip: Gossip::open(name.clone(), control, false, now),
            rng: Pcg64Mcg::seed_from_u64(seed),
            paused_until: now,
            channels: BTreeMap::new(),
            speed: 1.0,
            worked: Duration::ZERO,
        })
    }

    #[cfg(feature = "variants")]
    pub fn disable(
        mut self,
        safeguard: Option<lagoonhollow_lib::process::safeguard::Safeguard>,
        now: Moment,
    ) -> Self {
        if let Some(safeguard) = safeguard {
            self.agent.disable(safeguard, now);
        }
        self
    }

    pub fn version(&self) -> u64 {
        self.agent.context().manifest.version()
    }

    pub fn notifications(&self, text: &str) -> Vec<(u64, Answer)> {
        self.channels.keys().map(|id| (*id, content(text))).collect()
    }
}

/// Returns an answer with a text.
pub fn content(text: &str) -> Answer {
    let mut answer = Answer::bare(Default::default(), Code::Content);
    answer.body = text.as_bytes().into();
    answer
}
