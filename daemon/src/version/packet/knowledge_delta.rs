//! The changes that processes read from each other.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::process::registry::RegistryUpdate;
use lagoonhollow_lib::version::routes::Published;
use ntex::client::Client;
use ntex::time::Millis;
use serde::Deserialize;
use serde::Serialize;

/// HTTP path at which a process serves what it knows.
pub const PATH: &str = "/knowledge";
/// Time within which another process has to answer.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest answer in bytes: the routes and backend servers of the largest fleet.
const MAX_BODY: usize = 8 << 20;

/// What one process knows beyond the versions that another one has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnowledgeDelta {
    /// The routes in force, if they are later.
    pub routes: Option<Published>,
    /// The changes of registered backend servers.
    pub roster: RegistryUpdate,
}

impl KnowledgeDelta {
    /// Reads what the process at `peer` knows beyond `known`.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if the process can't be reached, does
    /// not answer in time or its answer can't be decoded.
    pub async fn fetch(
        client: &Client,
        peer: SocketAddr,
        known: KnownVersions,
    ) -> Result<Self, String> {
        let KnownVersions { routes, roster } = known;
        let answer = async {
            let url = format!("http://{peer}{PATH}?routes={routes}&roster={roster}");
            let request = client.get(url);
            let request = request.timeout(Millis(READ_TIMEOUT.as_millis() as u32));
            let response = request.send().await.map_err(|e| e.to_string())?;
            let body = response.body().limit(MAX_BODY).await.map_err(|e| e.to_string())?;
            serde_json::from_slice(&body).map_err(|e| e.to_string())
        };
        tokio::time::timeout(READ_TIMEOUT, answer).await.map_err(|_| "timeout".to_owned())?
    }
}
