//! An agent and its backend server on the simulated network.

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
    /// Time until which its events are deferred.
    pub paused_until: Moment,
    /// Requests that opened the channels of the backend server, by run ID.
    pub channels: BTreeMap<u64, Request>,
    /// Speed of the backend server; its service times are divided by it.
    pub speed: f64,
    /// Total service time of its requests at speed 1.
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

    /// Returns a notification with `text` for each channel.
    pub fn notifications(&self, text: &str) -> Vec<(u64, Answer)> {
        self.channels.keys().map(|id| (*id, content(text))).collect()
    }
}

/// Returns a content answer with `text` as its body.
pub fn content(text: &str) -> Answer {
    let mut answer = Answer::bare(Default::default(), Code::Content);
    answer.body = text.as_bytes().into();
    answer
}
