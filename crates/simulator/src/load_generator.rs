//! The client side of a stand-in: sends requests at a steady rate and records every answer (design 9.5).

use std::sync::Arc;
use std::time::Duration;

type SharedStandIn = Arc<crate::backend_stand_in::StandIn>;

/// Secret and attempt id prefix of the latest registration. No request is sent before the first registration.
#[derive(Clone, Debug, Default)]
pub struct Registration {
    pub secret: String,
    pub attempt_prefix: String,
}

/// The latest registration of the stand-in.
pub type Registrations = tokio::sync::watch::Receiver<Registration>;

/// An attempt to send. Every repeated send has the same id.
#[derive(Clone)]
struct PlannedAttempt {
    id: String,
    request: crate::deployment::RequestSpec,
    key: String,
}

/// Starts attempts at a steady rate that does not depend on the answers, as many independent callers do.
pub async fn generate_load(
    stand_in: SharedStandIn,
    http: reqwest::Client,
    registrations: Registrations,
) {
    let config = &stand_in.config;
    if config.requests.is_empty() || config.requests_per_second <= 0.0 {
        return;
    }
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(config.seed);
    let mut interval =
        tokio::time::interval(Duration::from_secs_f64(1.0 / config.requests_per_second));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for sequence in 0u64.. {
        interval.tick().await;
        let registration = registrations.borrow().clone();
        if registration.secret.is_empty() {
            continue;
        }
        let total_weight: u32 = config
            .requests
            .iter()
            .map(|request_spec| request_spec.weight)
            .sum();
        let draw = rand::Rng::random_range(&mut random, 0..total_weight.max(1));
        let by_cumulative_weight =
            config
                .requests
                .iter()
                .scan(0, |cumulative_weight, request_spec| {
                    *cumulative_weight += request_spec.weight;
                    Some((*cumulative_weight, request_spec))
                });
        let Some(request_spec) = by_cumulative_weight
            .into_iter()
            .find(|(cumulative_weight, _)| draw < *cumulative_weight)
            .map(|(_, request_spec)| request_spec.clone())
        else {
            continue;
        };
        // A configured fraction of the keyed requests uses one hot key.
        let hot = rand::Rng::random_range(&mut random, 0..1_000)
            < stand_in
                .hot_key_per_mille
                .load(std::sync::atomic::Ordering::Relaxed);
        let key = if hot {
            "hot".to_string()
        } else {
            format!("key-{}", rand::Rng::random_range(&mut random, 0..500))
        };
        let attempt = PlannedAttempt {
            id: format!(
                "{}{}/{sequence}",
                registration.attempt_prefix, config.service
            ),
            request: request_spec,
            key,
        };
        tokio::spawn(drive_attempt(
            stand_in.clone(),
            http.clone(),
            registrations.clone(),
            attempt,
            rand::Rng::random_range(&mut random, 0..60),
        ));
    }
}

/// Sends an attempt, in most cases once. Some attempts are sent twice concurrently, some again while the first send may
/// still be running. An attempt whose connection broke is sent again with the secret that is valid at that time. None of
/// these sends may cause a second run.
async fn drive_attempt(
    stand_in: SharedStandIn,
    http: reqwest::Client,
    registrations: Registrations,
    attempt: PlannedAttempt,
    repeat_choice: u32,
) {
    let resend = |pause: u64| {
        let (stand_in, http, registrations, attempt) = (
            stand_in.clone(),
            http.clone(),
            registrations.clone(),
            attempt.clone(),
        );
        async move {
            tokio::time::sleep(Duration::from_micros(pause)).await;
            send_attempt(&stand_in, &http, &registrations, &attempt, true).await
        }
    };
    let first = send_attempt(&stand_in, &http, &registrations, &attempt, false);
    match repeat_choice {
        0 => drop(tokio::join!(first, resend(0))),
        1 => drop(tokio::join!(first, resend(attempt.request.wait_us / 2))),
        _ => {
            // Resends every 700 ms until the node runs again and answers, at most 20 times.
            let mut unanswered = first.await;
            let mut remaining_sends = 20;
            while unanswered && remaining_sends > 0 {
                unanswered = resend(700_000).await;
                remaining_sends -= 1;
            }
        }
    }
}

