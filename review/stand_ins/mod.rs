//! Stand-ins for the platform of the users' pages: its store, model engines, plain services, clients, and gateways as
//! child processes. Only the standard library is used, so that `rustc` alone builds them.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Longest time of a run.
const RUN_LIMIT: Duration = Duration::from_secs(110);

/// Whether the run includes the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    /// Begins the record, and bounds the time of the run.
    pub fn new() -> Record {
        thread::spawn(|| {
            thread::sleep(RUN_LIMIT);
            println!("could not run: it took too long");
            cleanup_and_exit(2);
        });
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = fs::File::create(path).expect("the record");
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn at(&self, t: Instant) -> f64 {
        t.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let t = self.at(Instant::now());
        let _ = writeln!(self.file.lock().unwrap(), "{t:9.4} {text}");
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ------------------------------------------------------------------------------------------------ json

/// A JSON value; numbers are kept as text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    pub fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(text) => out.push_str(text),
            Json::Str(text) => quote(text, out),
            Json::Arr(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    quote(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

fn quote(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Obj(fields));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.take(b':')?;
                    fields.push((key, self.value()?));
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Obj(fields));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::Arr(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::Arr(items));
                    }
                }
            }
            b'"' => Some(Json::Str(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let begin = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
                (!text.is_empty()).then(|| Json::Num(text.to_owned()))
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?')
                        }
                        other => char::from(other),
                    };
                    out.extend_from_slice(c.to_string().as_bytes());
                }
                byte => out.push(byte),
            }
        }
    }
}

// ------------------------------------------------------------------------------------------------ http

/// A message head, and its body once that was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        pair.into_iter().find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }
}

pub fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            let is_clean = message.first.is_empty();
            return if is_clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((key, value)) = line.split_once(':') {
            message.headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

pub fn is_chunked(message: &Message) -> bool {
    message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
}

/// Reads the body of a message that has a length or comes in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if is_chunked(message) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(())
}

pub fn answer_bytes(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        out.push_str(&format!("{key}: {value}\r\n"));
    }
    out.push_str("\r\n");
    out.push_str(body);
    out.into_bytes()
}

/// What a handler made of a request: the connection goes on, or is closed.
pub type Handled = io::Result<bool>;

/// Serves connections, a thread each, until `power` is off.
pub fn serve<H>(addr: SocketAddr, power: Arc<AtomicBool>, handler: H) -> SocketAddr
where
    H: Fn(Message, &mut BufReader<TcpStream>, &mut TcpStream) -> Handled + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).expect("a listener");
    let addr = listener.local_addr().expect("its address");
    let handler = Arc::new(handler);
    listener.set_nonblocking(true).expect("a listener that doesn't block");
    let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    thread::spawn(move || {
        loop {
            if !power.load(Ordering::SeqCst) {
                // The process has ended: its channels are reset, and nothing listens.
                open.lock().unwrap().iter().for_each(reset);
                return;
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ms(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(kept) = stream.try_clone() {
                open.lock().unwrap().push(kept);
            }
            let (handler, power) = (Arc::clone(&handler), Arc::clone(&power));
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(head)) = read_head(&mut reader) {
                    if !power.load(Ordering::SeqCst) {
                        return;
                    }
                    match handler(head, &mut reader, &mut writer) {
                        Ok(true) => {}
                        _ => return,
                    }
                }
            });
        }
    });
    addr
}

// ----------------------------------------------------------------------------------------------- store

struct Object {
    revision: u64,
    spec: Json,
}

struct Event {
    revision: u64,
    kind: String,
    name: String,
    removed: bool,
    spec: Json,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The platform's store: linearizable objects by kind and name, with watches.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub addr: SocketAddr,
}

/// How long the store takes to answer a call.
const STORE_DELAY: Duration = Duration::from_millis(4);

