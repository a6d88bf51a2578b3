//! A stand-in sender: what it asked and what it was told (design 9.5).

use std::sync::Arc;
use std::time::Duration;

type SharedStandIn = Arc<crate::backend_stand_in::StandIn>;

/// What the latest registration gave: nothing is sent before the first.
#[derive(Clone, Debug, Default)]
pub struct Registration {
    pub secret: String,
    pub attempt_prefix: String,
}

pub type Registrations = tokio::sync::watch::Receiver<Registration>;

/// One try, however often it is sent.
#[derive(Clone)]
struct PlannedAttempt {
    id: String,
    request: crate::deployment::RequestSpec,
    key: String,
}

/// Sends at a steady rate whatever comes back, as many callers would.
pub async fn generate_load(backstage: SharedStandIn, http: reqwest::Client, passes: Registrations) {
    let part = &backstage.config;
    if part.requests.is_empty() || part.requests_per_second <= 0.0 {
        return;
    }
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(part.seed);
    let mut every = tokio::time::interval(Duration::from_secs_f64(1.0 / part.requests_per_second));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for number in 0u64.. {
        every.tick().await;
        let pass = passes.borrow().clone();
        if pass.secret.is_empty() {
            continue;
        }
        let whole: u32 = part.requests.iter().map(|sending| sending.weight).sum();
        let drawn = rand::Rng::random_range(&mut random, 0..whole.max(1));
        let sending = part.requests.iter().scan(0, |passed, sending| {
            *passed += sending.weight;
            Some((*passed, sending))
        });
        let Some(sending) = sending
            .into_iter()
            .find(|(passed, _)| drawn < *passed)
            .map(|(_, sending)| sending.clone())
        else {
            continue;
        };
        // So many keyed requests of a thousand name one key: one that swamps the rest.
        let hot = rand::Rng::random_range(&mut random, 0..1_000)
            < backstage
                .hot_key_per_mille
                .load(std::sync::atomic::Ordering::Relaxed);
        let key = if hot {
            "hot".to_string()
        } else {
            format!("key-{}", rand::Rng::random_range(&mut random, 0..500))
        };
        let one = PlannedAttempt {
            id: format!("{}{}/{number}", pass.attempt_prefix, part.service),
            request: sending,
            key,
        };
        tokio::spawn(drive_attempt(
            backstage.clone(),
            http.clone(),
            passes.clone(),
            one,
            rand::Rng::random_range(&mut random, 0..60),
        ));
    }
}

/// Most tries are sent once. Some are sent twice at once, some again later, and each whose conn broke
/// again with whatever registration there is then: none may run twice for it.
async fn drive_attempt(
    backstage: SharedStandIn,
    http: reqwest::Client,
    passes: Registrations,
    one: PlannedAttempt,
    habit: u32,
) {
    let again = |pause: u64| {
        let (backstage, http, passes, one) =
            (backstage.clone(), http.clone(), passes.clone(), one.clone());
        async move {
            tokio::time::sleep(Duration::from_micros(pause)).await;
            send_attempt(&backstage, &http, &passes, &one, true).await
        }
    };
    let first = send_attempt(&backstage, &http, &passes, &one, false);
    match habit {
        0 => drop(tokio::join!(first, again(0))),
        1 => drop(tokio::join!(first, again(one.request.wait_us / 2))),
        _ => {
            // Until the own usher is back and says something, or a quarter of a minute is over.
            let mut unheard = first.await;
            let mut patience = 20;
            while unheard && patience > 0 {
                unheard = again(700_000).await;
                patience -= 1;
            }
        }
    }
}

/// Whether nobody told this sender anything of a try that may have run.
async fn send_attempt(
    backstage: &SharedStandIn,
    http: &reqwest::Client,
    passes: &Registrations,
    one: &PlannedAttempt,
    again: bool,
) -> bool {
    let part = &backstage.config;
    let (secret, sending, asked) = (passes.borrow().secret.clone(), &one.request, model::now());
    let url = format!(
        "http://{}/call/{}{}",
        part.node_address, sending.service, sending.path
    );
    let method = if sending.repeatable {
        reqwest::Method::GET
    } else {
        reqwest::Method::POST
    };
    let request = http
        .request(method, url)
        .bearer_auth(secret)
        .header(backend_api::ATTEMPT_ID_HEADER, &one.id)
        .header(backend_api::TIME_LEFT_HEADER, sending.wait_us);
    let request = if sending.keyed {
        request.header(backend_api::SHARD_KEY_HEADER, &one.key)
    } else {
        request
    };
    let answer = match request.send().await {
        Ok(response) => read_answer(&one.id, response).await,
        // This arrival certainly did not run; of an earlier one it says nothing.
        Err(error) if error.is_connect() => ClientAnswer {
            execution_status: Some(if again { "may-have-run" } else { "not-run" }.into()),
            error_kind: Some("own_usher_down".into()),
            ..ClientAnswer::default()
        },
        Err(_) => connection_lost(),
    };
    let unheard = answer.error_kind.as_deref() == Some("own_usher_lost")
        || again && answer.error_kind.as_deref() == Some("own_usher_down");
    backstage.record(&crate::history::Record::ClientAnswered {
        attempt_id: one.id.clone(),
        asked,
        at: model::now(),
        wait_us: sending.wait_us,
        repeated: again,
        client: part.name.clone(),
        service: part.service.clone(),
        target: sending.service.clone(),
        path: sending.path.clone(),
        key: sending.keyed.then(|| one.key.clone()),
        status: answer.status,
        execution_status: answer.execution_status,
        error_kind: answer.error_kind,
        has_retry_after: answer.has_retry_after,
        complete: answer.complete,
    });
    unheard
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

async fn read_answer(try_id: &str, response: reqwest::Response) -> ClientAnswer {
    let status = response.status().as_u16();
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_string)
    };
    let (verdict, seal, come_back) = (
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
    let cause = parsed["cause"].as_str().map(str::to_string);
    let whole = seal.as_deref() == Some(backend_api::seal::seal(try_id, status, &body).as_str())
        && parsed["try"] == try_id;
    ClientAnswer {
        status,
        execution_status: verdict,
        error_kind: cause,
        has_retry_after: come_back,
        complete: whole,
    }
}
