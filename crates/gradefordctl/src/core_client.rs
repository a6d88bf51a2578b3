//! HTTP client that tries the replicas in turn until one of them answers.

use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use serde_json::Value;

/// Timeout for connecting to one replica.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the answer of one replica; longer than a replica waits for its majority.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Client of the replicas' operator API.
pub(crate) struct CoreClient {
    http: Client,
    cores: Vec<String>,
}

/// Status and JSON body of an answer.
pub(crate) struct Answer {
    /// HTTP status.
    pub status: u16,
    /// JSON body; null if the body was not valid JSON.
    pub body: Value,
}

impl CoreClient {
    /// Creates a client for the replicas at these operator addresses.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be initialized.
    pub(crate) fn new(cores: Vec<String>) -> Result<CoreClient, reqwest::Error> {
        let http = Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT)
            .build()?;
        Ok(CoreClient { http, cores })
    }

    /// Sends a `GET` to the replicas in turn, see [`CoreClient::first_answer`].
    pub(crate) async fn get(&self, path: &str) -> Option<Answer> {
        self.first_answer(|core| self.http.get(format!("http://{core}{path}")))
            .await
    }

    /// Sends a `POST` to the replicas in turn, see [`CoreClient::first_answer`]. Trying the next
    /// replica after one that did not answer is safe, because the bodies are idempotent: a change
    /// carries its id, a replacement the disk that it replaces.
    pub(crate) async fn post(&self, path: &str, body: &Value) -> Option<Answer> {
        self.first_answer(|core| self.http.post(format!("http://{core}{path}")).json(body))
            .await
    }

    /// Returns the first answer that is not a server error, otherwise the last server error, otherwise
    /// `None`.
    async fn first_answer(&self, request: impl Fn(&str) -> RequestBuilder) -> Option<Answer> {
        let mut last_error = None;
        for core in &self.cores {
            match request(core).send().await {
                Ok(response) => {
                    let status = response.status().as_u16();
                    let body = response.json().await.unwrap_or(Value::Null);
                    let answer = Answer { status, body };
                    if status < 500 {
                        return Some(answer);
                    }
                    last_error = Some(answer);
                }
                Err(error) => eprintln!("gradefordctl: {core}: {error}"),
            }
        }
        last_error
    }
}
