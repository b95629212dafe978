//! Answers the calls that need no waiting.

use crate::process::{JSON, PlatformState, count, take_one, wake};
use sorrellock_core::id::Revision;
use sorrellock_http::{Request, Responder};
use sorrellock_ports::api::{Instance, MAX_VALUE_BYTES, Precondition};
use sorrellock_ports::client::format::{decode, parse_etag, to_etag};
use std::sync::atomic::Ordering;

const OBJECTS_PATH: &str = "/v1/objects";
pub(crate) const INSTANCES_PATH: &str = "/v1/instances";

/// What a call is answered.
pub(crate) enum Reply {
    /// An answer.
    Send {
        /// The HTTP status.
        status: u16,
        /// One header, if any.
        header: Option<(&'static str, String)>,
        /// The body.
        body: Vec<u8>,
    },
    /// The connection is cut without an answer.
    Cut,
}

impl Reply {
    pub(crate) fn send(self, responder: Responder) {
        match self {
            Reply::Cut => responder.abort(),
            Reply::Send { status, header, body } => {
                let headers = header.as_ref().map(|(name, value)| (*name, value.as_str()));
                responder.send(status, headers.as_slice(), body);
            }
        }
    }

    fn text(status: u16, text: &str) -> Reply {
        Reply::Send { status, header: None, body: text.as_bytes().to_vec() }
    }

    fn json<T: serde::Serialize + ?Sized>(body: &T) -> Reply {
        let body = serde_json::to_vec(body).expect("the platform's answers are JSON");
        Reply::Send { status: 200, header: Some((JSON.0, JSON.1.to_owned())), body }
    }

    fn version(status: u16, version: Revision, body: Vec<u8>) -> Reply {
        Reply::Send { status, header: Some(("etag", to_etag(version))), body }
    }
}

impl PlatformState {
    /// Answers a call that needs no waiting.
    pub(crate) fn reply(&self, req: &Request) -> Reply {
        match (req.method.as_str(), req.path_only()) {
            ("GET", OBJECTS_PATH) => self.list(req),
            ("GET", INSTANCES_PATH) => self.instances(),
            ("PUT", INSTANCES_PATH) => self.set_instances(req),
            (method, path) => self.object(method, path, req),
        }
    }

    pub(crate) fn malformed(&self, status: u16, why: &str) -> Reply {
        count(&self.counters.malformed);
        Reply::text(status, why)
    }

    fn object(&self, method: &str, path: &str, req: &Request) -> Reply {
        let key = path.strip_prefix(OBJECTS_PATH).and_then(|path| path.strip_prefix('/'));
        let Some(key) = key.and_then(decode).filter(|key| !key.is_empty()) else {
            return self.malformed(404, "there is no such path");
        };
        match method {
            "GET" => self.get(&key),
            "PUT" => self.put(req, &key),
            "DELETE" => self.delete(req, &key),
            _ => self.malformed(405, "an object takes GET, PUT and DELETE"),
        }
    }

    fn get(&self, key: &str) -> Reply {
        count(&self.counters.gets);
        match self.read(|store| store.get(key)) {
            Some(object) => Reply::version(200, object.version, object.value),
            None => Reply::text(404, "there is no such object"),
        }
    }

    fn list(&self, req: &Request) -> Reply {
        let Some(prefix) = req.query("prefix").and_then(decode) else {
            return self.malformed(400, "prefix is missing or malformed");
        };
        count(&self.counters.lists);
        Reply::json(&self.read(|store| store.list(&prefix)))
    }

    /// Reads, from the old copy if that is asked for.
    fn read<T>(&self, f: impl FnOnce(&crate::process::Store) -> T) -> T {
        let data = self.data();
        match &data.old_copy {
            Some(old) if self.knobs.stale.load(Ordering::Acquire) => {
                count(&self.counters.stale_reads);
                f(old)
            }
            _ => f(&data.store),
        }
    }

    fn put(&self, req: &Request, key: &str) -> Reply {
        if req.body.len() > MAX_VALUE_BYTES {
            return self.malformed(413, "the value is larger than 1 MiB");
        }
        let when = match (req.header("if-none-match"), req.header("if-match")) {
            (Some("*"), None) => Some(Precondition::Absent),
            (None, Some(tag)) => parse_etag(tag).map(Precondition::Version),
            _ => None,
        };
        let Some(when) = when else {
            return self.malformed(428, "a put needs If-None-Match: * or If-Match: VERSION");
        };
        count(&self.counters.puts);
        let mut data = self.data();
        let res = data.store.put(key, &req.body, when);
        wake(data, key);
        self.written(res)
    }

    fn delete(&self, req: &Request, key: &str) -> Reply {
        let Some(version) = req.header("if-match").and_then(parse_etag) else {
            return self.malformed(428, "a delete needs If-Match: VERSION");
        };
        count(&self.counters.deletes);
        let mut data = self.data();
        let res = data.store.delete(key, version);
        wake(data, key);
        self.written(res)
    }

    fn written(&self, res: Result<Revision, Revision>) -> Reply {
        match res {
            Ok(_) if take_one(&self.knobs.lose_answers) => {
                count(&self.counters.answers_lost);
                Reply::Cut
            }
            Ok(version) => Reply::version(200, version, Vec::new()),
            Err(found) => {
                count(&self.counters.conflicts);
                Reply::version(412, found, b"the precondition does not hold".to_vec())
            }
        }
    }

    fn instances(&self) -> Reply {
        count(&self.counters.instance_lists);
        let lag = self.knobs.instance_lag();
        Reply::json(self.data().instances.shown(lag))
    }

    /// A stand-in in a process of its own is told its instances this way.
    fn set_instances(&self, req: &Request) -> Reply {
        let Ok(instances) = serde_json::from_slice::<Vec<Instance>>(&req.body) else {
            return self.malformed(400, "the body is no list of instances");
        };
        self.show_instances(instances);
        Reply::text(204, "")
    }
}
