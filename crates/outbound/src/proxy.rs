//! One request from end to end: its lane, whom it goes to, whether it may go again (design 13.5).

use model::{Error, ErrorKind, ExecutionStatus, Microseconds};
use std::time::Duration;

#[derive(Clone)]
pub struct OutboundProxy {
    pub node: String,
    pub zone: String,
    /// The service of this machine: whoever begins a request here speaks for it.
    pub service: String,
    pub verified_state: control::SharedVerifiedState,
    pub limiter: inbound::ConcurrencyLimiter,
    pub peers: crate::PeerConnections,
    pub selector: crate::SelectorHandle,
    pub in_flight: crate::InFlightRequests,
    pub logger: slog::Logger,
}

pub struct Request {
    pub host: String,
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    pub headers: transport::Headers,
    pub body: Vec<u8>,
    pub attempt_id: String,
    pub shard_key: Option<u16>,
    /// How long the sender waits, from `at`.
    pub timeout: Option<Microseconds>,
    pub received_at: Microseconds,
}

/// Between two looks at who holds a key that is on its way from one to another.
const RESELECT_INTERVAL: Duration = Duration::from_millis(15);
/// Back ends that pass a request over before one has to take it.
const MAX_PASSED_OVER: u8 = 2;
/// How much later than the wait a mate's last word may come.
const PEER_RESPONSE_GRACE: Microseconds = 50_000;
/// Where an operator names no aim.
const DEFAULT_LATENCY_TARGET: Microseconds = 1_000_000;

impl OutboundProxy {
    pub async fn perform(&self, request: Request) -> Result<transport::ForwardedResponse, Error> {
        let _under_way = self.in_flight.begin().ok_or_else(|| {
            Error::new(ErrorKind::ShuttingDown, "this node is stopping").with_retry_after(1_000_000)
        })?;
        let outlook = self.verified_state.load_full();
        if outlook.verified_at == 0 || !outlook.snapshot.has_routes() {
            return Err(Error::new(
                ErrorKind::StaleState,
                "nothing is known yet of what is to be served",
            )
            .with_retry_after(300_000));
        }
        let path = request.target.split('?').next().unwrap_or_default();
        let item = outlook.snapshot.route(&request.host, path).cloned();
        let item = item.ok_or_else(|| {
            Error::new(ErrorKind::NoRoute, "no lane begins this path on this host")
        })?;
        let lane = &item.route;
        let service = select_service(lane, &request.attempt_id);
        let latency_target = if lane.latency_target_us == 0 {
            DEFAULT_LATENCY_TARGET
        } else {
            lane.latency_target_us
        };
        let deadline =
            request.received_at + request.timeout.unwrap_or(lane.wait_us).min(lane.wait_us);
        // Whoever is refused hears it within a quarter of the aim, and may come again in time.
        let admission_deadline = request.received_at + latency_target / 4;
        self.selector.deposit(&service).await;
        let mut forwarded = Box::new(transport::ForwardedRequest {
            backend: String::new(),
            caller: self.service.clone(),
            method: request.method,
            target: request.target,
            headers: request.headers,
            body: request.body,
            shard_key: None,
            time_left: 0,
            latency_target: 0,
            priority: lane.rank,
            idempotent: lane.idempotent,
            force: false,
        });
        let mut passed_over: Vec<String> = Vec::new();
        let (mut attempts, mut ejection_refusals) = (0, 0);
        let mut may_have_run = false;
        loop {
            let outlook = self.verified_state.load_full();
            let programme = &outlook.snapshot;
            let keyed = programme
                .services
                .get(&service)
                .is_some_and(|held| held.keyed);
            forwarded.shard_key = request.shard_key.filter(|_| keyed);
            let now = model::now();
            if now >= deadline {
                return Err(preserve_execution_status(
                    Error::new(
                        ErrorKind::ExpiredBeforeRun,
                        "the wait was over before it could be dispatched",
                    ),
                    may_have_run,
                ));
            }
            (forwarded.time_left, forwarded.latency_target) = (
                deadline - now,
                (request.received_at + latency_target).saturating_sub(now),
            );
            let selected = match forwarded.shard_key {
                Some(key) => select_key_holder(programme, &service, key, &passed_over),
                None => self.select_backend(programme, &service, &passed_over).await,
            };
            let Some(selected) = selected else {
                if now >= admission_deadline {
                    let kind = if forwarded.shard_key.is_some() {
                        ErrorKind::KeyWithoutHolder
                    } else {
                        ErrorKind::NoBackend
                    };
                    return Err(preserve_execution_status(
                        Error::new(kind, "nobody can take it now").with_retry_after(300_000),
                        may_have_run,
                    ));
                }
                passed_over.clear();
                tokio::time::sleep(RESELECT_INTERVAL).await;
                continue;
            };
            forwarded.backend = selected.name.clone();
            let (outcome, wait) = if selected.node == self.node {
                self.limiter.perform(forwarded.clone()).await
            } else {
                within_deadline(
                    deadline - now,
                    self.peers.call(&selected.address, forwarded.clone()),
                )
                .await
            };
            let trouble = match outcome {
                Ok(take) => {
                    self.selector
                        .attempt_finished(&selected.name, Some(wait), false)
                        .await;
                    return Ok(take);
                }
                Err(trouble) => trouble,
            };
            let connection_lost = matches!(
                trouble.kind,
                ErrorKind::Unreachable
                    | ErrorKind::PeerLost
                    | ErrorKind::BackendLost
                    | ErrorKind::ShuttingDown
            );
            self.selector
                .attempt_finished(
                    &selected.name,
                    (!connection_lost).then_some(wait),
                    connection_lost,
                )
                .await;
            passed_over.push(selected.name);
            // However many are ill, a request goes past few of them.
            ejection_refusals += (trouble.kind == ErrorKind::PassedOver) as u8;
            forwarded.force = ejection_refusals >= MAX_PASSED_OVER;
            let certainly_not_run = trouble.execution_status == ExecutionStatus::NotRun;
            may_have_run |= !certainly_not_run;
            if !certainly_not_run && !lane.idempotent
                || !is_retryable(&trouble, forwarded.shard_key.is_some())
            {
                return Err(preserve_execution_status(trouble, may_have_run));
            }
            // What a back end was given counts, though it ran nothing.
            let reached_backend = !certainly_not_run || trouble.kind == ErrorKind::Refused;
            attempts += reached_backend as u8;
            if reached_backend
                && (attempts >= lane.dispatches || !self.selector.withdraw(&service).await)
            {
                return Err(preserve_execution_status(trouble, may_have_run));
            }
        }
    }