fn object_text(name: &str, revision: u64, spec: &Json) -> String {
    let mut out = String::from("{\"metadata\":{\"name\":");
    quote(name, &mut out);
    out.push_str(&format!(",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":"));
    spec.write(&mut out);
    out.push_str(",\"status\":null}");
    out
}

impl Store {
    pub fn start(ip: IpAddr) -> Store {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        let shared = Arc::clone(&state);
        let power = Arc::new(AtomicBool::new(true));
        let addr = serve(SocketAddr::new(ip, 0), power, move |mut head, reader, writer| {
            read_body(reader, &mut head)?;
            let (status, body) = Store::call(&shared, &head);
            writer.write_all(&answer_bytes(status, &[("Content-Type", "application/json")], &body))?;
            Ok(true)
        });
        Store { state, addr }
    }

    /// Writes an object, as the operator and the engines do. Returns when the store has accepted it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        thread::sleep(STORE_DELAY);
        let spec = Json::parse(spec).expect("a spec");
        Store::write(&self.state, kind, name, spec);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        thread::sleep(STORE_DELAY);
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            state.events.push(Event { revision, kind: key.0, name: key.1, removed: true, spec: object.spec });
        }
        drop(state);
        self.state.1.notify_all();
    }

    pub fn has(&self, kind: &str, name: &str) -> bool {
        self.state.0.lock().unwrap().objects.contains_key(&(kind.to_owned(), name.to_owned()))
    }

    fn write(state: &(Mutex<StoreState>, Condvar), kind: &str, name: &str, spec: Json) -> String {
        let mut locked = state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = locked.objects.get(&key).filter(|object| object.spec == spec) {
            return object_text(name, object.revision, &object.spec);
        }
        locked.revision += 1;
        let revision = locked.revision;
        let text = object_text(name, revision, &spec);
        locked.objects.insert(key.clone(), Object { revision, spec: spec.clone() });
        locked.events.push(Event { revision, kind: key.0, name: key.1, removed: false, spec });
        drop(locked);
        state.1.notify_all();
        text
    }

    fn call(state: &(Mutex<StoreState>, Condvar), head: &Message) -> (u16, String) {
        let Some(rest) = head.path().strip_prefix("/v1/objects/") else { return (404, "{}".into()) };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let (kind, name) = (kind.to_owned(), unescape(name));
        if head.method() == "GET" {
            if let Some(after) = head.query("watch").and_then(|text| text.parse().ok()) {
                let wait = head.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                return Store::watch(state, &kind, after, ms(wait));
            }
            thread::sleep(STORE_DELAY);
            let locked = state.0.lock().unwrap();
            if !name.is_empty() {
                return match locked.objects.get(&(kind, name.clone())) {
                    Some(object) => (200, object_text(&name, object.revision, &object.spec)),
                    None => (404, "{}".into()),
                };
            }
            let after = head.query("after").unwrap_or_default();
            let items: Vec<String> = locked
                .objects
                .iter()
                .filter(|((of, name), _)| *of == kind && *name > after)
                .map(|((_, name), object)| object_text(name, object.revision, &object.spec))
                .collect();
            return (200, format!("{{\"items\":[{}],\"has_more\":false,\"at\":{}}}", items.join(","), locked.revision));
        }
        thread::sleep(STORE_DELAY);
        let body = Json::parse(&String::from_utf8_lossy(&head.body)).unwrap_or(Json::Null);
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let named = metadata.get("name").and_then(Json::text).unwrap_or(&name).to_owned();
        let name = if name.is_empty() { named } else { name };
        let wanted = metadata.get("revision").and_then(Json::number);
        let wanted = wanted.or_else(|| head.query("revision").and_then(|text| text.parse().ok()));
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let found = {
            let locked = state.0.lock().unwrap();
            let object = locked.objects.get(&(kind.clone(), name.clone()));
            object.map(|object| (object.revision, object_text(&name, object.revision, &object.spec)))
        };
        match (head.method(), found) {
            ("POST", Some((_, text))) => (409, text),
            ("PUT" | "DELETE", None) => (404, "{}".into()),
            ("PUT" | "DELETE", Some((at, text))) if wanted.is_some_and(|wanted| wanted != at) => (409, text),
            ("POST" | "PUT", _) => (200, Store::write(state, &kind, &name, spec)),
            ("DELETE", Some((_, text))) => {
                let mut locked = state.0.lock().unwrap();
                if let Some(object) = locked.objects.remove(&(kind.clone(), name.clone())) {
                    locked.revision += 1;
                    let revision = locked.revision;
                    locked.events.push(Event { revision, kind, name, removed: true, spec: object.spec });
                }
                drop(locked);
                state.1.notify_all();
                (200, text)
            }
            _ => (400, "{}".into()),
        }
    }

    fn watch(state: &(Mutex<StoreState>, Condvar), kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut locked = state.0.lock().unwrap();
        loop {
            if after > locked.revision {
                return (410, "{}".into());
            }
            let events: Vec<String> = locked
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| {
                    let object = object_text(&event.name, event.revision, &event.spec);
                    format!("{{\"removed\":{},\"object\":{object}}}", event.removed)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = locked.revision;
                drop(locked);
                thread::sleep(STORE_DELAY);
                return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            locked = state.1.wait_timeout(locked, left).unwrap().0;
        }
    }
}

// --------------------------------------------------------------------------------------------- engines

/// A request that reached an engine or a plain service.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub path: String,
    pub head: Message,
    /// How it was answered: the status, 0 if not at all.
    pub status: u16,
}

