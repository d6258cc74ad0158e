//! Reading of later versions from the platform and from peers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::version::index::Index;
use lagoonhollow_wire::control::Call;
use lagoonhollow_wire::control::Return;
use rand::Rng;
use tokio::time::sleep;

use super::platform::Platform;
use super::platform::PlatformError;
use super::versions::Versions;
use crate::connection::endpoint::Control;
use crate::process::metrics::Metrics;

/// Longest wait before the changed documents are read, so that all watchers
/// together stay below the platform's rate. Most have the version from a peer
/// by then.
const JITTER: Duration = Duration::from_secs(6);
/// First pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after failed reads.
const LAST_PAUSE: Duration = Duration::from_secs(10);

/// Follows the platform for good.
pub async fn follow(platform: Platform, versions: Versions, metrics: Arc<Metrics>) {
    let mut pause = FIRST_PAUSE;
    // A version that was read and refused is not read again.
    let mut refused = 0;
    loop {
        let after = versions.number().max(refused);
        match read(&platform, &versions, after).await {
            Ok(Some(version)) if versions.number() < version => refused = version,
            Ok(_) => pause = FIRST_PAUSE,
            Err(error) => {
                metrics.count(match error {
                    PlatformError::Unreadable { .. } => Reason::BadManifest,
                    PlatformError::Stale(_) => Reason::StaleManifest,
                    _ => Reason::PlatformDown,
                });
                spdlog::warn!("platform_unreadable", kv: { error: });
                sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
                pause = (pause * 2).min(LAST_PAUSE);
            }
        }
    }
}

/// Waits for a later version, reads and applies it; returns its number.
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
        sleep(JITTER.mul_f64(rand::rng().random_range(0.0..1.0))).await;
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
    for service in versions.missing(&index) {
        docs.push(Arc::new(platform.doc(&service).await?));
    }
    versions.apply(index, docs);
    Ok(version)
}

/// Reads what a peer knows beyond the version in force.
pub async fn pull(control: &Control, peer: SocketAddr, versions: &Versions, metrics: &Metrics) {
    let have = versions.number();
    match control.call(peer, &Call::Pull { have }).await {
        Ok(Return::Difference { index, docs }) => {
            versions.apply(index, docs);
        }
        Ok(Return::Done) => {}
        Err(error) => {
            metrics.count(Reason::PeerUnreachable);
            spdlog::debug!("pull_failed", kv: { peer:, error: });
        }
    }
}

/// Asks all of `peers` at the start, for at most `wait`.
pub async fn ask_peers(
    control: &Control,
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
