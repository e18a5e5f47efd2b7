//! HTTP client of the object API.

mod body;
mod response;

pub use body::{BodyError, BodyLimits, read_body};

use std::time::Duration;

use bytes::Bytes;
use reqwest::{Client, RequestBuilder, Response, StatusCode, Url, redirect::Policy};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use crate::{
    client::response::{
        ConflictResponse, InstancesResponse, ListResponse, ObjectResponse, VersionResponse,
    },
    store::{InstanceEntry, MAX_VALUE_BYTES, ObjectStore, Result, StoreError, VersionedValue},
};

/// Options of the object API client.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// The base URL, such as `http://127.0.0.1:7000`.
    pub address: String,
    /// The timeout for opening a connection. It allows for one retransmission of the first packet.
    pub connect_timeout: Duration,
    /// The timeout from sending a write to the end of its response, or from sending a read to the
    /// head of its response; a watch adds its own wait time.
    pub call_timeout: Duration,
    /// The limits of the body of a read. A large object takes long on a full link.
    pub body: BodyLimits,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            address: "http://127.0.0.1:7000".to_owned(),
            connect_timeout: Duration::from_millis(1_500),
            call_timeout: Duration::from_secs(2),
            body: BodyLimits::default(),
        }
    }
}

/// An error while creating the client.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The base address is not an `http` URL.
    #[snafu(display("platform address {address:?} is not an http URL"))]
    Address {
        /// The address as configured.
        address: String,
    },
    /// The HTTP client cannot be built.
    #[snafu(display("failed to build the HTTP client for the platform"))]
    Build {
        /// The cause.
        source: reqwest::Error,
    },
}

/// An [`ObjectStore`] over HTTP; clones share one connection pool.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: Client,
    base_url: Url,
    call_timeout: Duration,
    body: BodyLimits,
}

impl HttpStore {
    /// Creates a client without opening a connection.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the address is not an `http` URL or the HTTP client cannot be
    /// built.
    pub fn new(options: &ClientOptions) -> Result<Self, ClientError> {
        let base_url = parse_base_url(&options.address)?;
        let client = Client::builder()
            .connect_timeout(options.connect_timeout)
            .redirect(Policy::none())
            .tcp_nodelay(true)
            .no_proxy()
            .build()
            .context(BuildSnafu)?;
        Ok(Self {
            client,
            base_url,
            call_timeout: options.call_timeout,
            body: options.body,
        })
    }

    /// Builds the URL of an API path and escapes every segment of `key` and the query.
    fn build_url(&self, path: &str, key: &str, query: &[(&str, &str)]) -> Url {
        let mut url = self.base_url.clone();
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.pop_if_empty().push("v1").push(path);
            if !key.is_empty() {
                segments.extend(key.split('/'));
            }
        }
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        url
    }

    /// Sends a read and waits for the head of its response. A failed read changes nothing, so every
    /// error is `Unavailable`.
    async fn send_read(&self, request: RequestBuilder, limit: Duration) -> Result<Response> {
        let sent = timeout(limit, request.send()).await;
        let sent = sent.map_err(|_| {
            let ms = limit.as_millis();
            unavailable(format!("response did not begin within {ms} ms"))
        })?;
        sent.map_err(|error| unavailable(root_cause(&error)))
    }

    async fn read_json<T: DeserializeOwned>(&self, response: Response) -> Result<T> {
        let body = read_body(response, &self.body).await;
        let body = body.map_err(|error| unavailable(root_cause(&error)))?;
        serde_json::from_slice(&body).map_err(|error| unavailable(error.to_string()))
    }

    /// Sends a write. Of the transport errors, only a failed connect proves that the write was not
    /// executed; all others leave its result unknown.
    async fn send_write(&self, request: RequestBuilder, key: &str) -> Result<Response> {
        let result = request.timeout(self.call_timeout).send().await;
        let response = result.map_err(|error| match error.is_connect() {
            true => unavailable(root_cause(&error)),
            false => unknown(key, root_cause(&error)),
        })?;
        match response.status() {
            status if status.is_success() => Ok(response),
            StatusCode::NOT_FOUND => Err(not_found(key)),
            StatusCode::CONFLICT => Err(read_conflict(response, key).await),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => Err(unavailable("status 503".to_owned())),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge {
                key: key.to_owned(),
                bytes: MAX_VALUE_BYTES + 1,
            }),
            status => Err(unknown(key, format!("status {status}"))),
        }
    }
}

