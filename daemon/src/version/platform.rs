//! A client of the platform's configuration service over HTTP.
//!
//! No other module depends on the interface of that service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_lib::version::index::Index;
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::time::Millis;
use serde::de::DeserializeOwned;

use crate::process::metrics::Metrics;

/// Time that the service may wait for a change before it answers a watch.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which the service has to answer, on top of the wait of a watch.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest response body in bytes: a value of one megabyte, with room for its
/// encoding.
const MAX_VALUE: usize = 2 << 20;

/// Why a read from the platform failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// It does not answer.
    #[display("platform does not answer: {_0}")]
    Unavailable(#[error(not(source))] String),
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
        self.read(&key, WATCH_TIMEOUT + READ_TIMEOUT).await
    }

    /// Reads the document of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be read or has no such document.
    pub async fn doc(&self, service: &Name) -> Result<Doc, PlatformError> {
        let key = format!("service/{service}");
        let doc = self.read(&key, READ_TIMEOUT).await?;
        doc.ok_or(PlatformError::HttpStatus(StatusCode::NOT_MODIFIED.as_u16()))
    }

    /// Reads the list of live VMs of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be read.
    pub async fn live(&self, service: &Name) -> Result<BTreeSet<Name>, PlatformError> {
        let list = self.read(&format!("live/{service}"), READ_TIMEOUT).await?;
        Ok(list.unwrap_or_default())
    }

    async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
        limit: Duration,
    ) -> Result<Option<T>, PlatformError> {
        self.metrics.platform_calls.inc();
        let asked = tokio::time::timeout(limit, self.fetch(key, limit)).await;
        let bytes = asked.map_err(|_| PlatformError::Unavailable("timeout".to_owned()))??;
        let Some(bytes) = bytes else { return Ok(None) };
        self.metrics.platform_bytes.inc_by(bytes.len() as u64);
        serde_json::from_slice(&bytes).map(Some).map_err(|e| {
            let problem = e.to_string();
            PlatformError::Unreadable { key: key.to_owned(), problem }
        })
    }

    async fn fetch(&self, key: &str, limit: Duration) -> Result<Option<Vec<u8>>, PlatformError> {
        let down = |e: &dyn std::fmt::Display| PlatformError::Unavailable(e.to_string());
        let request = self.client.get(format!("{}/{key}", self.base_url));
        let limit = Millis(limit.as_millis() as u32);
        let response = request.timeout(limit).send().await.map_err(|e| down(&e))?;
        match response.status() {
            StatusCode::OK => {
                let body = response.body().limit(MAX_VALUE).await.map_err(|e| down(&e))?;
                Ok(Some(body.to_vec()))
            }
            StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(PlatformError::HttpStatus(status.as_u16())),
        }
    }
}
