//! The changes that processes read from each other.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::process::registry::RegistryUpdate;
use lagoonhollow_lib::version::evacuations::Evacuations;
use lagoonhollow_lib::version::routes_update::RoutesUpdate;
use lagoonhollow_wire::transfer::Transfer;
use lagoonhollow_wire::transfer_error::TransferError;
use ntex::client::Client;
use serde::Deserialize;
use serde::Serialize;

/// HTTP path at which a process serves what it knows.
pub const PATH: &str = "/knowledge";
/// Time within which the answer of another process has to begin.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest answer in bytes: the routes and backend servers of the largest fleet.
const MAX_BODY: usize = 8 << 20;

/// What one process knows beyond the versions that another one has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnowledgeDelta {
    /// What brings the reader to the routes in force, if they are later.
    pub routes: Option<RoutesUpdate>,
    /// The changes of registered backend servers.
    pub roster: RegistryUpdate,
    /// The versions that the process knows, to which this brings the reader.
    #[serde(default)]
    pub known: KnownVersions,
    /// Time in milliseconds since the process's knowledge was certainly that of the store;
    /// none if it can't tell, or entries may be missing.
    #[serde(default)]
    pub age_ms: Option<u16>,
    /// The evacuated failure domains, if they are later.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
}

/// Why another process's knowledge could not be read.
#[derive(Debug, Display, Error, From)]
pub enum PullError {
    /// The answer did not arrive, or not completely.
    Transfer(TransferError),
    /// The answer can't be decoded.
    #[display("answer can't be decoded: {_0}")]
    Unreadable(serde_json::Error),
}

impl KnowledgeDelta {
    /// Reads what the process at `peer` knows beyond `known`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be reached, does not answer in time or
    /// its answer can't be decoded.
    pub async fn fetch(
        client: &Client,
        peer: SocketAddr,
        known: KnownVersions,
    ) -> Result<Self, PullError> {
        let KnownVersions { routes, roster, evacuations } = known;
        let (roster, evacuations) = (u64::from(roster), u64::from(evacuations));
        let query = format!("routes={routes}&roster={roster}&evacuations={evacuations}");
        let url = format!("http://{peer}{PATH}?{query}");
        let transfer = Transfer::open(client, url, ANSWER_TIMEOUT).send().await?;
        let body = transfer.receive(MAX_BODY).await?;
        serde_json::from_slice(&body).map_err(PullError::Unreadable)
    }
}
