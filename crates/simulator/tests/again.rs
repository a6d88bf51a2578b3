//! One try sent again: at a restarted usher, with the old secret and a new one, twice at once (design 5.5).

use simulator::history::Record;
use std::path::Path;

type Answer = (u16, Option<String>, serde_json::Value);

async fn register(fleet: &simulator::fleet::Fleet) -> serde_json::Value {
    let ask = serde_json::json!({ "name": "probe", "service": "seat", "zone": "z0", "slots": 0, "address": "127.0.0.1:1" });
    let url = format!(
        "http://{}/back-end/register",
        fleet.machines[0].local_address
    );
    loop {
        let sent = fleet.http.post(&url).json(&ask).send().await;
        if let Ok(response) = sent
            && response.status().is_success()
        {
            return response.json().await.expect("JSON");
        }
        tokio::task::yield_now().await;
    }
}

async fn send(fleet: &simulator::fleet::Fleet, secret: &serde_json::Value, try_id: &str) -> Answer {
    let url = format!(
        "http://{}/call/seat/checkout",
        fleet.machines[0].local_address
    );
    let request = fleet
        .http
        .post(url)
        .bearer_auth(secret.as_str().unwrap_or_default())
        .header("x-gradeford-try", try_id)
        .header("x-gradeford-key", "k");
    let response = request.send().await.expect("the node is there");
    let verdict = response
        .headers()
        .get("x-gradeford-verdict")
        .and_then(|value| value.to_str().ok())
        .map(str::to_string);
    (
        response.status().as_u16(),
        verdict,
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
fn a_try_sent_again_never_runs_again_nor_is_it_said_not_to_have_run() {
    let folder = std::env::temp_dir().join(format!("gradeford-again-{}", std::process::id()));
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let deployment = simulator::deployment::named("small").expect("a site");
        let quiet = simulator::deployment::Deployment {
            rate: 0.0,
            ..deployment
        };
        let mut fleet =
            simulator::fleet::Fleet::plan(quiet, folder.clone(), 1, 0, &[]).expect("a plan");
        fleet.start().await.expect("a site");
        let first = register(&fleet).await;
        let named = |told: &serde_json::Value, name: &str| {
            format!(
                "{}{name}",
                told["try_prefix"].as_str().unwrap_or("probe.1.")
            )
        };
        let (ran, twin) = (named(&first, "ran"), named(&first, "twin"));
        assert_eq!(send(&fleet, &first["secret"], &ran).await.0, 200);
        let both = tokio::join!(
            send(&fleet, &first["secret"], &twin),
            send(&fleet, &first["secret"], &twin)
        );
        let mut statuses = [both.0.0, both.1.0];
        statuses.sort();
        assert_eq!(statuses, [200, 409], "{both:?}");
        let again = send(&fleet, &first["secret"], &ran).await;
        assert_eq!((again.0, again.1.as_deref()), (409, Some("may-have-run")));
        // The usher dies and comes back; what it knew of tries is gone with it.
        fleet.machines[0]
            .node
            .take()
            .into_iter()
            .for_each(|mut usher| usher.kill());
        fleet.start_node(0).expect("a node");
        let second = register(&fleet).await;
        assert_ne!(first["secret"], second["secret"]);
        for secret in [&first["secret"], &second["secret"]] {
            let (status, verdict, told) = send(&fleet, secret, &ran).await;
            assert_eq!(verdict.as_deref(), Some("may-have-run"), "{status} {told}");
        }
        assert_eq!((runs(&folder, &ran), runs(&folder, &twin)), (1, 1));
        let fresh = send(&fleet, &second["secret"], &named(&second, "fresh")).await;
        assert!(
            fresh.0 == 200 || fresh.1.as_deref() == Some("not-run"),
            "a try of the new registration is taken: {fresh:?}"
        );
        let unnamed = send(&fleet, &second["secret"], "ran").await;
        assert_eq!((unnamed.0, unnamed.1.as_deref()), (400, Some("not-run")));
        fleet.stop().await;
    });
    std::fs::remove_dir_all(folder).expect("clean");
}
