//! Into the back end over HTTP, and what may be said of a request that brought no answer (design 13.4).

use http_body_util::BodyExt as _;
use model::{Cause, Micros, Trouble};

pub struct Door {
    pub words: http_util::words::Words,
    conns: crate::conns::Conns,
}

/// A conn is made on this machine: one that takes longer has nobody at its other end.
const CONNECT: std::time::Duration = std::time::Duration::from_millis(1_000);

/// It is another back end, or does not hold the key: no sign of how it does.
pub(crate) const NOT_ITS: &str = "the back end turned it away with 421";

/// A conn that rested less is not forgotten: when it breaks, that is the back end's doing.
const YOUNG: Micros = 100_000;

type Request = hyper::Request<http_body_util::Full<bytes::Bytes>>;

impl Door {
    pub fn new(words: http_util::words::Words) -> Door {
        Door { words, conns: Default::default() }
    }

    pub fn clear(&self) {
        self.conns.clear();
    }

    fn request(&self, cue: &transport::Cue, left: Micros) -> Option<Request> {
        let builder = hyper::Request::builder().method(cue.method.as_str()).uri(cue.target.as_str());
        let builder = cue.headers.iter().fold(builder, |builder, (name, value)| builder.header(name.as_str(), value.as_slice()));
        builder
            .header(self.words.left_ms, left / 1_000)
            .header(self.words.target, &cue.back_end)
            .header(self.words.caller, &cue.caller)
            .body(http_body_util::Full::new(bytes::Bytes::copy_from_slice(&cue.body)))
            .ok()
    }

    async fn dial(&self, address: &str) -> Result<crate::conns::Sender, Trouble> {
        let unreachable = |why: String| Trouble::new(Cause::Unreachable, why);
        let stream = tokio::time::timeout(CONNECT, tokio::net::TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| unreachable("no conn in time".into()))?.map_err(|error| unreachable(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| unreachable(error.to_string()))?;
        let (sender, conn) =
            hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(stream)).await.map_err(|error| unreachable(error.to_string()))?;
        tokio::spawn(conn);
        Ok(sender)
    }

    /// One request, one answer. A conn that closed before a byte was written is no run: the next one is tried.
    pub async fn pass(&self, address: &str, cue: &transport::Cue, left: Micros) -> Result<transport::Take, Trouble> {
        let began = model::now();
        loop {
            // One that rested may be forgotten without a word: what must not run twice is never sent on it (design 13.9).
            let kept = cue.repeatable.then(|| self.conns.take(model::now())).flatten();
            let fresh = kept.is_none();
            let (rested, mut sender) = match kept {
                Some(kept) => kept,
                None => (0, self.dial(address).await?),
            };
            if sender.ready().await.is_err() && !fresh {
                continue;
            }
            let left = left.saturating_sub(model::now() - began);
            let request = self.request(cue, left).ok_or_else(|| Trouble::new(Cause::BadRequest, "cannot be said to a back end"))?;
            match sender.send_request(request).await {
                Ok(answer) => return self.whole(cue, answer, sender).await,
                Err(error) if error.is_canceled() && !fresh => continue,
                Err(error) if error.is_canceled() => return Err(Trouble::new(Cause::Unreachable, "the conn closed before the request")),
                Err(error) if fresh || rested < YOUNG => return Err(Trouble::new(Cause::BackEndLost, error.to_string())),
                // Whether it came again is for the budget, so for the near side.
                Err(error) => {
                    self.conns.forgotten(model::now(), rested);
                    return Err(Trouble::new(Cause::ConnForgotten, error.to_string()));
                }
            }
        }
    }

    async fn whole(
        &self,
        cue: &transport::Cue,
        answer: hyper::Response<hyper::body::Incoming>,
        sender: crate::conns::Sender,
    ) -> Result<transport::Take, Trouble> {
        let (head, body) = answer.into_parts();
        let said = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let asked = cue.headers.iter().find(|(name, _)| name == self.words.try_id).map(|(_, value)| value.as_slice());
        let body = body.collect().await.map_err(|error| Trouble::new(Cause::BackEndLost, error.to_string()))?.to_bytes();
        // An answer that was due to another request, or to none.
        if head.headers.get(self.words.try_id).map(|value| value.as_bytes()) != asked {
            return Err(Trouble::new(Cause::BadSeal, "the answer belongs to another request"));
        }
        if head.status.is_success() && (said(self.words.seal).is_none() || head.headers.contains_key("content-encoding")) {
            return Err(Trouble::new(Cause::BadSeal, "a success without a seal"));
        }
        let kept = said("keep-alive").and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok()));
        let closes = said("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
        if !closes && !sender.is_closed() {
            self.conns.give(model::now(), sender, kept.map(|seconds| seconds * 1_000_000));
        }
        if head.status.as_u16() == 421 || head.headers.contains_key(self.words.not_run) {
            let why = if head.status.as_u16() == 421 { NOT_ITS.into() } else { format!("the back end turned it away with {}", head.status.as_u16()) };
            return Err(Trouble::new(Cause::Refused, why));
        }
        // To senders these say that it never ran; without the back end's word nobody knows.
        if [408, 429, 503].contains(&head.status.as_u16()) {
            return Err(Trouble::new(Cause::BackEndLost, format!("a bare {}, which says nothing of whether it ran", head.status.as_u16())));
        }
        let headers = head.headers.iter().filter(|(name, _)| !http_util::words::of_one_conn(name.as_str()) && name.as_str() != self.words.try_id);
        let headers = headers.map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec())).collect();
        Ok(transport::Take { status: head.status.as_u16(), headers, body: body.to_vec() })
    }
}
