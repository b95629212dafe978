//! A desired state that allows longer heads, and clients that keep their channels.

use crate::gateway::{own_ip, Gateway};
use crate::http::{Message, Reader};
use crate::record::Record;
use crate::service::Service;
use crate::store::Store;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

const HOST: &str = "fleet.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const CLIENTS: usize = 60;
const CONFIG_MS: u64 = 2_000;

fn configuration(version: u32, max_header_bytes: u32) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"ack","host":"{HOST}","path_prefix":"/ack/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"public":false}}],"services":[{{"name":"ledger","health_path":"/health","max_conns":110}}],"limits":{{"max_header_bytes":{max_header_bytes},"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"treasury","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Returns the exit code.
pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::start(SocketAddr::new(own_ip(1), 0));
    // Without the disruption, the limit is the longer one from the start.
    store.put("config", "main", &configuration(1, if has_trouble { 16_384 } else { 32_768 }));
    let zones = ["pasila", "vantaa", "espoo"];
    let _services: Vec<Service> = (0..3)
        .map(|n| {
            Service::start(
                &format!("i-{n}"),
                "ledger",
                zones[n],
                own_ip(10 + n as u8),
                &store,
                record,
            )
        })
        .collect();
    let gateways: Vec<Gateway> = (0..3)
        .map(|n| Gateway::start(&format!("front-{n}"), zones[n], own_ip(20 + n as u8), store.addr))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("a gateway isn't ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let mut clients: Vec<Client> =
        (0..CLIENTS).map(|n| Client::connect(n, gateways[n % 3].callers)).collect();
    // Each client makes some requests over its channel, at an eighth of a second each.
    let mut ends: HashMap<&str, HashMap<u16, usize>> = HashMap::new();
    for client in &mut clients {
        *ends.entry("before").or_default().entry(client.request(record, 200)).or_default() += 1;
    }
    if has_trouble {
        store.put("config", "main", &configuration(2, 32_768));
        record.line("the store acknowledges version 2: max_header_bytes is 32768");
    }
    thread::sleep(Duration::from_millis(CONFIG_MS + 1_000));
    for client in &mut clients {
        *ends.entry("after").or_default().entry(client.request(record, 20_000)).or_default() += 1;
    }
    record.line(&format!("statuses: {ends:?}"));
    let denied: usize = ends["after"]
        .iter()
        .filter(|(status, _)| (300..500).contains(*status))
        .map(|(_, n)| n)
        .sum();
    let allowed = 5.0 + (2 * CLIENTS) as f64 / 500.0;
    record.line(&format!(
        "DENIED: {denied} proper requests of {}; {allowed} are allowed",
        2 * CLIENTS
    ));
    i32::from(denied as f64 > allowed)
}

/// A client that keeps its channel.
struct Client {
    number: usize,
    sent: usize,
    stream: TcpStream,
    reader: Reader,
}

impl Client {
    fn connect(number: usize, addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).expect("a channel");
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let reader = Reader::new(stream.try_clone().expect("a channel"));
        Client { number, sent: 0, stream, reader }
    }

    /// Sends a request whose head has about so many bytes. Returns the status of its answer, 0 for none.
    fn request(&mut self, record: &Record, head_bytes: usize) -> u16 {
        self.sent += 1;
        let id = format!("{:04x}{:04x}", self.number, self.sent);
        let mut head = format!(
            "GET /ack/{} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\n",
            self.number
        );
        // The parts of a long prompt.
        let mut parts = Vec::new();
        while head.len() + parts.len() * 13 + 100 < head_bytes {
            parts.push(format!("{:08x}:200", parts.len()));
        }
        if !parts.is_empty() {
            head.push_str(&format!("Prefix-Hash: {}\r\n", parts.join(",")));
        }
        head.push_str("\r\n");
        let bytes = head.len();
        let answer = self.exchange(&head);
        let status = answer.as_ref().map_or(0, Message::status);
        let seal =
            answer.as_ref().and_then(|answer| answer.header("response-seal")).unwrap_or("none");
        record.line(&format!(
            "client {} sends {id} with a head of {bytes} B on its channel: {status}, seal {seal}",
            self.number
        ));
        status
    }

    fn exchange(&mut self, head: &str) -> Option<Message> {
        self.stream.write_all(head.as_bytes()).ok()?;
        let answer = self.reader.head().ok()??;
        self.reader.body(&answer, true, |_| {}).ok()?;
        Some(answer)
    }
}
