//! HTTP client for the operator port of router instances.

use std::time::Duration;

use reqwest::{Client, Method};
use serde_json::Value;

use crate::operator::ToolError;

/// Timeout of a request to an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client for the operator port of one instance.
#[derive(Clone, Debug)]
pub struct InstanceClient {
    client: Client,
    /// The address of the operator port as `IP:port`.
    pub address: String,
    key: String,
}

impl InstanceClient {
    /// Creates a client without opening a connection.
    ///
    /// # Errors
    ///
    /// Returns [`ToolError::Instance`] if the HTTP client cannot be built.
    pub fn new(address: &str, key: &str) -> Result<Self, ToolError> {
        let client = Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| ToolError::Instance {
                address: address.to_owned(),
                message: error.to_string(),
            })?;
        Ok(Self {
            client,
            address: address.to_owned(),
            key: key.to_owned(),
        })
    }

    /// Sends a request and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Returns [`ToolError::Instance`] if the request fails or its status is not a success.
    pub async fn call(&self, method: Method, path: &str) -> Result<Value, ToolError> {
        let url = format!("http://{}{path}", self.address);
        let request = self.client.request(method, url).bearer_auth(&self.key);
        let response = request
            .send()
            .await
            .map_err(|error| self.fail(&error.to_string()))?;
        let status = response.status();
        let body: Value = response.json().await.unwrap_or_default();
        if !status.is_success() {
            let message = body["error"]["message"].as_str().unwrap_or_default();
            return Err(self.fail(&format!("HTTP status {status} {message}")));
        }
        Ok(body)
    }

    fn fail(&self, message: &str) -> ToolError {
        ToolError::Instance {
            address: self.address.clone(),
            message: message.trim().to_owned(),
        }
    }
}
