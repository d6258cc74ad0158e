//! A client of the platform's configuration service over HTTP.
//!
//! No other module depends on the interface of that service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_lib::version::index::Index;
use lagoonhollow_wire::transfer::Transfer;
use lagoonhollow_wire::transfer_error::TransferError;
use ntex::client::Client;
use ntex::http::StatusCode;
use serde::de::DeserializeOwned;

use crate::process::metrics::Metrics;

/// Time that the service may wait for a change before it answers a watch.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which an answer has to begin, on top of the wait of a watch.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest response body in bytes: a value of one megabyte, with room for its
/// encoding.
const MAX_VALUE: usize = 2 << 20;

/// Why a read from the platform failed.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum PlatformError {
    /// It does not answer, or not completely.
    #[display("platform does not answer: {_0}")]
    #[from]
    Unavailable(TransferError),
    /// It answers with an unexpected HTTP status.
    #[display("platform answers with HTTP status {_0}")]
    HttpStatus(#[error(not(source))] u16),
    /// It answers with a version that is not later than the one asked for.
    #[display("platform is stale at version {_0}")]
    Stale(#[error(not(source))] u64),
    /// The value can't be decoded.
    #[display("{key}: {problem}")]
    Unreadable {
        /// The key.
        key: String,
        /// What is wrong with its value.
        problem: String,
    },
}

/// A client of the configuration service.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    base_url: String,
    metrics: Arc<Metrics>,
}

impl Platform {
    /// Opens a client of the service at `base_url`.
    pub async fn open(base_url: &str, metrics: Arc<Metrics>) -> Self {
        let client = Client::builder().disable_timeout().build(ntex::SharedCfg::default()).await;
        let client = match client {
            Ok(client) => client,
            Err(_) => Client::new().await,
        };
        Self { client, base_url: base_url.to_owned(), metrics }
    }

    /// Waits for an index later than version `after`. Returns `None` if there is
    /// none within [`WATCH_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be read.
    pub async fn watch(&self, after: u64) -> Result<Option<Index>, PlatformError> {
        let wait = if after == 0 { 0 } else { WATCH_TIMEOUT.as_millis() };
        let key = format!("index?after={after}&wait_ms={wait}");
        self.read(&key, WATCH_TIMEOUT + ANSWER_TIMEOUT).await
    }

    /// Reads the document of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be read or has no such document.
    pub async fn doc(&self, service: &Name) -> Result<Doc, PlatformError> {
        let key = format!("service/{service}");
        let doc = self.read(&key, ANSWER_TIMEOUT).await?;
        doc.ok_or(PlatformError::HttpStatus(StatusCode::NOT_MODIFIED.as_u16()))
    }

    /// Reads the list of live VMs of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be read.
    pub async fn live(&self, service: &Name) -> Result<BTreeSet<Name>, PlatformError> {
        let list = self.read(&format!("live/{service}"), ANSWER_TIMEOUT).await?;
        Ok(list.unwrap_or_default())
    }

    async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
        wait: Duration,
    ) -> Result<Option<T>, PlatformError> {
        self.metrics.platform_calls.inc();
        let url = format!("{}/{key}", self.base_url);
        let transfer = Transfer::open(&self.client, url, wait).send().await?;
        let bytes = match transfer.status() {
            StatusCode::OK => transfer.receive(MAX_VALUE).await?,
            StatusCode::NOT_MODIFIED => return Ok(None),
            status => return Err(PlatformError::HttpStatus(status.as_u16())),
        };
        self.metrics.platform_bytes.inc_by(bytes.len() as u64);
        serde_json::from_slice(&bytes).map(Some).map_err(|e| {
            let problem = e.to_string();
            PlatformError::Unreadable { key: key.to_owned(), problem }
        })
    }
}