    async fn select_backend(
        &self,
        programme: &model::cluster_state::StateSnapshot,
        service: &str,
        passed_over: &[String],
    ) -> Option<model::cluster_state::AvailableBackend> {
        let cast = programme.available_backends(service);
        let open = cast.iter().filter(|one| !passed_over.contains(&one.name));
        let candidates = open
            .map(|one| crate::selector::Candidate {
                name: one.name.clone(),
                slots: one.slots,
                same_zone: one.zone == self.zone,
            })
            .collect();
        let picked = self.selector.select(candidates).await?;
        cast.iter().find(|one| one.name == picked).cloned()
    }
}

/// A mate answers when the wait is over; one that stands still answers nobody.
async fn within_deadline(
    time_left: Microseconds,
    call: impl Future<Output = inbound::Outcome>,
) -> inbound::Outcome {
    let outcome =
        tokio::time::timeout(Duration::from_micros(time_left + PEER_RESPONSE_GRACE), call).await;
    outcome.unwrap_or_else(|_| {
        (
            Err(Error::new(
                ErrorKind::TimedOut,
                "that node answered nothing in time",
            )),
            0,
        )
    })
}

/// Once a dispatch may have run, no later refusal takes that back.
fn preserve_execution_status(trouble: Error, may_have_run: bool) -> Error {
    if !may_have_run || trouble.execution_status == ExecutionStatus::MayHaveRun {
        return trouble;
    }
    Error::new(
        ErrorKind::BackendLost,
        format!(
            "an earlier dispatch may have run; then: {}",
            trouble.kind.code()
        ),
    )
}

/// Whoever holds the key, or while it moves whoever may hold it still.
fn select_key_holder(
    programme: &model::cluster_state::StateSnapshot,
    service: &str,
    key: u16,
    passed_over: &[String],
) -> Option<model::cluster_state::AvailableBackend> {
    let placement = programme.placements.get(service)?;
    let range = model::cluster_state::shard_map::range_of(&placement.1, key)?;
    let earlier = range.pending_releases.iter().rev().map(|(name, _)| name);
    let mut named = range
        .holder
        .iter()
        .chain(earlier)
        .filter(|name| !passed_over.contains(name));
    named.find_map(|name| programme.find_backend(name))
}

/// Troubles that another back end, or a moment later, may not have.
fn is_retryable(trouble: &Error, keyed: bool) -> bool {
    match trouble.kind {
        ErrorKind::PassedOver
        | ErrorKind::Unreachable
        | ErrorKind::PeerLost
        | ErrorKind::BackendLost
        | ErrorKind::ConnectionForgotten
        | ErrorKind::BadSeal
        | ErrorKind::ShuttingDown
        | ErrorKind::WrongIncarnation
        | ErrorKind::Draining
        | ErrorKind::KeyWithoutHolder => true,
        ErrorKind::Overloaded | ErrorKind::Refused => !keyed,
        _ => false,
    }
}

/// A lane's weights over services, the same for every sight of one try.
fn select_service(lane: &model::cluster_state::Route, try_id: &str) -> String {
    let total_weight: u64 = lane.shares.iter().map(|(_, weight)| *weight as u64).sum();
    if lane.shares.len() == 1 || total_weight == 0 {
        return lane
            .shares
            .first()
            .map(|(service, _)| service.clone())
            .unwrap_or_default();
    }
    let point = model::leases::stable_hash(try_id) % total_weight;
    let cumulative_weights = lane.shares.iter().scan(0, |sum, (service, weight)| {
        *sum += *weight as u64;
        Some((*sum, service))
    });
    cumulative_weights
        .into_iter()
        .find(|(sum, _)| point < *sum)
        .map(|(_, service)| service.clone())
        .unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_may_have_run_is_never_said_not_to_have_run() {
        let refusal = || Error::new(ErrorKind::Overloaded, "full").with_retry_after(1);
        assert_eq!(
            preserve_execution_status(refusal(), false).execution_status,
            ExecutionStatus::NotRun
        );
        assert_eq!(
            preserve_execution_status(refusal(), true).execution_status,
            ExecutionStatus::MayHaveRun
        );
        assert_eq!(
            preserve_execution_status(Error::new(ErrorKind::TimedOut, ""), true).kind,
            ErrorKind::TimedOut
        );
    }

    #[tokio::test]
    async fn a_mate_that_stands_still_is_waited_for_no_longer_than_the_sender_waits() {
        let (outcome, _) = within_deadline(0, std::future::pending()).await;
        let trouble = outcome.expect_err("nobody answers");
        assert_eq!(
            (trouble.kind, trouble.execution_status),
            (ErrorKind::TimedOut, ExecutionStatus::MayHaveRun)
        );
    }
}
