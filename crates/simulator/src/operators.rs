//! Stand-in operators, which send valid, stale, invalid, concurrent and duplicate changes and record each answer
//! (design 9.5).

use crate::history::Record;
use std::time::Duration;

/// Current operator address of each replica, by replica id.
pub type ReplicaAddresses = tokio::sync::watch::Receiver<Vec<String>>;

/// A client of the operator interface that records what it sends and receives.
#[derive(Clone)]
pub struct Operator {
    /// Address at which each replica accepts changes. A replaced replica gets a new address.
    pub addresses: ReplicaAddresses,
    pub history: crate::history_writer::HistoryWriter,
    pub http: reqwest::Client,
}

/// Outcome of a change as far as the operator knows it.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeAnswer {
    /// Version of the desired state and position in the log.
    Accepted(u64, u64),
    /// HTTP status and body of the answer.
    Rejected(u16, String),
    /// No answer arrived that states whether the change took effect.
    Unknown,
}

impl Operator {
    fn address_of(&self, replica_index: usize) -> String {
        let addresses = self.addresses.borrow();
        addresses[replica_index % addresses.len()].clone()
    }

    /// Sends one change to one replica and records the answer.
    pub async fn send(
        &self,
        replica_index: usize,
        id: &str,
        base: u64,
        edits: &[serde_json::Value],
    ) -> Result<ChangeAnswer, String> {
        let sent_at = model::now();
        let body = serde_json::json!({ "id": id, "base": base, "edits": edits });
        let sent = self
            .http
            .post(format!(
                "http://{}/v1/changes",
                self.address_of(replica_index)
            ))
            .json(&body)
            .send()
            .await;
        let (status, answer_body) = match sent {
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
            answer_body["accepted"]["version"].as_u64(),
            answer_body["accepted"]["position"].as_u64(),
        );
        let answer = match (version.zip(position), status) {
            (Some((version, position)), _) => ChangeAnswer::Accepted(version, position),
            (None, 400..=499) => ChangeAnswer::Rejected(status, answer_body.to_string()),
            (None, 503) if answer_body["verdict"] == "not-run" => {
                ChangeAnswer::Rejected(status, answer_body.to_string())
            }
            _ => ChangeAnswer::Unknown,
        };
        let rejected = matches!(answer, ChangeAnswer::Rejected(..));
        self.history.write(&Record::DesiredChange {
            id: id.into(),
            edits: edits.to_vec(),
            sent_at,
            at: model::now(),
            status,
            version,
            position,
            rejected,
        })?;
        Ok(answer)
    }

