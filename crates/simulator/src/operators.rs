//! Stand-in operators: changes that are right, stale, broken, raced and sent twice, each with its answer (design 9.5).

use crate::history::Record;
use std::time::Duration;

pub type ReplicaAddresses = tokio::sync::watch::Receiver<Vec<String>>;

#[derive(Clone)]
pub struct Operator {
    /// Where each core seat takes changes; replaced seats move.
    pub addresses: ReplicaAddresses,
    pub history: crate::history_writer::HistoryWriter,
    pub http: reqwest::Client,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ChangeAnswer {
    /// Version and position.
    Accepted(u64, u64),
    Rejected(u16, String),
    /// Nobody said whether it took effect.
    Unknown,
}

impl Operator {
    fn address_of(&self, seat: usize) -> String {
        let places = self.addresses.borrow();
        places[seat % places.len()].clone()
    }

    /// One change to one seat, noted with whatever came back.
    pub async fn send(
        &self,
        seat: usize,
        id: &str,
        base: u64,
        edits: &[serde_json::Value],
    ) -> Result<ChangeAnswer, String> {
        let asked = model::now();
        let body = serde_json::json!({ "id": id, "base": base, "edits": edits });
        let sent = self
            .http
            .post(format!("http://{}/v1/changes", self.address_of(seat)))
            .json(&body)
            .send()
            .await;
        let (status, told) = match sent {
            Ok(response) => (
                response.status().as_u16(),
                response
                    .json::<serde_json::Value>()
                    .await
                    .unwrap_or_default(),
            ),
            Err(_) => (0, serde_json::Value::Null),
        };
        let (version, position) = (
            told["accepted"]["version"].as_u64(),
            told["accepted"]["position"].as_u64(),
        );
        let answer = match (version.zip(position), status) {
            (Some((version, position)), _) => ChangeAnswer::Accepted(version, position),
            (None, 400..=499) => ChangeAnswer::Rejected(status, told.to_string()),
            (None, 503) if told["verdict"] == "not-run" => {
                ChangeAnswer::Rejected(status, told.to_string())
            }
            _ => ChangeAnswer::Unknown,
        };
        let refused = matches!(answer, ChangeAnswer::Rejected(..));
        self.history.write(&Record::DesiredChange {
            id: id.into(),
            edits: edits.to_vec(),
            asked,
            at: model::now(),
            status,
            version,
            position,
            refused,
        })?;
        Ok(answer)
    }

    /// The whole desired state, as this seat proves it.
    pub async fn read(&self, seat: usize) -> Result<Option<u64>, String> {
        let asked = model::now();
        let answer = self
            .http
            .get(format!("http://{}/v1/desired", self.address_of(seat)))
            .send()
            .await;
        let Some(response) = answer
            .ok()
            .filter(|response| response.status().is_success())
        else {
            return Ok(None);
        };
        let Ok(desired) = response.json::<serde_json::Value>().await else {
            return Ok(None);
        };
        let version = desired["version"].as_u64();
        self.history.write(&Record::StateRead {
            asked,
            at: model::now(),
            desired,
        })?;
        Ok(version)
    }

    /// To every seat in turn until one says for certain; the same id, so that it takes effect once at most.
    pub async fn submit_until_answered(
        &self,
        id: &str,
        base: u64,
        edits: &[serde_json::Value],
    ) -> Result<ChangeAnswer, String> {
        for turn in 0..200 {
            match self.send(turn, id, base, edits).await? {
                ChangeAnswer::Unknown | ChangeAnswer::Rejected(503, _) => {
                    tokio::time::sleep(Duration::from_millis(50)).await
                }
                answer => return Ok(answer),
            }
        }
        Ok(ChangeAnswer::Unknown)
    }

