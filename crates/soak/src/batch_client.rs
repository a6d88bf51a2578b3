//! Clients of the batch service: their requests queue beside few backends, must not run twice, and some
//! have long bodies or ask for long answers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::Rng as _;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::backend::ANSWER_LENGTH_HEADER;
use crate::clock::Clock;
use crate::history::{BatchRequest, History, RequestEnd};
use crate::http::{HttpConnection, HttpRequest, KeptConnection};
use crate::site::{BATCH_HOST, Machine, OUTBOUND_PORT, Site};

/// Time for which a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(18);
/// Delay before a client reconnects, and before its next request after a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;
/// Length of most bodies and answers, in bytes.
const SHORT_LENGTH: usize = 200;
/// Shortest and longest length of long bodies and answers, in bytes, up to the limit of the
/// configuration.
const LONG_LENGTH: (usize, usize) = (1024 * 1024, 64 * 1024 * 1024);
/// One in this many bodies, and one in this many answers, is long.
const LONG_STRIDE: u32 = 24;
const OK: u16 = 200;

/// A client of the batch service at one node.
pub struct BatchClient {
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
    /// Random choices of lengths and pauses.
    pub rng: StdRng,
}

impl BatchClient {
    /// Sends requests sequentially until the run ends, over a connection that is kept until it ends.
    pub async fn run(mut self) {
        let address = self.site.address(Machine::Node(self.node), OUTBOUND_PORT);
        let mut connection = KeptConnection::new(address);
        let mut request_number = 0u64;
        loop {
            let pause = self.rng.random_range(0..=MAX_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
            let Ok(open) = connection.get().await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            request_number += 1;
            match self.send_request(open, request_number).await {
                RequestEnd::Answered(OK) => {}
                RequestEnd::Answered(_) => sleep(RETRY_DELAY).await,
                RequestEnd::Cut | RequestEnd::GaveUp => connection.close(),
            }
        }
    }

    async fn send_request(
        &mut self,
        connection: &mut HttpConnection,
        request_number: u64,
    ) -> RequestEnd {
        let (body_length, answer_length) = (self.draw_length(), self.draw_length());
        let request = self.request(request_number, body_length, answer_length);
        let sent_at = self.clock.now();
        let answer = connection.call(request, ANSWER_TIMEOUT).await;
        let ended_at = self.clock.now();
        let gave_up = ended_at - sent_at >= ANSWER_TIMEOUT.as_micros() as u64;
        let end = match answer {
            Ok(answer) => RequestEnd::Answered(answer.status().as_u16()),
            Err(_) if gave_up => RequestEnd::GaveUp,
            Err(_) => RequestEnd::Cut,
        };
        self.history.lock().batch_requests.push(BatchRequest {
            node: self.node,
            sent_at,
            ended_at,
            body_length,
            answer_length,
            end,
        });
        end
    }

    fn draw_length(&mut self) -> usize {
        let (shortest, longest) = LONG_LENGTH;
        match self.rng.random_ratio(1, LONG_STRIDE) {
            true => self.rng.random_range(shortest..=longest),
            false => SHORT_LENGTH,
        }
    }

    fn request(&self, number: u64, body_length: usize, answer_length: usize) -> HttpRequest {
        let request = Request::post("/batch")
            .header("host", BATCH_HOST)
            .header(
                "gradeford-attempt-id",
                format!("b-{}-{}-{number}", self.node, self.number),
            )
            .header(
                "gradeford-time-left-ms",
                ANSWER_TIMEOUT.as_millis().to_string(),
            )
            .header(ANSWER_LENGTH_HEADER, answer_length.to_string());
        let body = Bytes::from(vec![b'b'; body_length]);
        request.body(Full::new(body)).unwrap_or_default()
    }
}