    /// Reads and records the complete desired state from one replica and returns its version.
    pub async fn read(&self, replica_index: usize) -> Result<Option<u64>, String> {
        let sent_at = model::now();
        let answer = self
            .http
            .get(format!(
                "http://{}/v1/desired",
                self.address_of(replica_index)
            ))
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
            sent_at,
            at: model::now(),
            desired,
        })?;
        Ok(version)
    }

    /// Sends the change to one replica after another until the outcome is known. The id stays the same, so that the
    /// change takes effect at most once.
    pub async fn submit_until_answered(
        &self,
        id: &str,
        base: u64,
        edits: &[serde_json::Value],
    ) -> Result<ChangeAnswer, String> {
        for round in 0..200 {
            match self.send(round, id, base, edits).await? {
                ChangeAnswer::Unknown | ChangeAnswer::Rejected(503, _) => {
                    tokio::time::sleep(Duration::from_millis(50)).await
                }
                answer => return Ok(answer),
            }
        }
        Ok(ChangeAnswer::Unknown)
    }

    async fn version(&self, replica_index: usize) -> Result<u64, String> {
        for round in 0.. {
            if let Some(version) = self.read(replica_index + round).await? {
                return Ok(version);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err("no replica returned its version".into())
    }

    /// Submits a change until it is accepted, each time based on the newest version. Of two concurrent changes one is
    /// rejected as stale and submitted again.
    pub async fn submit_until_accepted(
        &self,
        id: &str,
        edits: &[serde_json::Value],
    ) -> Result<u64, String> {
        for round in 0..100 {
            let base = self.version(round).await?;
            // A change with another base version counts as another change and needs another id.
            match self
                .submit_until_answered(&format!("{id}-{round}"), base, edits)
                .await?
            {
                ChangeAnswer::Accepted(version, _) => return Ok(version),
                ChangeAnswer::Rejected(412, _) => {}
                other => return Err(format!("the change {id} got {other:?}")),
            }
        }
        Err(format!(
            "the change {id} was rejected as stale a hundred times"
        ))
    }
}

/// Returns an edit that puts a grouping which matches no backend, so that the change has no effect on traffic.
fn harmless_edit(service: &str, name: &str, round: u64) -> serde_json::Value {
    let labels = serde_json::json!({ "turn": round.to_string() });
    serde_json::json!({ "put_grouping": { "name": name, "grouping": { "service": service, "zone": "z0", "labels": labels } } })
}

/// Sends changes until `stop` is set, and then resubmits those whose outcome is unknown.
pub async fn run_operators(
    operator: Operator,
    service: &'static str,
    seed: u64,
    mut stop: tokio::sync::watch::Receiver<bool>,
) -> Result<(), String> {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
    let mut unsettled: Vec<(String, u64, Vec<serde_json::Value>)> = Vec::new();
    for round in 0u64.. {
        let replica_index = rand::Rng::random_range(&mut random, 0..9usize);
        let base = tokio::select! {
            base = operator.version(replica_index) => base?,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let (first, second) = (
            vec![harmless_edit(service, "one", round)],
            vec![harmless_edit(service, "two", round)],
        );
        let invalid = vec![
            harmless_edit(service, "broken", round),
            serde_json::json!({ "put_order": { "name": "broken", "order": {
            "selector": { "from": ["nobody"], "service": "nowhere" }, "wait_us": 1 } } }),
        ];
        let change_id = |kind: &str| format!("{kind}-{round}");
        let sent: Vec<(String, u64, Vec<serde_json::Value>)> =
            match rand::Rng::random_range(&mut random, 0..6) {
                0 => vec![(change_id("stale"), base.saturating_sub(1), first)],
                1 => vec![(change_id("broken"), base, invalid)],
                2 => vec![
                    (change_id("twice"), base, first.clone()),
                    (change_id("twice"), base, first),
                ],
                _ => vec![
                    (change_id("one"), base, first),
                    (change_id("two"), base, second),
                ],
            };
        let sends: Vec<_> = sent
            .iter()
            .zip(replica_index..)
            .map(|((id, base, edits), replica_index)| {
                operator.send(replica_index, id, *base, edits)
            })
            .collect();
        let mut answers = Vec::new();
        for pending in await_one_or_two(sends).await {
            answers.push(pending?);
        }
        unsettled.extend(
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
    // A change with an unknown outcome is submitted again under the same id.
    for (id, base, edits) in unsettled {
        operator.submit_until_answered(&id, base, &edits).await?;
    }
    operator.version(0).await.map(drop)
}

async fn await_one_or_two<F: Future<Output = Result<ChangeAnswer, String>>>(
    concurrent: Vec<F>,
) -> Vec<Result<ChangeAnswer, String>> {
    let mut concurrent = concurrent.into_iter();
    match (concurrent.next(), concurrent.next()) {
        (Some(first), Some(second)) => {
            let (first, second) = tokio::join!(first, second);
            vec![first, second]
        }
        (Some(first), _) => vec![first.await],
        _ => Vec::new(),
    }
}

/// Records the status of one node every 200 ms.
pub async fn observe_node(
    node: String,
    address: String,
    http: reqwest::Client,
    history: crate::history_writer::HistoryWriter,
) -> Result<(), String> {
    let mut interval = tokio::time::interval(Duration::from_millis(200));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let sent_at = model::now();
        let Ok(response) = http.get(format!("http://{address}/status")).send().await else {
            continue;
        };
        let Ok(status) = response.json::<serde_json::Value>().await else {
            continue;
        };
        let number = |field: &str| status[field].as_u64().unwrap_or(0);
        let (incarnation, position, fresh) = (
            number("life"),
            number("position"),
            number("fresh_for_us") > 0,
        );
        history.write(&Record::NodeObserved {
            node: node.clone(),
            incarnation,
            sent_at,
            position,
            fresh,
        })?;
    }
}