/// What a stand-in of an engine or service is and does.
pub struct EngineState {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: Mutex<SocketAddr>,
    pub power: Arc<AtomicBool>,
    pub layers: Mutex<(u64, u64)>,
    pub orders: AtomicU64,
    /// It leaves: its health says so.
    pub is_leaving: AtomicBool,
    /// Until then all its slots are taken by other callers, and what comes waits for one.
    pub busy_until: Mutex<Instant>,
    /// Events of a stream, and the time between two.
    pub events: AtomicU64,
    pub gap_ms: AtomicU64,
    /// Time that a plain request takes.
    pub work_ms: AtomicU64,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Questions for its health, and how each was answered.
    pub health_asked: Mutex<Vec<(Instant, Instant, u16)>>,
    /// Until then the answers of so many requests in a hundred are lost: their channel is reset.
    pub loses_until: Mutex<Instant>,
    pub loses_percent: AtomicU64,
    pub is_model: bool,
    /// Its accelerator, its size, and the size of a layer of its model.
    pub card: String,
    pub card_mb: u64,
    pub layer_mb: u64,
    /// Orders that it took: when, the layers, and whether they fit.
    pub placed: Mutex<Vec<(Instant, u64, u64, bool)>>,
    pub record: Record,
}

#[derive(Clone)]
pub struct Engine(pub Arc<EngineState>);

impl Engine {
    pub fn start(id: &str, service: &str, zone: &str, is_model: bool, ip: IpAddr, record: &Record) -> Engine {
        Engine::start_at(SocketAddr::new(ip, 0), id, service, zone, is_model, ("card", 2_000, 100), record)
    }

    /// Starts at an address; `card` is the accelerator, its size and that of a layer.
    pub fn start_at(
        addr: SocketAddr, id: &str, service: &str, zone: &str, is_model: bool, card: (&str, u64, u64), record: &Record,
    ) -> Engine {
        let state = Arc::new(EngineState {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: Mutex::new(addr),
            power: Arc::new(AtomicBool::new(true)),
            layers: Mutex::new((0, 0)),
            orders: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            busy_until: Mutex::new(Instant::now()),
            events: AtomicU64::new(20),
            gap_ms: AtomicU64::new(20),
            work_ms: AtomicU64::new(10),
            arrivals: Mutex::default(),
            health_asked: Mutex::default(),
            loses_until: Mutex::new(Instant::now()),
            loses_percent: AtomicU64::new(0),
            is_model,
            card: card.0.to_owned(),
            card_mb: card.1,
            layer_mb: card.2,
            placed: Mutex::default(),
            record: record.clone(),
        });
        let shared = Arc::clone(&state);
        let addr = serve(addr, Arc::clone(&state.power), move |head, reader, writer| {
            shared.handle(head, reader, writer)
        });
        *state.addr.lock().unwrap() = addr;
        Engine(state)
    }

