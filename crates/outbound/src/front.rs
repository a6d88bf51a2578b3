//! Senders' conns: requests taken whole, answers given whole (design 13.1).

use http_body_util::BodyExt as _;
use model::{Cause, Trouble, Verdict};

#[derive(Clone)]
pub struct FrontEnv {
    pub words: http_util::words::Words,
}

#[derive(Clone)]
pub struct Front {
    pub env: FrontEnv,
    pub apron: crate::Apron,
}

type Answer = hyper::Response<http_body_util::Full<bytes::Bytes>>;

/// Where no limits are set yet.
const IDLE: std::time::Duration = std::time::Duration::from_secs(15);
const HEADER_BYTES: usize = 65_536;
const BODY_BYTES: usize = 64 * 1024 * 1024;

impl Front {
    /// Serves until told to leave: then no conn begins a further request, and what was taken is answered.
    pub async fn serve(self, listener: tokio::net::TcpListener, leaving: tokio::sync::watch::Receiver<bool>) {
        let mut told = leaving.clone();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(self.clone().attend(stream, leaving.clone()));
                },
                _ = told.wait_for(|leaving| *leaving) => return,
            }
        }
    }

    async fn attend(self, stream: tokio::net::TcpStream, mut leaving: tokio::sync::watch::Receiver<bool>) {
        drop(stream.set_nodelay(true));
        let limits = self.apron.outlook.load().programme.limits.clone();
        let idle = limits.as_ref().map(|limits| std::time::Duration::from_micros(limits.idle_us)).unwrap_or(IDLE);
        let bytes = limits.as_ref().map(|limits| limits.header_bytes as usize).unwrap_or(HEADER_BYTES).max(8_192);
        let service = hyper::service::service_fn(move |request| {
            let front = self.clone();
            async move { Ok::<_, std::convert::Infallible>(front.answer(request).await) }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(hyper_util::rt::TokioTimer::new()).header_read_timeout(idle).max_buf_size(bytes);
        let conn = builder.serve_connection(hyper_util::rt::TokioIo::new(stream), service);
        let mut conn = std::pin::pin!(conn);
        tokio::select! {
            _ = conn.as_mut() => return,
            _ = leaving.wait_for(|leaving| *leaving) => conn.as_mut().graceful_shutdown(),
        }
        drop(conn.await);
    }

    async fn answer(&self, request: hyper::Request<hyper::body::Incoming>) -> Answer {
        let at = model::now();
        let (head, body) = request.into_parts();
        let said = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let (words, host) = (&self.env.words, said("host").unwrap_or_default());
        let try_id = said(words.try_id).unwrap_or_default().to_string();
        let most = self.apron.outlook.load().programme.limits.as_ref().map(|limits| limits.body_bytes as usize).unwrap_or(BODY_BYTES);
        let body = match http_body_util::Limited::new(body, most).collect().await {
            Ok(body) => body.to_bytes().to_vec(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return self.refused(&try_id, Trouble::new(Cause::TooLarge, "the body is over the limit"));
            }
            Err(_) => return self.refused(&try_id, Trouble::new(Cause::BadRequest, "the body broke off")),
        };
        if try_id.is_empty() {
            return self.refused(&try_id, Trouble::new(Cause::BadRequest, "the try has no identity"));
        }
        let ours = [words.left_ms, words.target, words.caller];
        let headers = head.headers.iter().filter(|(name, _)| !http_util::words::of_one_conn(name.as_str()) && !ours.contains(&name.as_str()));
        let ask = crate::Ask {
            host: host.split(':').next().unwrap_or_default().to_ascii_lowercase(),
            method: head.method.as_str().to_string(),
            target: head.uri.path_and_query().map(|target| target.as_str().to_string()).unwrap_or_default(),
            key: said(words.key).and_then(|text| text.parse().ok()),
            wait: said(words.left_ms).and_then(|text| text.parse::<u64>().ok()).map(|left| left * 1_000),
            headers: headers.map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec())).collect(),
            try_id: try_id.clone(),
            body,
            at,
        };
        match self.apron.perform(ask).await {
            Ok(take) => self.whole(&try_id, take),
            Err(trouble) => self.refused(&try_id, trouble),
        }
    }

    fn whole(&self, try_id: &str, take: transport::Take) -> Answer {
        // The near side knows the try: its name need not come back over the conn between nodes.
        let builder = hyper::Response::builder().status(take.status).header(self.env.words.try_id, try_id);
        let builder = take.headers.iter().fold(builder, |builder, (name, value)| builder.header(name.as_str(), value.as_slice()));
        builder
            .body(http_body_util::Full::new(take.body.into()))
            .unwrap_or_else(|_| self.refused("", Trouble::new(Cause::BadSeal, "an answer that cannot be said")))
    }

    /// 503 promises that it did not run and never will, and says when to come back; 502 and 504 promise nothing.
    fn refused(&self, try_id: &str, trouble: Trouble) -> Answer {
        let status = match (trouble.verdict, trouble.cause) {
            (_, Cause::NoLane) => 404,
            (_, Cause::BadRequest) => 400,
            (_, Cause::TooLarge) => 413,
            (Verdict::NotRun, _) => 503,
            (Verdict::MayHaveRun, Cause::RanOutOfTime) => 504,
            (Verdict::MayHaveRun, _) => 502,
        };
        slog::debug!(self.apron.logger, "refused"; "try" => try_id, "cause" => trouble.cause.code(), "detail" => &trouble.detail);
        let back = trouble.retry_after.unwrap_or(500_000);
        let builder = hyper::Response::builder().status(status).header("x-gradeford-cause", trouble.cause.code());
        let builder = if try_id.is_empty() { builder } else { builder.header(self.env.words.try_id, try_id) };
        let builder = if status == 503 { builder.header("retry-after", format!("{:.3}", back as f64 / 1e6)) } else { builder };
        builder.body(Default::default()).unwrap_or_default()
    }
}
