//! Registration of a backend: the slot owner reserves an incarnation, the log accepts or rejects
//! it, and the slot owner records the outcome.

use std::net::SocketAddr;
use std::time::Duration;

use http_util::{read_json, write_error, write_json};
use legacy_proxy::forwarded_attempts;
use legacy_proxy::slot_owner::Registration;
use model::endpoint_status::EndpointReport;
use model::validation::is_valid_name;
use model::{Error, ErrorKind, Incarnation, Labels, Microseconds, Outcome, Position};
use salvo::{Request, Response};
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::BackendApiConfig;

/// Maximum number of slots of a backend.
pub(crate) const MAX_SLOTS: u32 = 4_096;
/// Maximum number of attempts to register. An attempt fails if the log has accepted a later
/// incarnation of the backend than this node knew.
const MAX_REGISTRATION_ATTEMPTS: u32 = 4;
/// Timeout for the log's answer to a registration.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for this node's state to include an accepted registration.
const VISIBILITY_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay for backends if the log did not answer, in microseconds.
const RETRY_AFTER: Microseconds = 500_000;

/// Handles `POST /back-end/register`.
pub(crate) struct Register {
    pub(crate) config: BackendApiConfig,
}

// The `expecting` text appears in error messages that backends see.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct RegisterAsk")]
struct RegisterRequest {
    name: String,
    service: String,
    zone: String,
    slots: u32,
    #[serde(default)]
    labels: Labels,
    address: String,
}

#[salvo::handler]
impl Register {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match self.register(request).await {
            Ok(body) => write_json(response, 200, &body),
            Err(error) => write_error(response, None, &error),
        }
    }
}

impl Register {
    async fn register(&self, request: &mut Request) -> Result<Value, Error> {
        let config = &self.config;
        let request: RegisterRequest = read_json(request)
            .await
            .map_err(|fault| bad_request(fault.message))?;
        validate(config, &request)?;
        let secret = format!("{:032x}", rand::random::<u128>());
        let registration = Registration {
            name: request.name.clone(),
            service: request.service.clone(),
            zone: request.zone,
            labels: request.labels,
            slots: request.slots,
            address: request.address,
        };
        let (incarnation, outcome) = self.register_in_log(registration, &secret).await?;
        let accepted = accepted_position(outcome.as_ref());
        config
            .slot_owner
            .confirm(&request.name, incarnation, accepted.is_some())
            .await;
        let position = accepted.ok_or_else(|| match outcome {
            Some(Outcome::Refused { reason }) => bad_request(reason),
            _ => Error::new(ErrorKind::StaleState, "the log did not answer in time")
                .with_retry_after(RETRY_AFTER),
        })?;
        wait_until_visible(config, position, &request.service).await;
        Ok(json!({
            "incarnation": incarnation,
            "secret": secret,
            "try_prefix": forwarded_attempts::attempt_prefix(&request.name, incarnation),
            "beat_every_us": config.heartbeat_interval,
            "position": position,
        }))
    }

    /// Reserves an incarnation and reports it to the log; repeats this while the log has a later
    /// one than this node knew. The outcome is `None` if the log did not answer in time.
    async fn register_in_log(
        &self,
        registration: Registration,
        secret: &str,
    ) -> Result<(Incarnation, Option<Outcome>), Error> {
        let config = &self.config;
        let (name, service) = (registration.name.clone(), registration.service.clone());
        let mut attempts = 0;
        loop {
            let incarnation = config
                .slot_owner
                .reserve(registration.clone(), secret.to_string())
                .await?;
            let backend = config
                .slot_owner
                .backend(&name)
                .await
                .ok_or_else(|| Error::new(ErrorKind::ShuttingDown, "this node is stopping"))?;
            let report = EndpointReport::BackendRegistered {
                name: name.clone(),
                backend,
            };
            let answer = config.status_reports.report_endpoint_status(report);
            let outcome = timeout(REPORT_TIMEOUT, answer).await.ok().flatten();
            attempts += 1;
            let Some(Outcome::Superseded { position }) = outcome else {
                return Ok((incarnation, outcome));
            };
            config.slot_owner.confirm(&name, incarnation, false).await;
            if attempts == MAX_REGISTRATION_ATTEMPTS {
                return Ok((incarnation, outcome));
            }
            wait_until_visible(config, position, &service).await;
        }
    }
}

fn validate(config: &BackendApiConfig, request: &RegisterRequest) -> Result<(), Error> {
    if !is_valid_name(&request.name) || !is_valid_name(&request.service) {
        return Err(bad_request(
            "name and service are 1 to 63 of a-z, 0-9 and '-'",
        ));
    }
    if request.zone != config.zone {
        return Err(bad_request(format!(
            "this node stands in the zone {:?}",
            config.zone
        )));
    }
    validate_slots(request.slots)?;
    match request.address.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(bad_request("address is an IP number and port")),
    }
}

pub(crate) fn validate_slots(slots: u32) -> Result<(), Error> {
    if slots > MAX_SLOTS {
        return Err(bad_request("slots is from 0 to 4096"));
    }
    Ok(())
}

pub(crate) fn bad_request(detail: impl Into<String>) -> Error {
    Error::new(ErrorKind::BadRequest, detail)
}

fn accepted_position(outcome: Option<&Outcome>) -> Option<Position> {
    match outcome {
        Some(Outcome::Accepted { position, .. } | Outcome::Unchanged { position }) => {
            Some(*position)
        }
        _ => None,
    }
}

/// Waits until the node's state includes `position` and the service, so that a backend can send
/// requests as soon as it has the answer to its registration. Returns without an error after a
/// timeout.
async fn wait_until_visible(config: &BackendApiConfig, position: Position, service: &str) {
    let mut view_changes = config.view_changes.clone();
    let visible = view_changes.wait_for(|_| {
        let view = config.view.load();
        view.slice.position >= position
            && view.slice.services.contains(service)
            && view.is_fresh(model::now())
    });
    drop(timeout(VISIBILITY_TIMEOUT, visible).await);
}