impl ObjectStore for HttpStore {
    async fn get(&self, key: &str) -> Result<VersionedValue> {
        let request = self.client.get(self.build_url("objects", key, &[]));
        let response = self.send_read(request, self.call_timeout).await?;
        match response.status() {
            StatusCode::OK => Ok(self.read_json::<ObjectResponse>(response).await?.into()),
            StatusCode::NOT_FOUND => Err(not_found(key)),
            status => Err(map_read_status(status)),
        }
    }

    async fn put(&self, key: &str, expected_version: u64, value: Bytes) -> Result<u64> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge {
                key: key.to_owned(),
                bytes: value.len(),
            });
        }
        let version = expected_version.to_string();
        let request = self
            .client
            .put(self.build_url("objects", key, &[("if_version", &version)]))
            .header("content-type", "application/json")
            .body(value);
        let response = self.send_write(request, key).await?;
        match response.json::<VersionResponse>().await {
            Ok(body) => Ok(body.version),
            Err(error) => Err(unknown(key, root_cause(&error))),
        }
    }

    async fn delete(&self, key: &str, expected_version: u64) -> Result<()> {
        let version = expected_version.to_string();
        let url = self.build_url("objects", key, &[("if_version", &version)]);
        let request = self.client.delete(url);
        self.send_write(request, key).await.map(|_| ())
    }

    async fn list(&self, prefix: &str, after: &str) -> Result<Vec<(String, u64)>> {
        let url = self.build_url("list", "", &[("prefix", prefix), ("after", after)]);
        let request = self.client.get(url);
        let response = self.send_read(request, self.call_timeout).await?;
        match response.status() {
            StatusCode::OK => Ok(self.read_json::<ListResponse>(response).await?.into()),
            status => Err(map_read_status(status)),
        }
    }

    async fn watch(
        &self,
        key: &str,
        after_version: u64,
        timeout: Duration,
    ) -> Result<Option<VersionedValue>> {
        let wait_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let (after, wait) = (after_version.to_string(), wait_ms.to_string());
        let query = [("after", after.as_str()), ("timeout_ms", wait.as_str())];
        let request = self.client.get(self.build_url("watch", key, &query));
        let limit = timeout.saturating_add(self.call_timeout);
        let response = self.send_read(request, limit).await?;
        match response.status() {
            StatusCode::OK => Ok(Some(
                self.read_json::<ObjectResponse>(response).await?.into(),
            )),
            StatusCode::NO_CONTENT => Ok(None),
            status => Err(map_read_status(status)),
        }
    }

    async fn instances(&self) -> Result<Vec<InstanceEntry>> {
        let request = self.client.get(self.build_url("instances", "", &[]));
        let response = self.send_read(request, self.call_timeout).await?;
        match response.status() {
            StatusCode::OK => Ok(self
                .read_json::<InstancesResponse>(response)
                .await?
                .instances),
            status => Err(map_read_status(status)),
        }
    }
}

fn parse_base_url(address: &str) -> Result<Url, ClientError> {
    match Url::parse(address) {
        Ok(url) if url.scheme() == "http" && !url.cannot_be_a_base() => Ok(url),
        _ => Err(ClientError::Address {
            address: address.to_owned(),
        }),
    }
}

async fn read_conflict(response: Response, key: &str) -> StoreError {
    // The status alone proves that the write was rejected, so a missing body does not make the
    // result unknown. The version is only a hint; callers fetch the object again anyway.
    let body = response
        .json::<ConflictResponse>()
        .await
        .unwrap_or_default();
    StoreError::Conflict {
        key: key.to_owned(),
        current: body.version,
    }
}

fn map_read_status(status: StatusCode) -> StoreError {
    match status {
        StatusCode::TOO_MANY_REQUESTS => StoreError::RateLimited,
        status => unavailable(format!("status {status}")),
    }
}

fn not_found(key: &str) -> StoreError {
    StoreError::NotFound {
        key: key.to_owned(),
    }
}

fn unavailable(reason: String) -> StoreError {
    StoreError::Unavailable { reason }
}

fn unknown(key: &str, reason: String) -> StoreError {
    StoreError::Unknown {
        key: key.to_owned(),
        reason,
    }
}

/// Returns the innermost cause, because the outer messages of the HTTP client only name the URL.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
