//! Transfers of HTTP answers, which may be long compared with the link.

use std::time::Duration;

use futures_util::StreamExt;
use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::http::StatusCode;
use ntex::time::Millis;
use tokio::time::timeout;

use crate::chunks::receive_all;
use crate::transfer_error::TransferError;

/// A request that has not been sent yet.
#[derive(Debug)]
pub struct Requested {
    client: Client,
    url: String,
    wait: Duration,
}

/// An answer has begun to arrive.
#[derive(Debug)]
pub struct Receiving {
    response: ClientResponse,
}

/// A transfer in state `S`.
#[derive(Debug)]
pub struct Transfer<S> {
    state: S,
}

impl Transfer<Requested> {
    /// Opens a GET request for `url`, whose answer has to begin within `wait`.
    pub fn open(client: &Client, url: String, wait: Duration) -> Self {
        Self { state: Requested { client: client.clone(), url, wait } }
    }

    /// Sends the request and waits until the answer begins.
    ///
    /// # Errors
    ///
    /// Returns an error if the server can't be reached or no answer begins in time.
    pub async fn send(self) -> Result<Transfer<Receiving>, TransferError> {
        let Requested { client, url, wait } = self.state;
        let request = client.get(url).timeout(Millis(wait.as_millis() as u32));
        let response = timeout(wait, request.send()).await;
        let response = response.map_err(|_| TransferError::Unanswered { waited: wait })?;
        let response = response.map_err(|e| TransferError::Unreachable(e.to_string()))?;
        Ok(Transfer { state: Receiving { response } })
    }
}

impl Transfer<Receiving> {
    /// Returns the answer's HTTP status.
    pub fn status(&self) -> StatusCode {
        self.state.response.status()
    }

    /// Returns a header of the answer, none if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.state.response.header(name)?.to_str().ok()
    }

    /// Receives the rest of the answer, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer is too long, breaks off or is too slow.
    pub async fn receive(mut self, limit: usize) -> Result<Vec<u8>, TransferError> {
        receive_all(async || self.state.response.next().await, limit).await
    }
}
