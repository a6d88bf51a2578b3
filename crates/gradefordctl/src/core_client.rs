//! Asking replicas in turn until one answers.

use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use serde_json::Value;

/// How long connecting to one replica may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long one replica may take to answer, which is longer than it waits for its majority.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Speaks to the operators' interface of the replicas.
pub(crate) struct CoreClient {
    http: Client,
    cores: Vec<String>,
}

/// Status and JSON body of an answer; the body is null if it was no JSON.
pub(crate) struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

impl CoreClient {
    /// Makes a client for the replicas with these operators' addresses.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be set up.
    pub(crate) fn new(cores: Vec<String>) -> Result<CoreClient, reqwest::Error> {
        let http = Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT)
            .build()?;
        Ok(CoreClient { http, cores })
    }

    /// Answer to a `GET`, as of [`CoreClient::first_answer`].
    pub(crate) async fn get(&self, path: &str) -> Option<Answer> {
        self.first_answer(|core| self.http.get(format!("http://{core}{path}")))
            .await
    }

    /// Answer to a `POST`, as of [`CoreClient::first_answer`]. What is posted names itself, so asking
    /// the next replica after one that fell silent is safe.
    pub(crate) async fn post(&self, path: &str, body: &Value) -> Option<Answer> {
        self.first_answer(|core| self.http.post(format!("http://{core}{path}")).json(body))
            .await
    }

    /// The first answer that is no server error, else the last that is one, else `None`.
    async fn first_answer(&self, request: impl Fn(&str) -> RequestBuilder) -> Option<Answer> {
        let mut last = None;
        for core in &self.cores {
            match request(core).send().await {
                Ok(response) => {
                    let status = response.status().as_u16();
                    let body = response.json().await.unwrap_or(Value::Null);
                    let answer = Answer { status, body };
                    if status < 500 {
                        return Some(answer);
                    }
                    last = Some(answer);
                }
                Err(error) => eprintln!("gradefordctl: {core}: {error}"),
            }
        }
        last
    }
}
