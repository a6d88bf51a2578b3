//! Clients of a run. Each client sends requests to one node over a persistent connection, regardless of
//! the node's readiness, and reconnects only after an exchange has failed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::Rng as _;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use tokio::time::sleep;

use crate::backend::SERVICE_HEADER;
use crate::clock::{Clock, Micros, SECOND};
use crate::history::{Effect, History, Probe};
use crate::http::{HttpConnection, HttpRequest, KeptConnection};
use crate::site::{Machine, OUTBOUND_PORT, Site};

/// Timeout for the answer to a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a client reconnects after a failed attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(30);
/// Routes that changed within this time are requested more often.
const RECENT_PERIOD: Micros = 6 * SECOND;
/// Share of the requests that go to recently changed routes.
const RECENT_SHARE: f64 = 0.8;
const NOT_FOUND: u16 = 404;

/// A client of one node.
pub struct Client {
    /// The site of the run.
    pub site: Arc<Site>,
    /// Number of the node that receives the requests.
    pub node: usize,
    /// Number of the client at that node.
    pub number: usize,
    /// The clock of the run.
    pub clock: Clock,
    /// Records of the run.
    pub history: Arc<History>,
    /// Random choices of routes, shard keys and pauses.
    pub rng: StdRng,
    /// Longest pause between two requests, in milliseconds.
    pub max_pause_ms: u64,
}

/// The host and path of a request, and the name of the route that they match.
struct Target {
    route: String,
    host: String,
    path: String,
}

impl Client {
    /// Sends requests sequentially until the run ends.
    pub async fn run(mut self) {
        let address = self.site.address(Machine::Node(self.node), OUTBOUND_PORT);
        let mut connection = KeptConnection::new(address);
        let mut request_number = 0u64;
        loop {
            let pause = self.rng.random_range(0..=self.max_pause_ms);
            sleep(Duration::from_millis(pause)).await;
            let Some(target) = self.choose_target() else {
                continue;
            };
            let Ok(open) = connection.get().await else {
                sleep(RECONNECT_DELAY).await;
                continue;
            };
            request_number += 1;
            if !self.send_request(open, target, request_number).await {
                connection.close();
            }
        }
    }

    /// Sends one request and records the answer. Returns whether the connection can be used again.
    async fn send_request(
        &mut self,
        connection: &mut HttpConnection,
        target: Target,
        request_number: u64,
    ) -> bool {
        let request = self.request(&target, request_number);
        let sent_at = self.clock.now();
        let answer = connection.call(request, ANSWER_TIMEOUT).await;
        let answered_at = self.clock.now();
        let status = answer.as_ref().map_or(0, |answer| answer.status().as_u16());
        let mut records = self.history.lock();
        *records.statuses.entry(status).or_default() += 1;
        let Ok(answer) = answer else { return false };
        let service = answer.headers().get(SERVICE_HEADER);
        let service = service
            .and_then(|value| value.to_str().ok())
            .and_then(|number| number.parse().ok());
        let effect = match service {
            Some(service) => Some(Effect::Service(service)),
            None => (status == NOT_FOUND).then_some(Effect::Absent),
        };
        if let Some(effect) = effect {
            records.probes.push(Probe {
                node: self.node,
                route: target.route,
                sent_at,
                answered_at,
                effect,
            });
        }
        true
    }

    fn request(&mut self, target: &Target, request_number: u64) -> HttpRequest {
        let request = Request::get(&target.path)
            .header("host", &target.host)
            .header(
                "gradeford-attempt-id",
                format!("a-{}-{}-{request_number}", self.node, self.number),
            )
            .header(
                "gradeford-time-left-ms",
                ANSWER_TIMEOUT.as_millis().to_string(),
            )
            .header(
                "gradeford-shard-key",
                self.rng.random_range(0..=u16::MAX).to_string(),
            );
        request.body(Full::new(Bytes::new())).unwrap_or_default()
    }

    fn choose_target(&mut self) -> Option<Target> {
        let records = self.history.lock();
        let since = self.clock.now().saturating_sub(RECENT_PERIOD);
        let recent: Vec<&String> = records
            .routes
            .iter()
            .filter(|(_, route)| {
                let latest = route.versions.last();
                !route.is_stable && latest.is_some_and(|version| version.sent_at > since)
            })
            .map(|(name, _)| name)
            .collect();
        let name = if !recent.is_empty() && self.rng.random_bool(RECENT_SHARE) {
            recent.choose(&mut self.rng).copied()
        } else {
            let all: Vec<&String> = records.routes.keys().collect();
            all.choose(&mut self.rng).copied()
        };
        let (name, route) = name.and_then(|name| records.routes.get_key_value(name))?;
        Some(Target {
            route: name.clone(),
            host: route.host.clone(),
            path: format!("{}x", route.prefix),
        })
    }
}
