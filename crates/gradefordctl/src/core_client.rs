//! Asking core seats in turn until one answers.

use std::time::Duration;

pub struct CoreClient {
    http: reqwest::Client,
    cores: Vec<String>,
}

pub type Answer = (u16, serde_json::Value);

impl CoreClient {
    pub fn new(cores: Vec<String>) -> Result<CoreClient, String> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(Duration::from_secs(1))
            .timeout(Duration::from_secs(8))
            .build()
            .map_err(|error| error.to_string())?;
        Ok(CoreClient { http, cores })
    }

    pub async fn get(&self, path: &str) -> Option<Answer> {
        self.first_answer(|core| self.http.get(format!("http://{core}{path}")))
            .await
    }

    /// The change carries its own id: asking the next seat after one that fell silent is safe.
    pub async fn post(&self, path: &str, body: &serde_json::Value) -> Option<Answer> {
        self.first_answer(|core| self.http.post(format!("http://{core}{path}")).json(body))
            .await
    }

    async fn first_answer(
        &self,
        request: impl Fn(&str) -> reqwest::RequestBuilder,
    ) -> Option<Answer> {
        let mut last = None;
        for core in &self.cores {
            match request(core).send().await {
                Ok(response) => {
                    let status = response.status().as_u16();
                    let answer = (
                        status,
                        response.json().await.unwrap_or(serde_json::Value::Null),
                    );
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