    async fn version(&self, seat: usize) -> Result<u64, String> {
        for turn in 0.. {
            if let Some(version) = self.read(seat + turn).await? {
                return Ok(version);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err("no seat".into())
    }

    /// Until a change made from the newest version is accepted: of two that race, one goes again.
    pub async fn submit_until_accepted(
        &self,
        id: &str,
        edits: &[serde_json::Value],
    ) -> Result<u64, String> {
        for turn in 0..100 {
            let base = self.version(turn).await?;
            // Another base makes another change, so it needs another id.
            match self
                .submit_until_answered(&format!("{id}-{turn}"), base, edits)
                .await?
            {
                ChangeAnswer::Accepted(version, _) => return Ok(version),
                ChangeAnswer::Rejected(412, _) => {}
                other => return Err(format!("the change {id} got {other:?}")),
            }
        }
        Err(format!("the change {id} was stale a hundred times"))
    }
}

/// A grouping that no back end fits: it changes what stands and disturbs nobody.
fn harmless_edit(service: &str, name: &str, turn: u64) -> serde_json::Value {
    let labels = serde_json::json!({ "turn": turn.to_string() });
    serde_json::json!({ "put_grouping": { "name": name, "grouping": { "service": service, "zone": "z0", "labels": labels } } })
}

/// Several operators through the whole run, until told to stop; then what was left open is settled.
pub async fn run_operators(
    operator: Operator,
    service: &'static str,
    seed: u64,
    mut stop: tokio::sync::watch::Receiver<bool>,
) -> Result<(), String> {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
    let mut open: Vec<(String, u64, Vec<serde_json::Value>)> = Vec::new();
    for turn in 0u64.. {
        let seat = rand::Rng::random_range(&mut random, 0..9usize);
        let base = tokio::select! {
            base = operator.version(seat) => base?,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let (one, two) = (
            vec![harmless_edit(service, "one", turn)],
            vec![harmless_edit(service, "two", turn)],
        );
        let broken = vec![
            harmless_edit(service, "broken", turn),
            serde_json::json!({ "put_order": { "name": "broken", "order": {
            "selector": { "from": ["nobody"], "service": "nowhere" }, "wait_us": 1 } } }),
        ];
        let name = |kind: &str| format!("{kind}-{turn}");
        let sent: Vec<(String, u64, Vec<serde_json::Value>)> =
            match rand::Rng::random_range(&mut random, 0..6) {
                0 => vec![(name("stale"), base.saturating_sub(1), one)],
                1 => vec![(name("broken"), base, broken)],
                2 => vec![
                    (name("twice"), base, one.clone()),
                    (name("twice"), base, one),
                ],
                _ => vec![(name("one"), base, one), (name("two"), base, two)],
            };
        let racing: Vec<_> = sent
            .iter()
            .zip(seat..)
            .map(|((id, base, edits), seat)| operator.send(seat, id, *base, edits))
            .collect();
        let mut answers = Vec::new();
        for pending in await_all(racing).await {
            answers.push(pending?);
        }
        open.extend(
            sent.into_iter()
                .zip(answers)
                .filter(|(_, answer)| *answer == ChangeAnswer::Unknown)
                .map(|(change, _)| change),
        );
        let pause = Duration::from_millis(rand::Rng::random_range(&mut random, 100..400));
        if tokio::time::timeout(pause, stop.wait_for(|stop| *stop))
            .await
            .is_ok()
        {
            break;
        }
    }
    // An operator who was told nothing asks again, with the same name.
    for (id, base, edits) in open {
        operator.submit_until_answered(&id, base, &edits).await?;
    }
    operator.version(0).await.map(drop)
}

async fn await_all<F: Future<Output = Result<ChangeAnswer, String>>>(
    racing: Vec<F>,
) -> Vec<Result<ChangeAnswer, String>> {
    let mut racing = racing.into_iter();
    match (racing.next(), racing.next()) {
        (Some(one), Some(two)) => {
            let (one, two) = tokio::join!(one, two);
            vec![one, two]
        }
        (Some(one), _) => vec![one.await],
        _ => Vec::new(),
    }
}

/// What one node says of itself, five times a second.
pub async fn observe_node(
    node: String,
    address: String,
    http: reqwest::Client,
    notebook: crate::history_writer::HistoryWriter,
) -> Result<(), String> {
    let mut every = tokio::time::interval(Duration::from_millis(200));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        let asked = model::now();
        let Ok(response) = http.get(format!("http://{address}/status")).send().await else {
            continue;
        };
        let Ok(told) = response.json::<serde_json::Value>().await else {
            continue;
        };
        let number = |name: &str| told[name].as_u64().unwrap_or(0);
        let (life, position, fresh) = (
            number("life"),
            number("position"),
            number("fresh_for_us") > 0,
        );
        notebook.write(&Record::NodeObserved {
            node: node.clone(),
            incarnation: life,
            asked,
            position,
            fresh,
        })?;
    }
}
