//! What a registered backend says afterwards: heartbeats, draining, signing off.

use std::sync::atomic::Ordering::Relaxed;

use http_util::{bearer_token, read_json, write_error, write_json};
use legacy_proxy::SlotOwnerHandle;
use salvo::{Request, Response};
use serde_json::{Value, json};

use crate::BackendApiConfig;
use crate::registration::{bad_request, validate_slots};

/// Status for a secret that no registration has.
const GONE: u16 = 410;

/// `POST /back-end/beat`.
pub(crate) struct Heartbeat {
    pub(crate) config: BackendApiConfig,
}

/// `POST /back-end/drain`.
pub(crate) struct Drain {
    pub(crate) slot_owner: SlotOwnerHandle,
}

/// `POST /back-end/sign-off`.
pub(crate) struct Deregister {
    pub(crate) slot_owner: SlotOwnerHandle,
}

// The faults that backends see name the type so.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct BeatAsk")]
struct HeartbeatRequest {
    service: String,
    zone: String,
    slots: u32,
    state: ReportedState,
    #[serde(default)]
    keys: Vec<u16>,
}

#[derive(PartialEq, serde::Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum State")]
enum ReportedState {
    Serving,
    Draining,
}

/// A key slice that a backend has the lease on.
#[derive(serde::Serialize)]
struct HeldLease {
    slice: u16,
    #[serde(rename = "fence")]
    fencing_token: u64,
    /// How long the lease lasts without further proofs.
    left_us: u64,
}

#[salvo::handler]
impl Heartbeat {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let secret = bearer_token(request).unwrap_or_default();
        let request: HeartbeatRequest = match read_json(request).await {
            Ok(request) => request,
            Err(fault) => return write_error(response, None, &bad_request(fault.message)),
        };
        if let Err(error) = validate_slots(request.slots) {
            return write_error(response, None, &error);
        }
        let Some(name) = self.record(&secret, &request).await else {
            let body = json!({ "cause": "unknown_registration", "detail": "register again" });
            return write_json(response, GONE, &body);
        };
        let leases = self.held_leases(&name, &request.service);
        let let_go = self.record_claims_without_lease(&name, &request.keys, &leases);
        let body = json!({
            "name": name,
            "slots": request.slots,
            "standing": self.endpoint_status(&name),
            "terms": leases,
            "let_go": let_go,
        });
        write_json(response, 200, &body);
    }
}

impl Heartbeat {
    /// The backend's name, if the secret, the service and the zone belong to a registration.
    async fn record(&self, secret: &str, request: &HeartbeatRequest) -> Option<String> {
        let client = self.config.slot_owner.client(secret)?;
        if client.service != request.service || request.zone != self.config.zone {
            return None;
        }
        let draining = request.state == ReportedState::Draining;
        self.config
            .slot_owner
            .heartbeat(secret, draining, Some(request.slots))
            .await
    }

    /// What the log says of the backend: its phase, or that no grouping has it any more.
    fn endpoint_status(&self, name: &str) -> Value {
        let view = self.config.view.load();
        match view.slice.backends.get(name) {
            Some(backend) => json!(backend.phase),
            None => "ungrouped".into(),
        }
    }

    /// Slices claimed without a lease. A claim never makes a lease: it is only compared, counted and
    /// answered.
    fn record_claims_without_lease(
        &self,
        name: &str,
        claimed: &[u16],
        leases: &[HeldLease],
    ) -> Vec<u16> {
        let is_held = |slice: u16| leases.iter().any(|lease| lease.slice == slice);
        let unheld: Vec<u16> = claimed
            .iter()
            .copied()
            .filter(|slice| !is_held(*slice))
            .collect();
        if !unheld.is_empty() {
            self.config
                .claims_without_lease
                .fetch_add(unheld.len() as u64, Relaxed);
            slog::warn!(
                self.config.logger, "a backend claims keys it has no lease on";
                "backend" => name, "slices" => ?unheld,
            );
        }
        unheld
    }

    /// The slices on which this incarnation of the backend has the lease.
    fn held_leases(&self, name: &str, service: &str) -> Vec<HeldLease> {
        let view = self.config.view.load();
        let left_us = view.fresh_until.saturating_sub(model::now());
        let incarnation = view
            .slice
            .backends
            .get(name)
            .map(|backend| backend.incarnation);
        let Some(leases) = view.slice.leases.get(service) else {
            return Vec::new();
        };
        let mut held = Vec::new();
        for (slice, lease) in (0u16..).zip(leases) {
            let is_holder = lease
                .holder
                .as_ref()
                .is_some_and(|(holder, holder_incarnation)| {
                    holder == name && Some(*holder_incarnation) == incarnation
                });
            if is_holder {
                held.push(HeldLease {
                    slice,
                    fencing_token: lease.fencing_token,
                    left_us,
                });
            }
        }
        held
    }
}

#[salvo::handler]
impl Drain {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let secret = bearer_token(request).unwrap_or_default();
        let drained = self.slot_owner.heartbeat(&secret, true, None).await;
        let status = if drained.is_some() { 200 } else { GONE };
        write_json(response, status, &json!({ "draining": drained }));
    }
}

#[salvo::handler]
impl Deregister {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let secret = bearer_token(request).unwrap_or_default();
        let signed_off = self.slot_owner.deregister(&secret).await;
        let status = if signed_off { 200 } else { GONE };
        write_json(response, status, &json!({ "signed_off": signed_off }));
    }
}
