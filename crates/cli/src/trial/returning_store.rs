//! A gateway whose store comes back from an older copy of itself.

use eyre::{Result, WrapErr, ensure, eyre};
use serde_json::Value;
use sorrellock_stand_ins::{
    CALLERS_PORT, FakeService, FakeStore, HOST, KEY, METRICS_PORT, StoreMode, configuration,
    new_ip, settings,
};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const INSTANCE: &str = "gateway-1";
/// A key that is revoked before the store comes back, and that its copy allows.
const REVOKED_KEY: &str = "key-revoked";
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// How long after the gateway knows of the return the operator and the service write again what the copy lacks.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// How long calls go on after that.
const CALLED_AFTER: Duration = Duration::from_secs(1);
/// How long each step may take.
const PATIENCE: Duration = Duration::from_secs(20);
/// How often a wait looks again, and the time between two calls.
const POLL: Duration = Duration::from_millis(20);

/// A gateway in this process, with the store and the service that stand in for the users' platform.
struct Deployment {
    store: FakeStore,
    service: FakeService,
    callers: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
}

/// What the callers of a while were answered.
#[derive(Default)]
struct Calls {
    is_over: AtomicBool,
    number: AtomicU32,
    answered: AtomicU32,
    revoked_taken: AtomicU32,
}

/// The store comes back from a copy that is older than a change of the configuration and than the gateway's own objects, while calls
/// go on.
pub fn check() -> Result<()> {
    let deployment = Deployment::start()?;
    let copy = deployment.store.copy();
    deployment.run_gateway()?;
    deployment.store.put("config", "main", configuration(2, &[KEY]));
    wait_for("the revoked key to be refused", || deployment.call(REVOKED_KEY) == Some(401))?;

    let calls = Calls::default();
    thread::scope(|scope| {
        scope.spawn(|| deployment.call_on(&calls));
        deployment.store.set_mode(StoreMode::Silent);
        thread::sleep(AWAY);
        deployment.store.come_back_from(&copy);
        deployment.store.set_mode(StoreMode::Up);
        let known = deployment.wait_for_era();
        thread::sleep(WRITTEN_AGAIN_AFTER);
        deployment.write_again();
        thread::sleep(CALLED_AFTER);
        calls.is_over.store(true, Ordering::Release);
        known
    })?;

    let (number, answered) =
        (calls.number.load(Ordering::Acquire), calls.answered.load(Ordering::Acquire));
    let revoked_taken = calls.revoked_taken.load(Ordering::Acquire);
    ensure!(answered == number, "{answered} of {number} calls were answered");
    ensure!(revoked_taken == 0, "the revoked key was taken {revoked_taken} times");
    println!(
        "ok: the store came back from an older copy: {number} calls of a gateway answered, a revoked key stayed so"
    );
    Ok(())
}

impl Deployment {
    fn start() -> Result<Deployment> {
        let store = FakeStore::start(new_ip()).wrap_err("start of the store")?;
        store.tell_era();
        store.put("config", "main", configuration(1, &[KEY, REVOKED_KEY]));
        let service = FakeService::start("ledger-1", "ledger", "north", new_ip(), &store);
        let ip = new_ip();
        let path = std::env::temp_dir().join(format!("sorrellock-try-{}.toml", std::process::id()));
        fs::write(&path, settings(INSTANCE, "north", ip, store.addr()))
            .wrap_err_with(|| format!("{}", path.display()))?;
        Ok(Deployment {
            store,
            service: service.wrap_err("start of the service")?,
            callers: SocketAddr::new(ip, CALLERS_PORT),
            metrics: SocketAddr::new(ip, METRICS_PORT),
            settings: path,
        })
    }

    /// Starts the gateway, which runs as long as this process, and waits until it answers.
    fn run_gateway(&self) -> Result<()> {
        let path = self.settings.clone();
        thread::spawn(move || {
            if let Err(err) = sorrellock_gateway::run_with_log_set_up(&path) {
                eprintln!("the gateway: {err}");
            }
        });
        wait_for("the gateway to answer", || self.call(REVOKED_KEY) == Some(200))
    }

    /// Calls the service; the status, if an answer came.
    fn call(&self, key: &str) -> Option<u16> {
        let agent = ureq::Agent::config_builder().http_status_as_error(false).build();
        let req = ureq::Agent::new_with_config(agent)
            .post(format!("http://{}/ack/1", self.callers))
            .header("host", HOST)
            .header("request-id", format!("{:016x}", rand::random::<u64>()))
            .header("deadline-ms", "5000")
            .header("authorization", format!("Bearer {key}"));
        Some(req.send("confirmation").ok()?.status().as_u16())
    }

    /// Calls the service until the calls are over, with both keys.
    fn call_on(&self, calls: &Calls) {
        while !calls.is_over.load(Ordering::Acquire) {
            calls.number.fetch_add(1, Ordering::AcqRel);
            let is_answered = self.call(KEY) == Some(200);
            calls.answered.fetch_add(u32::from(is_answered), Ordering::AcqRel);
            let is_taken = self.call(REVOKED_KEY) == Some(200);
            calls.revoked_taken.fetch_add(u32::from(is_taken), Ordering::AcqRel);
            thread::sleep(POLL);
        }
    }

    /// Waits until the gateway knows the new era and has written its registration again.
    fn wait_for_era(&self) -> Result<()> {
        wait_for("the new era to be known", || self.dump()["endpoints_era"] == 2)?;
        wait_for("the gateway to write its registration again", || {
            self.store.object("sorrellock-gateways", INSTANCE).is_some()
        })
    }

    /// The operator and the service write again what the copy lacks.
    fn write_again(&self) {
        self.store.put("config", "main", configuration(2, &[KEY]));
        self.service.write_again(&self.store);
    }

    /// The gateway's state; null where it can't be read.
    fn dump(&self) -> Value {
        let page = ureq::get(format!("http://{}/dump", self.metrics)).call();
        let text = page.ok().and_then(|mut page| page.body_mut().read_to_string().ok());
        text.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // The directory of temporary files is emptied in any case.
        let _ = fs::remove_file(&self.settings);
    }
}

fn wait_for(what: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > PATIENCE {
            return Err(eyre!("waited in vain for {what}"));
        }
        thread::sleep(POLL);
    }
    Ok(())
}
