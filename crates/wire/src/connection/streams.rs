//! All open TCP connections of a link, so that they can be closed at once.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, Weak};

/// All open connections of a link.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    closed: bool,
    open: HashMap<u64, Weak<OpenStream>>,
}

/// An open connection; it leaves the list when dropped.
#[derive(Debug)]
pub(crate) struct OpenStream {
    stream: TcpStream,
    number: u64,
    owner: Weak<Streams>,
}

impl Streams {
    /// Lists a connection; none once the link was closed.
    pub fn add(self: &Arc<Self>, stream: TcpStream) -> Option<Arc<OpenStream>> {
        let mut state = self.state.lock().unwrap();
        if state.closed {
            return None;
        }
        state.next += 1;
        let number = state.next;
        let open = Arc::new(OpenStream { stream, number, owner: Arc::downgrade(self) });
        state.open.insert(number, Arc::downgrade(&open));
        Some(open)
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.state.lock().unwrap().open.len()
    }

    /// Closes all, and lists no more.
    pub fn close_all(&self) {
        let mut state = self.state.lock().unwrap();
        state.closed = true;
        let open: Vec<_> = state.open.drain().filter_map(|(_, open)| open.upgrade()).collect();
        drop(state);
        open.iter().for_each(|open| open.shut());
    }
}

impl OpenStream {
    /// The connection.
    pub fn get(&self) -> &TcpStream {
        &self.stream
    }

    /// Closes it in both directions; whoever waits for it wakes.
    pub fn shut(&self) {
        // It may be closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        if let Some(owner) = self.owner.upgrade() {
            owner.state.lock().unwrap().open.remove(&self.number);
        }
    }
}
