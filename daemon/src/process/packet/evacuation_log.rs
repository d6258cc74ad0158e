//! Log of evacuations, and since when this process knows them.

use std::collections::BTreeMap;

use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::evacuations::Evacuations;
use lagoonhollow_lib::version::revision::Revision;

use crate::process::status::EvacuationStatus;

/// The evacuated failure domains, with the time at which this process learned of each.
#[derive(Debug, Default)]
pub struct EvacuationLog {
    domains: BTreeMap<Name, (Revision, Moment)>,
}

impl EvacuationLog {
    /// Logs what has begun and ended since the last call.
    pub fn update(&mut self, evacuations: &Evacuations, now: Moment) {
        self.domains.retain(|domain, _| {
            let kept = evacuations.covers(domain);
            if !kept {
                let (domain, revision) = (domain.as_str(), evacuations.revision());
                spdlog::info!("evacuation_ended", kv: { domain, revision: });
            }
            kept
        });
        for (domain, revision) in evacuations.domains() {
            let entry = self.domains.entry(domain.clone());
            entry.and_modify(|(known, _)| *known = revision).or_insert_with(|| {
                let domain = domain.as_str();
                spdlog::warn!("evacuation_began", kv: { domain, revision: });
                (revision, now)
            });
        }
    }

    /// Returns what `/status` shows.
    pub fn status(&self, now: Moment) -> Vec<EvacuationStatus> {
        let status = |(domain, (revision, since)): (&Name, &(Revision, Moment))| EvacuationStatus {
            domain: domain.to_string(),
            revision: revision.to_string(),
            known_for_ms: now.since(*since).as_millis() as u64,
        };
        self.domains.iter().map(status).collect()
    }
}
