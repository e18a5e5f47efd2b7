//! Calls to the operators' port of router instances.

use std::time::Duration;

use reqwest::{Client, Method};
use serde_json::Value;

use crate::operator::ToolError;

/// Longest wait for an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls one instance.
#[derive(Clone, Debug)]
pub struct InstanceClient {
    client: Client,
    /// The address of the operators' port as `IP:port`.
    pub address: String,
    key: String,
}

impl InstanceClient {
    /// Creates a client; no connection is opened yet.
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

    /// Calls a path and returns the JSON answer.
    ///
    /// # Errors
    ///
    /// Returns [`ToolError::Instance`] if the instance does not answer with success and JSON.
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
            return Err(self.fail(&format!("answer {status} {message}")));
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
