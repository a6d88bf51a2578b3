//! Sends the same attempt more than once: concurrently, after its response, and after a restart of the node with the old
//! secret and with a new one. The attempt must run once and must not be reported as not run (design 5.5).

use simulator::history::Record;
use std::path::Path;

type Answer = (u16, Option<String>, serde_json::Value);

async fn register(fleet: &simulator::fleet::Fleet) -> serde_json::Value {
    let registration = serde_json::json!({ "name": "probe", "service": "seat", "zone": "z0", "slots": 0, "address": "127.0.0.1:1" });
    let url = format!(
        "http://{}/back-end/register",
        fleet.machines[0].local_address
    );
    loop {
        let sent = fleet.http.post(&url).json(&registration).send().await;
        if let Ok(response) = sent
            && response.status().is_success()
        {
            return response.json().await.expect("JSON");
        }
        tokio::task::yield_now().await;
    }
}

async fn send(
    fleet: &simulator::fleet::Fleet,
    secret: &serde_json::Value,
    attempt_id: &str,
) -> Answer {
    let url = format!(
        "http://{}/call/seat/checkout",
        fleet.machines[0].local_address
    );
    let request = fleet
        .http
        .post(url)
        .bearer_auth(secret.as_str().unwrap_or_default())
        .header("x-gradeford-try", attempt_id)
        .header("x-gradeford-key", "k");
    let response = request.send().await.expect("the node answers");
    let execution_status = response
        .headers()
        .get("x-gradeford-verdict")
        .and_then(|value| value.to_str().ok())
        .map(str::to_string);
    (
        response.status().as_u16(),
        execution_status,
        response.json().await.expect("JSON"),
    )
}

fn runs(folder: &Path, wanted: &str) -> usize {
    let records = simulator::history::read(folder).expect("histories");
    records
        .iter()
        .filter(
            |record| matches!(record, Record::RunBegan { attempt_id, .. } if attempt_id == wanted),
        )
        .count()
}

#[test]
fn an_attempt_that_is_sent_again_neither_runs_again_nor_is_reported_as_not_run() {
    let folder =
        std::env::temp_dir().join(format!("gradeford-resent-attempts-{}", std::process::id()));
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let deployment = simulator::deployment::named("small").expect("a site");
        let idle = simulator::deployment::Deployment {
            rate: 0.0,
            ..deployment
        };
        let mut fleet =
            simulator::fleet::Fleet::plan(idle, folder.clone(), 1, 0, &[]).expect("a plan");
        fleet.start().await.expect("a site");
        let first = register(&fleet).await;
        let attempt_id = |registration: &serde_json::Value, name: &str| {
            format!(
                "{}{name}",
                registration["try_prefix"].as_str().unwrap_or("probe.1.")
            )
        };
        let (completed, concurrent) = (attempt_id(&first, "ran"), attempt_id(&first, "twin"));
        assert_eq!(send(&fleet, &first["secret"], &completed).await.0, 200);
        let responses = tokio::join!(
            send(&fleet, &first["secret"], &concurrent),
            send(&fleet, &first["secret"], &concurrent)
        );
        let mut statuses = [responses.0.0, responses.1.0];
        statuses.sort();
        assert_eq!(statuses, [200, 409], "{responses:?}");
        let resent = send(&fleet, &first["secret"], &completed).await;
        assert_eq!((resent.0, resent.1.as_deref()), (409, Some("may-have-run")));
        // The node is killed and restarted, and loses its record of accepted attempts.
        fleet.machines[0]
            .node
            .take()
            .into_iter()
            .for_each(|mut process| process.kill());
        fleet.start_node(0).expect("a node");
        let second = register(&fleet).await;
        assert_ne!(first["secret"], second["secret"]);
        for secret in [&first["secret"], &second["secret"]] {
            let (status, execution_status, body) = send(&fleet, secret, &completed).await;
            assert_eq!(
                execution_status.as_deref(),
                Some("may-have-run"),
                "{status} {body}"
            );
        }
        assert_eq!(
            (runs(&folder, &completed), runs(&folder, &concurrent)),
            (1, 1)
        );
        let fresh = send(&fleet, &second["secret"], &attempt_id(&second, "fresh")).await;
        assert!(
            fresh.0 == 200 || fresh.1.as_deref() == Some("not-run"),
            "an attempt of the new registration is accepted: {fresh:?}"
        );
        let unprefixed = send(&fleet, &second["secret"], "ran").await;
        assert_eq!(
            (unprefixed.0, unprefixed.1.as_deref()),
            (400, Some("not-run"))
        );
        fleet.stop().await;
    });
    std::fs::remove_dir_all(folder).expect("clean");
}