    pub fn addr(&self) -> SocketAddr {
        *self.0.addr.lock().unwrap()
    }

    /// What its entry in the store says.
    pub fn entry(&self, state: &str) -> String {
        let e = &self.0;
        let rest = if e.is_model {
            format!(",\"stage\":\"both\",\"models\":[],\"kind\":\"{}\",\"layers\":null", e.card)
        } else {
            String::new()
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1{rest}}}",
            e.service, self.addr(), e.zone, if e.is_model { 192 } else { 6 }
        )
    }

    pub fn enter(&self, store: &Store) {
        store.put("servers", &self.0.id, &self.entry("ready"));
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.arrivals.lock().unwrap().clone()
    }
}

impl EngineState {
    fn wait_for_slot(&self) {
        loop {
            let until = *self.busy_until.lock().unwrap();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left);
        }
    }

    fn note(&self, index: usize, status: u16) {
        self.arrivals.lock().unwrap()[index].status = status;
    }

    fn handle(&self, mut head: Message, reader: &mut BufReader<TcpStream>, writer: &mut TcpStream) -> Handled {
        let came = Instant::now();
        read_body(reader, &mut head)?;
        let instance = ("Instance-Id", self.id.as_str());
        match (head.method(), head.path()) {
            ("GET", "/v1/report") if self.is_model => {
                let (from, target) = *self.layers.lock().unwrap();
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":{},\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":1000000,\"handles\":0,\"pace\":1.0,\"stalled\":[],\"layers\":{{\"from\":{from},\"target\":{target},\"version\":1}}}}",
                    self.orders.load(Ordering::SeqCst)
                );
                writer.write_all(&answer_bytes(200, &[("Content-Type", "application/json")], &body))?;
                return Ok(true);
            }
            ("GET", "/health") => {
                self.wait_for_slot();
                let is_leaving = self.is_leaving.load(Ordering::SeqCst);
                let status = if is_leaving { 503 } else { 200 };
                let headers = [instance, ("Connection", "close")];
                let sent = writer.write_all(&answer_bytes(status, &headers[..1 + usize::from(is_leaving)], ""));
                self.health_asked.lock().unwrap().push((came, Instant::now(), status));
                sent?;
                return Ok(!is_leaving);
            }
            ("POST", "/v1/order") if self.is_model && head.header("expect-instance").is_some_and(|id| id != self.id) => {
                writer.write_all(&answer_bytes(421, &[instance], ""))?;
                return Ok(true);
            }
            ("POST", "/v1/order") if self.is_model => {
                let body = Json::parse(&String::from_utf8_lossy(&head.body)).unwrap_or(Json::Null);
                let number = |name: &str| body.get(name).and_then(Json::number);
                let status = match body.get("operation").and_then(Json::text) {
                    Some("place") if number("expect").is_some_and(|n| n != self.orders.load(Ordering::SeqCst)) => 409,
                    Some("place") => {
                        let (from, target) = (number("from").unwrap_or(0), number("target").unwrap_or(0));
                        let fits = target.saturating_sub(from) * self.layer_mb <= self.card_mb;
                        self.placed.lock().unwrap().push((came, from, target, fits));
                        let expects = head.header("expect-instance").unwrap_or("nobody by its id");
                        self.record.line(&format!("engine {} gets an order to hold {from}-{target}, for {expects}, which fits: {fits}", self.id));
                        *self.layers.lock().unwrap() = (from, target);
                        self.orders.fetch_add(1, Ordering::SeqCst);
                        if !fits {
                            // "An engine that is ordered to hold more than its `size_mb` crashes."
                            self.power.store(false, Ordering::SeqCst);
                            return Ok(false);
                        }
                        202
                    }
                    Some("repath") => 409,
                    _ => 400,
                };
                writer.write_all(&answer_bytes(status, &[], ""))?;
                return Ok(true);
            }
            _ => {}
        }
        let id = head.header("request-id").unwrap_or_default().to_owned();
        let path = head.path().to_owned();
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival { at: came, id: id.clone(), path: path.clone(), head: head.clone(), status: 0 });
            arrivals.len() - 1
        };
        self.record.line(&format!("engine {} gets {id} {path}", self.id));
        let is_other = head.header("expect-instance").is_some_and(|expected| expected != self.id);
        let is_empty = self.is_model && *self.layers.lock().unwrap() == (0, 0);
        if is_other || is_empty {
            self.note(index, 421);
            writer.write_all(&answer_bytes(421, &[instance, ("Request-Id", &id)], ""))?;
            return Ok(true);
        }
        self.wait_for_slot();
        if !self.is_model && !path.starts_with(PLAIN_STREAM_PREFIX) {
            thread::sleep(ms(self.work_ms.load(Ordering::SeqCst)));
            self.note(index, 200);
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            let headers =
                [("Request-Id", id.as_str()), ("Response-Seal", self.id.as_str()), ("Server-Load", "1,0,6"), ("Connection", "close")];
            let headers = &headers[..3 + usize::from(is_leaving)];
            writer.write_all(&answer_bytes(200, headers, &format!("answer of {} to {id}", self.id)))?;
            return Ok(!is_leaving);
        }
        let first = head.header("last-event-id").and_then(|n| n.parse::<u64>().ok()).map_or(1, |last| last + 1);
        self.note(index, 200);
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let mut out = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}\r\n",
            self.id,
            if is_leaving { "Connection: close\r\n" } else { "" }
        );
        let gap = ms(self.gap_ms.load(Ordering::SeqCst));
        let draw = random() % 100;
        for (sent, n) in (first..=self.events.load(Ordering::SeqCst)).enumerate() {
            thread::sleep(gap);
            let is_lossy = Instant::now() < *self.loses_until.lock().unwrap();
            if sent > 0 && is_lossy && draw < self.loses_percent.load(Ordering::SeqCst) {
                self.record.line(&format!("engine {} loses the answer to {id} before event {n}", self.id));
                reset(writer);
                return Ok(false);
            }
            let event = format!("id: {n}\ndata: piece {n} of {id}\n\n");
            out.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            if !self.power.load(Ordering::SeqCst) {
                return Ok(false);
            }
            writer.write_all(out.as_bytes())?;
            out.clear();
        }
        out.push_str("0\r\n\r\n");
        writer.write_all(out.as_bytes())?;
        Ok(!is_leaving)
    }
}

