//! Requests of registered backends: heartbeats, draining and deregistration.

use std::sync::atomic::Ordering::Relaxed;

use http_util::{bearer_token, read_json, write_error, write_json};
use legacy_proxy::SlotOwnerHandle;
use salvo::{Request, Response};
use serde_json::{Value, json};

use crate::BackendApiConfig;
use crate::registration::{bad_request, validate_slots};

/// HTTP status for a secret that no current registration has.
const GONE: u16 = 410;

/// Handles `POST /back-end/beat`.
pub(crate) struct Heartbeat {
    pub(crate) config: BackendApiConfig,
}

/// Handles `POST /back-end/drain`.
pub(crate) struct Drain {
    pub(crate) slot_owner: SlotOwnerHandle,
}

/// Handles `POST /back-end/sign-off`.
pub(crate) struct Deregister {
    pub(crate) slot_owner: SlotOwnerHandle,
}

// The `expecting` text appears in error messages that backends see.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct BeatAsk")]
struct HeartbeatRequest {
    service: String,
    zone: String,
    slots: u32,
    state: ReportedState,
    /// The key slots that the backend claims to hold.
    #[serde(default)]
    keys: Vec<u16>,
}

#[derive(PartialEq, serde::Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum State")]
enum ReportedState {
    Serving,
    Draining,
}

/// A key slot whose lease a backend holds.
#[derive(serde::Serialize)]
struct HeldLease {
    #[serde(rename = "slice")]
    key_slot: u16,
    #[serde(rename = "fence")]
    fencing_token: u64,
    /// Time for which the lease remains valid without further freshness proofs, in microseconds.
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
        let unleased_claims = self.record_claims_without_lease(&name, &request.keys, &leases);
        let body = json!({
            "name": name,
            "slots": request.slots,
            "standing": self.endpoint_status(&name),
            "terms": leases,
            "let_go": unleased_claims,
        });
        write_json(response, 200, &body);
    }
}

impl Heartbeat {
    /// Records the heartbeat. Returns the backend's name if the secret, the service and the zone
    /// match a current registration.
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

    /// Returns the status of the backend in the log: its phase, or `ungrouped` if it no longer
    /// belongs to a grouping.
    fn endpoint_status(&self, name: &str) -> Value {
        let view = self.config.view.load();
        match view.slice.backends.get(name) {
            Some(backend) => json!(backend.phase),
            None => "ungrouped".into(),
        }
    }

    /// Returns the key slots that the backend claimed without holding their leases, and counts
    /// them. A claim never grants a lease; it is only compared, counted and reported back.
    fn record_claims_without_lease(
        &self,
        name: &str,
        claimed: &[u16],
        leases: &[HeldLease],
    ) -> Vec<u16> {
        let is_leased = |key_slot: u16| leases.iter().any(|lease| lease.key_slot == key_slot);
        let unleased: Vec<u16> = claimed
            .iter()
            .copied()
            .filter(|key_slot| !is_leased(*key_slot))
            .collect();
        if !unleased.is_empty() {
            self.config
                .claims_without_lease
                .fetch_add(unleased.len() as u64, Relaxed);
            slog::warn!(
                self.config.logger, "backend claims key slots without holding their leases; asked it to release them";
                "backend" => name, "slices" => ?unleased,
            );
        }
        unleased
    }

    /// Returns the key slots whose leases this incarnation of the backend holds.
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
        for (key_slot, lease) in (0u16..).zip(leases) {
            let is_holder = lease
                .holder
                .as_ref()
                .is_some_and(|(holder, holder_incarnation)| {
                    holder == name && Some(*holder_incarnation) == incarnation
                });
            if is_holder {
                held.push(HeldLease {
                    key_slot,
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
        let draining_backend = self.slot_owner.heartbeat(&secret, true, None).await;
        let status = if draining_backend.is_some() {
            200
        } else {
            GONE
        };
        write_json(response, status, &json!({ "draining": draining_backend }));
    }
}

#[salvo::handler]
impl Deregister {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let secret = bearer_token(request).unwrap_or_default();
        let deregistered = self.slot_owner.deregister(&secret).await;
        let status = if deregistered { 200 } else { GONE };
        write_json(response, status, &json!({ "signed_off": deregistered }));
    }
}
