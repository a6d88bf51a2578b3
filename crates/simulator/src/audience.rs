//! A stand-in sender: what it asked and what it was told (design 9.5).

use std::sync::Arc;
use std::time::Duration;

type Backstage = Arc<crate::understudy::Backstage>;

/// What the latest registration gave: nothing is sent before the first.
#[derive(Clone, Debug, Default)]
pub struct Pass {
    pub secret: String,
    pub try_prefix: String,
}

pub type Passes = tokio::sync::watch::Receiver<Pass>;

/// One try, however often it is sent.
#[derive(Clone)]
struct Try {
    id: String,
    sending: crate::deployment::Sending,
    key: String,
}

/// Sends at a steady rate whatever comes back, as many callers would.
pub async fn send(backstage: Backstage, http: reqwest::Client, passes: Passes) {
    let part = &backstage.part;
    if part.sends.is_empty() || part.rate <= 0.0 {
        return;
    }
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(part.seed);
    let mut every = tokio::time::interval(Duration::from_secs_f64(1.0 / part.rate));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for number in 0u64.. {
        every.tick().await;
        let pass = passes.borrow().clone();
        if pass.secret.is_empty() {
            continue;
        }
        let whole: u32 = part.sends.iter().map(|sending| sending.weight).sum();
        let drawn = rand::Rng::random_range(&mut random, 0..whole.max(1));
        let sending = part.sends.iter().scan(0, |passed, sending| {
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
            < backstage.hot.load(std::sync::atomic::Ordering::Relaxed);
        let key = if hot {
            "hot".to_string()
        } else {
            format!("key-{}", rand::Rng::random_range(&mut random, 0..500))
        };
        let one = Try {
            id: format!("{}{}/{number}", pass.try_prefix, part.service),
            sending,
            key,
        };
        tokio::spawn(see_through(
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
async fn see_through(
    backstage: Backstage,
    http: reqwest::Client,
    passes: Passes,
    one: Try,
    habit: u32,
) {
    let again = |pause: u64| {
        let (backstage, http, passes, one) =
            (backstage.clone(), http.clone(), passes.clone(), one.clone());
        async move {
            tokio::time::sleep(Duration::from_micros(pause)).await;
            arrive(&backstage, &http, &passes, &one, true).await
        }
    };
    let first = arrive(&backstage, &http, &passes, &one, false);
    match habit {
        0 => drop(tokio::join!(first, again(0))),
        1 => drop(tokio::join!(first, again(one.sending.wait_us / 2))),
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
async fn arrive(
    backstage: &Backstage,
    http: &reqwest::Client,
    passes: &Passes,
    one: &Try,
    again: bool,
) -> bool {
    let part = &backstage.part;
    let (secret, sending, asked) = (passes.borrow().secret.clone(), &one.sending, model::now());
    let url = format!(
        "http://{}/call/{}{}",
        part.usher, sending.service, sending.path
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
        Ok(response) => told(&one.id, response).await,
        // This arrival certainly did not run; of an earlier one it says nothing.
        Err(error) if error.is_connect() => Answer {
            verdict: Some(if again { "may-have-run" } else { "not-run" }.into()),
            cause: Some("own_usher_down".into()),
            ..Answer::default()
        },
        Err(_) => lost(),
    };
    let unheard = answer.cause.as_deref() == Some("own_usher_lost")
        || again && answer.cause.as_deref() == Some("own_usher_down");
    backstage.note(&crate::history::Record::Told {
        try_id: one.id.clone(),
        asked,
        at: model::now(),
        wait: sending.wait_us,
        again,
        by: part.name.clone(),
        service: part.service.clone(),
        target: sending.service.clone(),
        path: sending.path.clone(),
        key: sending.keyed.then(|| one.key.clone()),
        status: answer.status,
        verdict: answer.verdict,
        cause: answer.cause,
        come_back: answer.come_back,
        whole: answer.whole,
    });
    unheard
}

#[derive(Default)]
struct Answer {
    status: u16,
    verdict: Option<String>,
    cause: Option<String>,
    come_back: bool,
    whole: bool,
}

fn lost() -> Answer {
    Answer {
        verdict: Some("may-have-run".into()),
        cause: Some("own_usher_lost".into()),
        ..Answer::default()
    }
}

async fn told(try_id: &str, response: reqwest::Response) -> Answer {
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
        return Answer { status, ..lost() };
    };
    let parsed: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let cause = parsed["cause"].as_str().map(str::to_string);
    let whole = seal.as_deref() == Some(backend_api::seal::seal(try_id, status, &body).as_str())
        && parsed["try"] == try_id;
    Answer {
        status,
        verdict,
        cause,
        come_back,
        whole,
    }
}
