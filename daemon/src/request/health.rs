//! What a backend server's health endpoint says.

use std::time::Duration;

use ntex::client::Client;
use serde::Deserialize;
use serde::Serialize;

/// Time that the endpoint is given.
const TIMEOUT: Duration = Duration::from_millis(400);

/// State of a backend server in its own words.
///
/// Its load is not asked for: it lags or misleads, so agents measure it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// It works.
    Ok,
    /// It has only just started.
    Cold,
    /// It is leaving.
    Draining,
}

/// The endpoint's answer; other fields are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthAnswer {
    /// The state.
    pub state: HealthState,
}

/// Asks the endpoint at `url`; none if it does not answer in time.
pub async fn query(client: &Client, url: &str) -> Option<HealthAnswer> {
    let asked = async {
        let response = client.get(url).send().await.ok()?;
        response.json::<HealthAnswer>().await.ok()
    };
    tokio::time::timeout(TIMEOUT, asked).await.ok().flatten()
}
