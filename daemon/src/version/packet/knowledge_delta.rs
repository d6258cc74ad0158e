//! What processes read from each other.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::process::registry::RegistryUpdate;
use lagoonhollow_lib::version::routes::Published;
use ntex::client::Client;
use ntex::time::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Path under which a process shows what it knows.
pub const PATH: &str = "/knowledge";
/// Time that another process is given to answer.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest answer in bytes: the routes and backend servers of the largest fleet.
const MAX_BODY: usize = 8 << 20;

/// What a process knows beyond what the one that asks has named.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnowledgeDelta {
    /// The routes in force, if they are later.
    pub routes: Option<Published>,
    /// What is new of the entries of backend servers.
    pub roster: RegistryUpdate,
}

impl KnowledgeDelta {
    /// Reads what the process at `peer` knows beyond `known`.
    ///
    /// # Errors
    ///
    /// Returns what went wrong if it does not answer in time.
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