/// Prefix of the route of streams that goes to a service without model engines.
pub const PLAIN_STREAM_PREFIX: &str = "/brief/";

/// A random number.
pub fn random() -> u64 {
    use std::collections::hash_map::RandomState;
    use std::hash::{BuildHasher, Hasher};
    RandomState::new().build_hasher().finish()
}

/// Has a connection reset when it is closed.
pub fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
    }
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

// --------------------------------------------------------------------------------------------- gateway

/// The command of the deploy file.
const PROGRAM: &str = "target/release/sorrellockd";

/// A gateway as a child process. Dropping it kills it.
pub struct Gateway {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub settings: PathBuf,
    ip: IpAddr,
}

/// A random loopback address, so that runs don't meet.
pub fn random_ip() -> IpAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().subsec_nanos();
    let n = u64::from(std::process::id()) * 7919 + u64::from(nanos / 1000) * 31 + NEXT.fetch_add(1, Ordering::SeqCst) * 104_729;
    IpAddr::V4(Ipv4Addr::new(127, (20 + n % 200) as u8, (n / 200 % 250) as u8, (2 + n / 50_000 % 250) as u8))
}

pub fn free_port(ip: IpAddr) -> u16 {
    TcpListener::bind((ip, 0)).expect("a free port").local_addr().expect("its address").port()
}

