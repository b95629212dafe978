//! Tells a handler that its caller went away.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

type Hook = Box<dyn FnOnce() + Send>;

/// Whether the caller of one request went away before its answer was complete.
#[derive(Default)]
pub(crate) struct Gone {
    gone: AtomicBool,
    hooks: Mutex<Hooks>,
}

#[derive(Default)]
struct Hooks {
    over: bool,
    waiting: Vec<Hook>,
}

impl Gone {
    /// Whether the caller went away.
    pub(crate) fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }

    /// Calls `hook` once the caller goes away, or now if it did.
    pub(crate) fn on_gone(&self, hook: impl FnOnce() + Send + 'static) {
        let mut hooks = self.hooks.lock().expect("no panic holds this lock");
        if !hooks.over {
            hooks.waiting.push(Box::new(hook));
            return;
        }
        drop(hooks);
        if self.is_gone() {
            hook();
        }
    }

    /// The answer is complete, or the connection was broken from this side.
    fn complete(&self) {
        self.end();
    }

    fn go(&self) {
        self.gone.store(true, Ordering::Release);
        for hook in self.end() {
            hook();
        }
    }

    /// Takes the hooks out, so that what they hold is freed.
    fn end(&self) -> Vec<Hook> {
        let mut hooks = self.hooks.lock().expect("no panic holds this lock");
        hooks.over = true;
        std::mem::take(&mut hooks.waiting)
    }
}

impl fmt::Debug for Gone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gone").field("gone", &self.is_gone()).finish()
    }
}

/// Travels with the answer; dropped before the answer is complete, it tells that the caller
/// went away.
#[derive(Debug)]
pub(crate) struct GoneGuard {
    gone: Option<Arc<Gone>>,
    on_gone: Arc<crate::process::Counters>,
}

impl GoneGuard {
    pub(crate) fn new(gone: Arc<Gone>, counters: Arc<crate::process::Counters>) -> GoneGuard {
        GoneGuard { gone: Some(gone), on_gone: counters }
    }

    /// The answer is complete, or was cut by the handler.
    pub(crate) fn complete(&mut self) {
        if let Some(gone) = self.gone.take() {
            gone.complete();
        }
    }
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        if let Some(gone) = self.gone.take() {
            crate::process::count(&self.on_gone.gone);
            gone.go();
        }
    }
}