/// Sends the attempt once and records the answer. Returns whether the attempt may have run and no answer arrived.
async fn send_attempt(
    stand_in: &SharedStandIn,
    http: &reqwest::Client,
    registrations: &Registrations,
    attempt: &PlannedAttempt,
    repeated: bool,
) -> bool {
    let config = &stand_in.config;
    let (secret, request_spec, sent_at) = (
        registrations.borrow().secret.clone(),
        &attempt.request,
        model::now(),
    );
    let url = format!(
        "http://{}/call/{}{}",
        config.node_address, request_spec.service, request_spec.path
    );
    let method = if request_spec.repeatable {
        reqwest::Method::GET
    } else {
        reqwest::Method::POST
    };
    let request = http
        .request(method, url)
        .bearer_auth(secret)
        .header(backend_api::ATTEMPT_ID_HEADER, &attempt.id)
        .header(backend_api::TIME_LEFT_HEADER, request_spec.wait_us);
    let request = if request_spec.keyed {
        request.header(backend_api::SHARD_KEY_HEADER, &attempt.key)
    } else {
        request
    };
    let answer = match request.send().await {
        Ok(response) => read_answer(&attempt.id, response).await,
        // Without a connection this send cannot have run, but an earlier send of the same attempt may have.
        Err(error) if error.is_connect() => ClientAnswer {
            execution_status: Some(if repeated { "may-have-run" } else { "not-run" }.into()),
            error_kind: Some("own_usher_down".into()),
            ..ClientAnswer::default()
        },
        Err(_) => connection_lost(),
    };
    let unanswered = answer.error_kind.as_deref() == Some("own_usher_lost")
        || repeated && answer.error_kind.as_deref() == Some("own_usher_down");
    stand_in.record(&crate::history::Record::AnswerReceived {
        attempt_id: attempt.id.clone(),
        sent_at,
        at: model::now(),
        wait_us: request_spec.wait_us,
        repeated,
        client: config.name.clone(),
        service: config.service.clone(),
        target: request_spec.service.clone(),
        path: request_spec.path.clone(),
        key: request_spec.keyed.then(|| attempt.key.clone()),
        status: answer.status,
        execution_status: answer.execution_status,
        error_kind: answer.error_kind,
        has_retry_after: answer.has_retry_after,
        complete: answer.complete,
    });
    unanswered
}

#[derive(Default)]
struct ClientAnswer {
    status: u16,
    execution_status: Option<String>,
    error_kind: Option<String>,
    has_retry_after: bool,
    complete: bool,
}

fn connection_lost() -> ClientAnswer {
    ClientAnswer {
        execution_status: Some("may-have-run".into()),
        error_kind: Some("own_usher_lost".into()),
        ..ClientAnswer::default()
    }
}

async fn read_answer(attempt_id: &str, response: reqwest::Response) -> ClientAnswer {
    let status = response.status().as_u16();
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_string)
    };
    let (execution_status, seal, has_retry_after) = (
        header("x-gradeford-verdict"),
        header(backend_api::SEAL_HEADER),
        header("retry-after").is_some(),
    );
    let Ok(body) = response.bytes().await else {
        return ClientAnswer {
            status,
            ..connection_lost()
        };
    };
    let parsed: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let error_kind = parsed["cause"].as_str().map(str::to_string);
    let complete = seal.as_deref()
        == Some(backend_api::seal::seal(attempt_id, status, &body).as_str())
        && parsed["try"] == attempt_id;
    ClientAnswer {
        status,
        execution_status,
        error_kind,
        has_retry_after,
        complete,
    }
}