/// A folder for temporary files.
pub fn temp_dir() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("sorrellock-review-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    dir
}

impl Gateway {
    pub fn start(name: &str, zone: &str, store: &Store, bounds: &str) -> Gateway {
        let ip = random_ip();
        let (callers, ready, peer) = (free_port(ip), free_port(ip), free_port(ip));
        let text = format!(
            "node_name = \"{name}\"\nrole = \"gateway\"\nmachine_class = \"front\"\nserves = [\"front\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r1\"\ninternal_ports = [{peer},{}]\n\
             [listen]\nfront = \"{ip}:{callers}\"\nready = \"{ip}:{ready}\"\n\
             [limits]\ncpu_share = 0.19\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             [bounds]\n{bounds}\n[platform]\naddress = \"{}\"\nform = \"objects\"\n",
            u32::from(peer) + 9, store.addr
        );
        let settings = temp_dir().join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings");
        let child = Gateway::spawn(&settings, name);
        Gateway {
            child,
            name: name.to_owned(),
            callers: SocketAddr::new(ip, callers),
            ready: SocketAddr::new(ip, ready),
            settings,
            ip,
        }
    }

    fn spawn(settings: &PathBuf, name: &str) -> Child {
        let log = fs::OpenOptions::new().create(true).append(true).open(temp_dir().join(format!("{name}.log")));
        Command::new(PROGRAM)
            .arg("gateway")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("SORRELLOCK_NODE_FILE", settings)
            .stdout(Stdio::from(log.expect("a log")))
            .spawn()
            .inspect(|child| CHILDREN.lock().unwrap().push(child.id()))
            .expect("the gateway starts")
    }

    /// Starts again with the same settings.
    pub fn restart(&mut self) {
        self.child = Gateway::spawn(&self.settings, &self.name);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.pid().to_string()).status();
    }

    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            let pid = self.pid();
            CHILDREN.lock().unwrap().retain(|child| *child != pid);
        }
        has_ended
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/v1/readiness").is_some_and(|answer| answer.status() == 200)
    }

    pub fn dump(&self) -> String {
        let answer = get(SocketAddr::new(self.ip, 9464), "/dump");
        answer.map_or_else(String::new, |answer| String::from_utf8_lossy(&answer.body).into_owned())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(temp_dir().join(format!("{}.log", self.name))).unwrap_or_default()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.pid();
        CHILDREN.lock().unwrap().retain(|child| *child != pid);
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn get(addr: SocketAddr, path: &str) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&addr, ms(1000)).ok()?;
    stream.set_read_timeout(Some(ms(2000))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut head = read_head(&mut reader).ok()??;
    read_body(&mut reader, &mut head).ok()?;
    Some(head)
}

pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > limit {
            println!("could not run: waited in vain for {what}");
            cleanup_and_exit(2);
        }
        thread::sleep(ms(20));
    }
}

/// Child processes that run.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends what still runs, and the process with this code.
pub fn cleanup_and_exit(code: i32) -> ! {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
    }
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(temp_dir());
    } else {
        println!("logs in {}", temp_dir().display());
    }
    std::process::exit(code)
}

// ---------------------------------------------------------------------------------------------- client

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

pub fn new_request_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000_u64 + NEXT_REQUEST.fetch_add(1, Ordering::SeqCst))
}

/// A client's channel to a gateway.
pub struct Channel {
    pub reader: BufReader<TcpStream>,
    pub writer: TcpStream,
}

/// How a request of a client ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// 0 if no answer came.
    pub status: u16,
    pub is_whole: bool,
    pub head: Message,
    pub body: Vec<u8>,
    pub took: Duration,
    pub why: String,
}

