//! Queries of a backend server's health endpoint.

use std::time::Duration;

use ntex::client::Client;
use serde::Deserialize;
use serde::Serialize;

/// Time within which the endpoint has to answer.
const TIMEOUT: Duration = Duration::from_millis(400);

/// State of a backend server as it reports it.
///
/// The load that it reports is ignored: it lags or misleads, so agents measure it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// It works normally.
    Ok,
    /// It has only just started.
    Cold,
    /// It is about to stop.
    Draining,
}

/// The endpoint's answer. Other fields are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthAnswer {
    /// The state.
    pub state: HealthState,
}

/// Queries the endpoint at `url`. Returns `None` if it does not answer in time or
/// the answer can't be decoded.
pub async fn query(client: &Client, url: &str) -> Option<HealthAnswer> {
    let asked = async {
        let response = client.get(url).send().await.ok()?;
        response.json::<HealthAnswer>().await.ok()
    };
    tokio::time::timeout(TIMEOUT, asked).await.ok().flatten()
}
