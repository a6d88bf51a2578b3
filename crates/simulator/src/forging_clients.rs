//! Stand-ins that lie: about their service, with old secrets, with another's secret and names (design 9.5).

use crate::history::Record;
use std::time::Duration;

#[derive(Clone)]
pub struct ForgingClient {
    node_address: String,
    zone: String,
    /// What it is, and where it may not send.
    service: String,
    target: (String, String),
    history: crate::history_writer::HistoryWriter,
    http: reqwest::Client,
}

impl ForgingClient {
    /// Beside the last machine, as a back end of the last service; at a site of one service it lies all the same.
    pub fn beside(fleet: &crate::fleet::Fleet) -> ForgingClient {
        let deployment = &fleet.deployment;
        let last = fleet.machines.len() - 1;
        let (_, service, zone) = deployment.backends().pop().unwrap_or_default();
        let forbidden = |lane: &&crate::deployment::RouteSpec| {
            !deployment
                .routes
                .iter()
                .any(|other| other.0 == service && other.1 == lane.1)
        };
        let lane = deployment
            .routes
            .iter()
            .find(forbidden)
            .unwrap_or(&deployment.routes[0]);
        let target = (lane.1.to_string(), lane.2.to_string());
        let (usher, notebook, http) = (
            fleet.machines[last].local_address.clone(),
            fleet.history_writer(),
            fleet.http.clone(),
        );
        ForgingClient {
            node_address: usher,
            zone: format!("z{zone}"),
            service: service.to_string(),
            target,
            history: notebook,
            http,
        }
    }

    /// Registered with no slots: it only sends.
    async fn register(&self, name: &str) -> Option<(String, String)> {
        let ask = serde_json::json!({ "name": name, "service": self.service, "zone": self.zone, "slots": 0, "address": "127.0.0.1:9" });
        let answer = self
            .http
            .post(format!("http://{}/back-end/register", self.node_address))
            .json(&ask)
            .send()
            .await
            .ok()?;
        let told: serde_json::Value = answer.json().await.ok()?;
        Some((
            told["secret"].as_str()?.to_string(),
            told["try_prefix"].as_str()?.to_string(),
        ))
    }

    async fn send_forged(&self, secret: &str, prefix: &str, number: u64) -> Result<(), String> {
        let (service, path) = &self.target;
        let (try_id, asked) = (format!("{prefix}{}/{number}", self.service), model::now());
        let request = self
            .http
            .post(format!("http://{}/call/{service}{path}", self.node_address))
            .bearer_auth(secret);
        let lies = [
            (backend_api::CLIENT_HEADER, service.as_str()),
            (backend_api::SERVICE_HEADER, &self.service),
            (backend_api::INCARNATION_HEADER, "1"),
            (backend_api::FENCING_TOKEN_HEADER, "1"),
        ];
        let request = lies.into_iter().fold(request, |request, (name, value)| {
            request.header(name, value)
        });
        let answer = request
            .header(backend_api::ATTEMPT_ID_HEADER, &try_id)
            .header(backend_api::SHARD_KEY_HEADER, "hot")
            .send()
            .await;
        let Ok(response) = answer else { return Ok(()) };
        let status = response.status().as_u16();
        let verdict = response
            .headers()
            .get("x-gradeford-verdict")
            .and_then(|value| value.to_str().ok())
            .map(str::to_string);
        let told: serde_json::Value = response.json().await.unwrap_or_default();
        self.history.write(&Record::ClientAnswered {
            attempt_id: try_id,
            asked,
            at: model::now(),
            wait_us: crate::deployment::DEFAULT_WAIT_US,
            repeated: true,
            client: format!("forger-{}", self.service),
            service: self.service.clone(),
            target: service.clone(),
            path: path.clone(),
            key: None,
            status,
            complete: told["try"].is_string() && verdict.is_none(),
            execution_status: verdict,
            error_kind: told["cause"].as_str().map(str::to_string),
            has_retry_after: true,
        })
    }
}

/// In its own name with our headers set, with no secret at all, under another's names, and with an ended life's secret.
pub async fn run(
    forger: ForgingClient,
    mut stop: tokio::sync::watch::Receiver<bool>,
) -> Result<(), String> {
    for turn in 0u64.. {
        let name = format!("forger-{turn}");
        if let Some((secret, prefix)) = forger.register(&name).await {
            forger.send_forged(&secret, &prefix, 0).await?;
            forger.send_forged("0123456789abcdef", &prefix, 1).await?;
            forger.send_forged(&secret, "seat-0.1.", 2).await?;
            let off = forger
                .http
                .post(format!("http://{}/back-end/sign-off", forger.node_address))
                .bearer_auth(&secret)
                .send()
                .await;
            drop(off);
            forger.send_forged(&secret, &prefix, 3).await?;
        }
        if tokio::time::timeout(Duration::from_millis(200), stop.wait_for(|stop| *stop))
            .await
            .is_ok()
        {
            return Ok(());
        }
    }
    Ok(())
}
