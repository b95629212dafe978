//! The platform's store: objects by kind and name, conditional writes and watches.

use crate::http::{answer, Message, Server};
use crate::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    spec: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            r#"{{"metadata":{{"name":"{}","revision":{},"created":1,"finalizers":[],"deleting":false}},"spec":{},"status":{{}}}}"#,
            self.name, self.revision, self.spec
        )
    }
}

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    /// Kind, object, and whether it was removed.
    events: Vec<(String, Object, bool)>,
    revision: u64,
    /// Answers 503 to every call.
    is_busy: bool,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Store {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        shared.0.lock().unwrap().revision = 10;
        let served = Arc::clone(&shared);
        let handler = move |req: Message, out: &mut TcpStream| handle(&served, &req, out);
        let server = Server::start(addr, Arc::new(handler)).expect("the store listens");
        Store { shared, addr: server.addr }
    }

    /// Writes an object, as the operator or an engine does. Returns its revision: the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        // A write that changes nothing does not increase the revision and produces no event.
        if let Some(known) = state.objects.get(&key).filter(|known| known.spec == spec) {
            return known.revision;
        }
        write(&mut state, key, spec.to_owned());
        self.shared.1.notify_all();
        state.revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        remove(&mut state, (kind.to_owned(), name.to_owned()));
        self.shared.1.notify_all();
    }

    /// From now on, answers 503 to each call of the system, or none.
    pub fn set_busy(&self, is_busy: bool) {
        self.shared.0.lock().unwrap().is_busy = is_busy;
        self.shared.1.notify_all();
    }
}

fn write(state: &mut State, key: (String, String), spec: String) {
    state.revision += 1;
    let object = Object { name: key.1.clone(), revision: state.revision, spec };
    state.events.push((key.0.clone(), object.clone(), false));
    state.objects.insert(key, object);
}

fn remove(state: &mut State, key: (String, String)) -> bool {
    let Some(mut object) = state.objects.remove(&key) else { return false };
    state.revision += 1;
    object.revision = state.revision;
    state.events.push((key.0, object, true));
    true
}

const ERA: (&str, &str) = ("Store-Era", "1");
const JSON: (&str, &str) = ("Content-Type", "application/json");

fn handle(shared: &(Mutex<State>, Condvar), req: &Message, out: &mut TcpStream) -> Option<()> {
    let (lock, changed) = shared;
    let mut state = lock.lock().unwrap();
    let mut say = |status: u16, body: &str| answer(out, status, &[ERA, JSON], body);
    if state.is_busy {
        drop(state);
        return say(503, "{}");
    }
    let path = req.path().strip_prefix("/v1/objects/").unwrap_or_default().to_owned();
    let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
    let kind = kind.to_owned();
    if req.method() == "GET" && !name.is_empty() {
        return match state.objects.get(&(kind, name.to_owned())) {
            Some(object) => say(200, &object.json()),
            None => say(404, "{}"),
        };
    }
    if req.method() == "GET" {
        if let Some(after) = req.query("watch").and_then(|after| after.parse::<u64>().ok()) {
            let wait = req.query("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                if state.is_busy {
                    drop(state);
                    return say(503, "{}");
                }
                let events = state.events.iter();
                let events =
                    events.filter(|(of, object, _)| *of == kind && object.revision > after);
                let events: Vec<String> = events
                    .map(|(_, object, removed)| {
                        format!(r#"{{"removed":{removed},"object":{}}}"#, object.json())
                    })
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let at = state.revision;
                    drop(state);
                    return say(200, &format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        let items = state.objects.iter().filter(|((of, _), _)| *of == kind);
        let items: Vec<String> = items.map(|(_, object)| object.json()).collect();
        let at = state.revision;
        let body = format!(r#"{{"items":[{}],"has_more":false,"at":{at}}}"#, items.join(","));
        return say(200, &body);
    }
    let body = req.text();
    let metadata = json::value(&body, "metadata").unwrap_or("{}");
    let named = json::text(metadata, "name").unwrap_or_else(|| name.to_owned());
    let wanted = json::number(metadata, "revision");
    let key = (kind, named);
    let found = state.objects.get(&key).cloned();
    match (req.method(), found) {
        ("POST", Some(found)) => say(409, &found.json()),
        ("PUT", None) => say(404, "{}"),
        ("PUT", Some(found)) if wanted.is_some_and(|wanted| wanted != found.revision) => {
            say(409, &found.json())
        }
        ("DELETE", _) => {
            let was = remove(&mut state, key);
            changed.notify_all();
            say(if was { 200 } else { 404 }, "{}")
        }
        ("POST" | "PUT", _) => {
            let spec = json::value(&body, "spec").unwrap_or("{}").to_owned();
            write(&mut state, key.clone(), spec);
            changed.notify_all();
            let json = state.objects[&key].json();
            say(200, &json)
        }
        _ => say(400, "{}"),
    }
}
