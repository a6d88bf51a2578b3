//! Clients that forge their identity by internal headers, invalid and expired secrets, and attempt ids of other clients
//! (design 9.5).

use crate::history::Record;
use std::time::Duration;

/// Registers with one node and sends forged requests to it.
#[derive(Clone)]
pub struct ForgingClient {
    node_address: String,
    zone: String,
    /// Service of the client.
    service: String,
    /// Service and path of a route that the client's service may not use.
    target: (String, String),
    history: crate::history_writer::HistoryWriter,
    http: reqwest::Client,
}

impl ForgingClient {
    /// Creates a client of the last machine's node, which registers for the last service. If that service may use every
    /// route, as at a site with one service, the target is the first route.
    pub fn for_fleet(fleet: &crate::fleet::Fleet) -> ForgingClient {
        let deployment = &fleet.deployment;
        let last = fleet.machines.len() - 1;
        let (_, service, zone) = deployment.backends().pop().unwrap_or_default();
        let forbidden = |route: &&crate::deployment::RouteSpec| {
            !deployment
                .routes
                .iter()
                .any(|other| other.0 == service && other.1 == route.1)
        };
        let route = deployment
            .routes
            .iter()
            .find(forbidden)
            .unwrap_or(&deployment.routes[0]);
        let target = (route.1.to_string(), route.2.to_string());
        let (node_address, history, http) = (
            fleet.machines[last].local_address.clone(),
            fleet.history_writer(),
            fleet.http.clone(),
        );
        ForgingClient {
            node_address,
            zone: format!("z{zone}"),
            service: service.to_string(),
            target,
            history,
            http,
        }
    }

    /// Registers without slots, so that the client receives no requests. Returns the secret and the attempt id prefix.
    async fn register(&self, name: &str) -> Option<(String, String)> {
        let request = serde_json::json!({ "name": name, "service": self.service, "zone": self.zone, "slots": 0, "address": "127.0.0.1:9" });
        let answer = self
            .http
            .post(format!("http://{}/back-end/register", self.node_address))
            .json(&request)
            .send()
            .await
            .ok()?;
        let answer_body: serde_json::Value = answer.json().await.ok()?;
        Some((
            answer_body["secret"].as_str()?.to_string(),
            answer_body["try_prefix"].as_str()?.to_string(),
        ))
    }

    /// Sends one request with forged headers and records the answer.
    async fn send_forged(&self, secret: &str, prefix: &str, number: u64) -> Result<(), String> {
        let (service, path) = &self.target;
        let (attempt_id, sent_at) = (format!("{prefix}{}/{number}", self.service), model::now());
        let request = self
            .http
            .post(format!("http://{}/call/{service}{path}", self.node_address))
            .bearer_auth(secret);
        let forged_headers = [
            (backend_api::CLIENT_HEADER, service.as_str()),
            (backend_api::SERVICE_HEADER, &self.service),
            (backend_api::INCARNATION_HEADER, "1"),
            (backend_api::FENCING_TOKEN_HEADER, "1"),
        ];
        let request = forged_headers
            .into_iter()
            .fold(request, |request, (name, value)| {
                request.header(name, value)
            });
        let answer = request
            .header(backend_api::ATTEMPT_ID_HEADER, &attempt_id)
            .header(backend_api::SHARD_KEY_HEADER, "hot")
            .send()
            .await;
        let Ok(response) = answer else { return Ok(()) };
        let status = response.status().as_u16();
        let execution_status = response
            .headers()
            .get("x-gradeford-verdict")
            .and_then(|value| value.to_str().ok())
            .map(str::to_string);
        let answer_body: serde_json::Value = response.json().await.unwrap_or_default();
        self.history.write(&Record::AnswerReceived {
            attempt_id,
            sent_at,
            at: model::now(),
            wait_us: crate::deployment::DEFAULT_WAIT_US,
            repeated: true,
            client: format!("forger-{}", self.service),
            service: self.service.clone(),
            target: service.clone(),
            path: path.clone(),
            key: None,
            status,
            complete: answer_body["try"].is_string() && execution_status.is_none(),
            execution_status,
            error_kind: answer_body["cause"].as_str().map(str::to_string),
            has_retry_after: true,
        })
    }
}

/// Sends forged requests until `stop` is set: with forged internal headers, with an invalid secret, with the attempt id
/// prefix of another backend, and with the secret of an ended registration.
pub async fn run(
    client: ForgingClient,
    mut stop: tokio::sync::watch::Receiver<bool>,
) -> Result<(), String> {
    for round in 0u64.. {
        let name = format!("forger-{round}");
        if let Some((secret, prefix)) = client.register(&name).await {
            client.send_forged(&secret, &prefix, 0).await?;
            client.send_forged("0123456789abcdef", &prefix, 1).await?;
            client.send_forged(&secret, "seat-0.1.", 2).await?;
            let sign_off = client
                .http
                .post(format!("http://{}/back-end/sign-off", client.node_address))
                .bearer_auth(&secret)
                .send()
                .await;
            drop(sign_off);
            client.send_forged(&secret, &prefix, 3).await?;
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
