//! Reads a request whole, hands it over, and awaits the answer.

use crate::connection::{Activity, CallerSlot, ConnectionCx};
use crate::process::count;
use crate::request::{
    Answer, AnswerBody, Cut, Gone, GoneGuard, ReadError, Request, Responder, discard, head,
    join_body, plain, read_body,
};
use bytes::Bytes;
use crossbeam::channel::TrySendError;
use http::{HeaderMap, Method, StatusCode, header};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// When to come back after 503 for a full queue, in seconds.
const RETRY_AFTER_S: &str = "1";
/// Takes the requests of one connection in.
#[derive(Clone)]
pub(crate) struct Intake {
    cx: Arc<ConnectionCx>,
    peer: SocketAddr,
    activity: Arc<Activity>,
}

impl Intake {
    pub(crate) fn new(cx: Arc<ConnectionCx>, peer: SocketAddr, activity: Arc<Activity>) -> Intake {
        Intake { cx, peer, activity }
    }

    /// Answers one request.
    pub(crate) async fn answer(self, req: hyper::Request<Incoming>) -> Result<Answer, Cut> {
        self.activity.on_request();
        let method = req.method().clone();
        let gone = Arc::new(Gone::default());
        let mut guard = GoneGuard::new(Arc::clone(&gone), Arc::clone(&self.cx.counters));
        let res = match self.read(req).await {
            Ok((head, body)) => self.hand_over(head, body, gone).await,
            Err(refusal) => Ok(refusal),
        };
        match res {
            Ok(answer) => {
                self.activity.on_answer();
                Ok(self.guarded(answer, guard, &method))
            }
            Err(cut) => {
                guard.complete();
                Err(cut)
            }
        }
    }

    fn guarded(&self, answer: Answer, guard: GoneGuard, method: &Method) -> Answer {
        let no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
        let has_body = method != Method::HEAD && !no_body.contains(&answer.status());
        answer.map(|body| body.guarded(guard, Arc::clone(&self.activity), has_body))
    }

    /// Reads the body, or tells the answer that refuses it.
    async fn read(&self, req: hyper::Request<Incoming>) -> Result<(Head, Bytes), Answer> {
        let (parts, mut body) = req.into_parts();
        let head = Head::new(parts);
        let max = self.cx.cfg.max_body_bytes;
        let reading = read_contiguous(self.activity.slot(), &mut body, max);
        match timeout(self.cx.cfg.body_timeout, reading).await {
            Ok(Ok(bytes)) => {
                self.activity.on_body();
                Ok((head, bytes))
            }
            Ok(Err(ReadError::TooLarge)) => Err(self.too_large(body, &head)),
            Ok(Err(ReadError::NoRoom)) => Err(self.no_room(body)),
            Ok(Err(ReadError::Broken)) => {
                Err(self
                    .refuse(StatusCode::BAD_REQUEST, "the body could not be read; send it whole"))
            }
            Err(_) => {
                count(&self.cx.counters.body_timeouts);
                Err(self.refuse(
                    StatusCode::REQUEST_TIMEOUT,
                    "the body did not come in time; send it faster",
                ))
            }
        }
    }

    fn too_large(&self, body: Incoming, head: &Head) -> Answer {
        count(&self.cx.counters.bodies_too_large);
        if !head.headers.contains_key(header::EXPECT) {
            tokio::spawn(discard(body));
        }
        let max = self.cx.cfg.max_body_bytes;
        let text = format!("the body is larger than {max} bytes; send a smaller one");
        self.refuse(StatusCode::PAYLOAD_TOO_LARGE, &text)
    }

    fn no_room(&self, body: Incoming) -> Answer {
        tokio::spawn(discard(body));
        let headers = [("retry-after", RETRY_AFTER_S), ("connection", "close")];
        let text = "there is no memory for more bodies; come back later";
        self.own(StatusCode::SERVICE_UNAVAILABLE, &headers, text)
    }

    async fn hand_over(&self, head: Head, body: Bytes, gone: Arc<Gone>) -> Result<Answer, Cut> {
        let (tx, rx) = oneshot::channel();
        let responder = Responder::new(tx, gone, self.cx.cfg.chunk_queue);
        let req = Request {
            method: head.method,
            path: head.path,
            headers: head.headers,
            body,
            responder,
            peer: self.peer,
        };
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.cx.requests.try_send(req)
        {
            count(&self.cx.counters.queue_full);
            return Ok(self.busy());
        }
        count(&self.cx.counters.requests);
        rx.await.unwrap_or_else(|_| {
            count(&self.cx.counters.unanswered);
            Ok(self.own(
                StatusCode::INTERNAL_SERVER_ERROR,
                &[],
                "the request was dropped unanswered",
            ))
        })
    }

    fn busy(&self) -> Answer {
        let headers = [("retry-after", RETRY_AFTER_S)];
        let text = "too many requests are waiting; come back later";
        self.own(StatusCode::SERVICE_UNAVAILABLE, &headers, text)
    }

    fn refuse(&self, status: StatusCode, text: &str) -> Answer {
        self.own(status, &[("connection", "close")], text)
    }

    /// An answer that the listener gives by itself.
    fn own(&self, status: StatusCode, headers: &[(&str, &str)], text: &str) -> Answer {
        let (more, body) = (self.cx.cfg.refusals)(status.as_u16(), text);
        let headers: Vec<(&str, &str)> = headers.iter().copied().chain(more).collect();
        let body = AnswerBody::whole(Bytes::from(body));
        head(status.as_u16(), &headers, body)
            .unwrap_or_else(|(why, _)| plain(StatusCode::INTERNAL_SERVER_ERROR, &[], &why))
    }
}

/// The head of a request.
struct Head {
    method: Method,
    path: String,
    headers: HeaderMap,
}

impl Head {
    fn new(parts: http::request::Parts) -> Head {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        Head { method: parts.method, path, headers: parts.headers }
    }
}

/// Reads a body into one piece of memory that is charged to its caller.
async fn read_contiguous(
    slot: &CallerSlot,
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<Bytes, ReadError> {
    let segments = read_body(slot, body, max_bytes).await?;
    join_body(slot, segments).await.map_err(|_| ReadError::NoRoom)
}
