//! A stand-in sender: what it asked and what it was told (design 9.5).

type Backstage = std::sync::Arc<crate::understudy::Backstage>;

/// Sends at a steady rate whatever comes back, as many callers would.
pub async fn send(backstage: Backstage, http: reqwest::Client, secret: tokio::sync::watch::Receiver<String>) {
    let part = &backstage.part;
    if part.sends.is_empty() || part.rate <= 0.0 {
        return;
    }
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(part.seed);
    let mut every = tokio::time::interval(std::time::Duration::from_secs_f64(1.0 / part.rate));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    // Every life of this process numbers its tries anew.
    let life = playbill::clock::wall();
    for number in 0u64.. {
        every.tick().await;
        let held = secret.borrow().clone();
        if held.is_empty() {
            continue;
        }
        let whole: u32 = part.sends.iter().map(|sending| sending.weight).sum();
        let drawn = rand::Rng::random_range(&mut random, 0..whole.max(1));
        let sending = part.sends.iter().scan(0, |passed, sending| {
            *passed += sending.weight;
            Some((*passed, sending))
        });
        let Some(sending) = sending.into_iter().find(|(passed, _)| drawn < *passed).map(|(_, sending)| sending.clone()) else { continue };
        // One key in three is the same one: a key that swamps the rest.
        let key =
            if rand::Rng::random_range(&mut random, 0..3) == 0 { "hot".to_string() } else { format!("key-{}", rand::Rng::random_range(&mut random, 0..500)) };
        let try_id = format!("{}/{}/{life}/{number}", part.service, part.name);
        tokio::spawn(one(backstage.clone(), http.clone(), held, sending, key, try_id));
    }
}

async fn one(backstage: Backstage, http: reqwest::Client, secret: String, sending: crate::deployment::Sending, key: String, try_id: String) {
    let part = &backstage.part;
    let url = format!("http://{}/call/{}{}", part.usher, sending.service, sending.path);
    let method = if sending.repeatable { reqwest::Method::GET } else { reqwest::Method::POST };
    let request = http.request(method, url).bearer_auth(secret).header(greenroom::TRY, &try_id).header(greenroom::WAIT, sending.wait_us);
    let request = if sending.keyed { request.header(greenroom::KEY, key) } else { request };
    let (status, verdict, cause, whole) = match request.send().await {
        Ok(response) => told(&try_id, response).await,
        Err(error) if error.is_connect() => (0, Some("not-run".to_string()), Some("own_usher_down".to_string()), false),
        // The conn to the own usher broke: nobody told this sender anything.
        Err(_) => (0, Some("may-have-run".to_string()), Some("own_usher_lost".to_string()), false),
    };
    backstage.note(&crate::history::Record::Told {
        try_id,
        at: playbill::now(),
        by: part.name.clone(),
        service: part.service.clone(),
        target: sending.service,
        path: sending.path,
        status,
        verdict,
        cause,
        whole,
    });
}

async fn told(try_id: &str, response: reqwest::Response) -> (u16, Option<String>, Option<String>, bool) {
    let status = response.status().as_u16();
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_string);
    let (verdict, seal) = (header("x-gradeford-verdict"), header(greenroom::SEAL));
    let Ok(body) = response.bytes().await else {
        return (status, Some("may-have-run".into()), Some("own_usher_lost".into()), false);
    };
    let parsed: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let cause = parsed["cause"].as_str().map(str::to_string);
    let whole = seal.as_deref() == Some(greenroom::seal::seal(try_id, status, &body).as_str()) && parsed["try"] == try_id;
    (status, verdict, cause, whole)
}