pub const HOST: &str = "fleet.example";
pub const KEY: &str = "key-of-treasury";

impl Channel {
    pub fn open(addr: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&addr, ms(1000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ms(30_000)))?;
        Ok(Channel { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }

    /// Gives up an answer of which nothing comes for this long.
    pub fn set_patience(&self, patience: Duration) {
        let _ = self.writer.set_read_timeout(Some(patience));
    }

    /// Sends a request and reads its answer.
    pub fn send(&mut self, method: &str, path: &str, extra: &[(&str, &str)], body: &str, deadline_ms: u64) -> Outcome {
        let id = new_request_id();
        let began = Instant::now();
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (key, value) in extra {
            text.push_str(&format!("{key}: {value}\r\n"));
        }
        text.push_str("\r\n");
        text.push_str(body);
        let mut outcome = Outcome {
            id,
            status: 0,
            is_whole: false,
            head: Message::default(),
            body: Vec::new(),
            took: Duration::ZERO,
            why: String::new(),
        };
        let res = self.writer.write_all(text.as_bytes()).and_then(|()| self.read(&mut outcome));
        if let Err(err) = res {
            outcome.why = err.to_string();
        }
        outcome.took = began.elapsed();
        outcome
    }

    fn read(&mut self, outcome: &mut Outcome) -> io::Result<()> {
        let Some(head) = read_head(&mut self.reader)? else {
            return Err(io::Error::other("closed without an answer"));
        };
        outcome.status = head.status();
        outcome.head = head.clone();
        if is_chunked(&head) {
            loop {
                let chunk = read_chunk(&mut self.reader)?;
                if chunk.is_empty() {
                    break;
                }
                outcome.body.extend(chunk);
            }
        } else {
            let mut whole = head;
            read_body(&mut self.reader, &mut whole)?;
            outcome.body = whole.body;
        }
        outcome.is_whole = true;
        Ok(())
    }
}

/// Whether the gateway closes the channel after an answer.
pub fn closes(outcome: &Outcome) -> bool {
    outcome.status == 0
        || !outcome.is_whole
        || outcome.head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Bounds of a small deployment.
pub const BOUNDS: &str = "seed_lag_s = 3\naddr_reuse_s = 2\nstable_window_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\nstrict_revocation = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 202\nrecovery_s = 12\npass_ms = 120\nretry_after_s = 0\nstall_ms = 2500\nrequire_fencing = false";

/// The operator's desired state: a route of streams, one of plain requests that run once at most, one of idempotent ones.
pub fn desired_state(version: u64, max_header_bytes: u64, stream_timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":500,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\"sticky_sessions\":true,\"stream_resume\":{}}}",
            kind == "streaming"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{{\"name\":\"lexis\",\"health_path\":\"/health\",\"max_conns\":978,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":192,\"kv_capacity_tokens\":100000,\"kv_token_bytes\":1000,\"link_mbps\":400000.0,\"stride\":2,\"models\":[{{\"name\":\"m0\",\"pace\":1.0,\"load_s\":0.1,\"warmup_s\":0.1}}],\"step_ms\":0.85,\"per_seq_ms\":0.003,\"context_per_k\":0.005,\"read_per_s\":196000.0,\"pairs_per_m\":0.166,\"chunk\":512,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{{\"prompt\":20,\"answer\":40}},\"layers\":8,\"layer_mb\":100.0,\"activation_bytes\":1000,\"pipe_mbps\":11000.0,\"kinds\":[{{\"name\":\"card\",\"size_mb\":2000.0,\"pace\":1.0,\"read_factor\":1.0}}]}}}},{{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":{max_header_bytes},\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"treasury\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("match", "streaming", "lexis", 2, stream_timeout_ms),
        route("status", "non_idempotent", "ledger", 1, 2000),
        route("ack", "idempotent", "ledger", 2, 2000),
    )
}
