//! Reads later versions from the platform and from peers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::version::index::Index;
use lagoonhollow_wire::control::ControlCall;
use lagoonhollow_wire::control::ControlReply;
use rand::Rng;
use tokio::time::sleep;

use super::platform::Platform;
use super::platform::PlatformError;
use super::versions::Versions;
use crate::connection::control_endpoint::ControlEndpoint;
use crate::process::metrics::Metrics;

/// Longest random delay before changed documents are read. It keeps all watchers
/// together below the platform's rate limit; most get the version from a peer
/// meanwhile.
const MAX_JITTER: Duration = Duration::from_secs(6);
/// Backoff after the first failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Upper bound of the backoff after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Reads each later version from the platform, for the life of the process.
pub async fn follow(platform: Platform, versions: Versions, metrics: Arc<Metrics>) {
    let mut backoff = MIN_BACKOFF;
    // A version that was read and rejected is not read again.
    let mut rejected = 0;
    loop {
        let after = versions.number().max(rejected);
        match read(&platform, &versions, after).await {
            Ok(Some(version)) if versions.number() < version => rejected = version,
            Ok(_) => backoff = MIN_BACKOFF,
            Err(error) => {
                metrics.count(match error {
                    PlatformError::Unreadable { .. } => Reason::BadManifest,
                    PlatformError::Stale(_) => Reason::StaleManifest,
                    _ => Reason::PlatformDown,
                });
                spdlog::warn!("platform_unreadable", kv: { error: });
                sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0))).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Waits for a version later than `after`, reads and applies it; returns its
/// number.
async fn read(
    platform: &Platform,
    versions: &Versions,
    after: u64,
) -> Result<Option<u64>, PlatformError> {
    let Some(index) = platform.watch(after).await? else { return Ok(None) };
    if index.version <= after {
        return Err(PlatformError::Stale(index.version));
    }
    if after > 0 {
        sleep(MAX_JITTER.mul_f64(rand::rng().random_range(0.0..1.0))).await;
    }
    apply(platform, versions, index).await.map(Some)
}

async fn apply(
    platform: &Platform,
    versions: &Versions,
    index: Index,
) -> Result<u64, PlatformError> {
    let version = index.version;
    let mut docs = Vec::new();
    for service in versions.missing_docs(&index) {
        docs.push(Arc::new(platform.doc(&service).await?));
    }
    versions.apply(index, docs);
    Ok(version)
}

/// Pulls from a peer a version later than the one in force, if it has one.
pub async fn pull(
    control: &ControlEndpoint,
    peer: SocketAddr,
    versions: &Versions,
    metrics: &Metrics,
) {
    let known = versions.number();
    match control.call(peer, &ControlCall::Pull { known }).await {
        Ok(ControlReply::Delta { index, docs }) => {
            versions.apply(index, docs);
        }
        Ok(ControlReply::Done) => {}
        Err(error) => {
            metrics.count(Reason::PeerUnreachable);
            spdlog::debug!("pull_failed", kv: { peer:, error: });
        }
    }
}

/// Pulls from all `peers` in parallel at the start, for at most `wait`.
pub async fn pull_from_peers(
    control: &ControlEndpoint,
    peers: &[SocketAddr],
    versions: &Versions,
    metrics: &Metrics,
    wait: Duration,
) {
    let distinct: HashSet<_> = peers.iter().copied().collect();
    let pulls = distinct.into_iter().map(|peer| pull(control, peer, versions, metrics));
    let all = futures_util::future::join_all(pulls);
    let _ = tokio::time::timeout(wait, all).await;
}
