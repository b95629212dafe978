//! The sending side of a link to one peer: a bounded queue, and the thread that empties it.
//!
//! While nothing waits, whoever sends writes to the connection itself, without a wait: that saves
//! the change of threads. What the connection doesn't take at once is left to the thread.

use crate::connection::dial::Dial;
use crate::connection::link_counters::add;
use crate::connection::peers::Queues;
use crate::connection::writer::{Writer, Written};
use crate::connection::{LinkConfig, LinkCounters, LinkError};
use crate::message::Message;
use sorrellock_core::id::Incarnation;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::Instant;

/// Stack of a sending thread; it encodes one envelope at a time.
const SENDER_STACK_BYTES: usize = 256 << 10;
/// Messages for which an empty queue keeps room.
const KEPT_ROOM: usize = 64;

/// A bounded queue to one peer.
pub(crate) struct PeerQueue<D: Dial> {
    peer: SocketAddr,
    cfg: LinkConfig,
    counters: Arc<LinkCounters>,
    state: Mutex<State>,
    ready: Condvar,
    /// Taken only by the one that has set [`State::writing`].
    writer: Mutex<Writer<D>>,
}

/// Messages with the incarnation that they are meant for.
type Queued = (Incarnation, Message);

#[derive(Default)]
struct State {
    waiting: VecDeque<Queued>,
    /// Somebody writes to the connection.
    writing: bool,
    /// The connection is open and has taken all that was written: others than the thread may write.
    open: bool,
    /// The last try to connect failed a moment ago.
    down_until: Option<Instant>,
    ended: bool,
    /// Something was sent since this was cleared.
    used: bool,
}

impl<D: Dial> PeerQueue<D> {
    /// Starts the thread that sends to `peer`; it takes itself out of `owner` when idle for long.
    pub fn start(
        peer: SocketAddr,
        cfg: LinkConfig,
        writer: Writer<D>,
        owner: Weak<Queues<D>>,
        counters: Arc<LinkCounters>,
    ) -> Arc<PeerQueue<D>> {
        let (state, ready) = Default::default();
        let writer = Mutex::new(writer);
        let queue = Arc::new(PeerQueue { peer, cfg, counters, state, ready, writer });
        let sending = queue.clone();
        thread::Builder::new()
            .name("link-send".into())
            .stack_size(SENDER_STACK_BYTES)
            .spawn(move || sending.run(&owner))
            .expect("a thread can be started");
        queue
    }

    /// Sends messages, or queues them: all or none.
    pub fn push(&self, to: Incarnation, messages: Vec<Message>) -> Result<(), LinkError> {
        let peer = self.peer;
        let mut state = self.state.lock().unwrap();
        if state.ended || state.is_down() {
            add(&self.counters.refused_down, messages.len() as u64);
            return Err(LinkError::Down { peer });
        }
        if state.waiting.len() + messages.len() > self.cfg.queue {
            add(&self.counters.refused_full, messages.len() as u64);
            return Err(LinkError::Full { peer });
        }
        state.used = true;
        if state.open && !state.writing && state.waiting.is_empty() {
            state.writing = true;
            drop(state);
            self.write_now(to, messages);
            return Ok(());
        }
        state.waiting.extend(messages.into_iter().map(|message| (to, message)));
        let wake = !state.writing;
        drop(state);
        if wake {
            self.ready.notify_one();
        }
        Ok(())
    }

    /// Whether something that was taken for sending has not been written to the connection yet.
    pub fn has_unsent(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.writing || !state.waiting.is_empty() || self.has_rest(&state)
    }

    /// Ends the thread; what waits is lost.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.ended = true;
        add(&self.counters.messages_lost, state.waiting.len() as u64);
        state.waiting.clear();
        drop(state);
        self.ready.notify_one();
    }

    /// Writes from the sender's own thread; what is not taken at once is left to the queue's thread.
    fn write_now(&self, to: Incarnation, messages: Vec<Message>) {
        let written = self.writer.lock().unwrap().write_now(to, messages);
        let mut state = self.state.lock().unwrap();
        state.writing = false;
        state.open = written == Ok(Written::Whole);
        let wake = !state.open || !state.waiting.is_empty();
        if let Err(messages) = written {
            // They come before what has gathered since.
            let queued = messages.into_iter().rev().map(|message| (to, message));
            queued.for_each(|queued| state.waiting.push_front(queued));
        }
        drop(state);
        if wake {
            self.ready.notify_one();
        }
    }

    fn run(&self, owner: &Weak<Queues<D>>) {
        while let Some((to, messages)) = self.next(owner) {
            let mut writer = self.writer.lock().unwrap();
            let sent = writer.write(to, messages);
            let now = writer.can_write_now();
            drop(writer);
            let mut state = self.state.lock().unwrap();
            state.writing = false;
            state.open = sent && now;
            if !sent {
                self.refuse_for_a_while(&mut state);
                drop(state);
                // Whoever gets the report is refused from then on.
                self.writer.lock().unwrap().report_unreachable();
            }
        }
        // The end of the link closes its connections, which is told as any other close is.
        self.writer.lock().unwrap().drop_connection();
    }

    /// What to write next, perhaps no messages but the rest of the last ones; nothing once the link
    /// ended or this queue was idle for long.
    fn next(&self, owner: &Weak<Queues<D>>) -> Option<(Incarnation, Vec<Message>)> {
        let mut state = self.state.lock().unwrap();
        loop {
            if state.ended {
                return None;
            }
            if !state.writing && (!state.waiting.is_empty() || self.has_rest(&state)) {
                state.writing = true;
                return Some(state.gather(self.cfg.batch));
            }
            let (woken, timeout) = self.ready.wait_timeout(state, self.cfg.idle).unwrap();
            state = woken;
            if timeout.timed_out() {
                drop(state);
                if self.leave(owner) {
                    return None;
                }
                state = self.state.lock().unwrap();
            }
        }
    }

    fn has_rest(&self, state: &MutexGuard<'_, State>) -> bool {
        !state.open && self.writer.lock().unwrap().has_rest()
    }

    /// Takes this queue out of its owner, so that a later message starts a new one; a message that
    /// slipped in keeps it.
    fn leave(&self, owner: &Weak<Queues<D>>) -> bool {
        let Some(owner) = owner.upgrade() else { return true };
        let mut queues = owner.write().unwrap();
        let mut state = self.state.lock().unwrap();
        let used = std::mem::take(&mut state.used);
        if used || state.writing || !state.waiting.is_empty() {
            return false;
        }
        state.ended = true;
        queues.remove(&self.peer);
        self.writer.lock().unwrap().close_quietly();
        true
    }

    /// Refuses new messages for a moment, and drops those that wait: nobody is there.
    fn refuse_for_a_while(&self, state: &mut State) {
        state.down_until = Some(Instant::now() + self.cfg.down_for);
        add(&self.counters.messages_lost, state.waiting.len() as u64);
        state.waiting.clear();
    }
}

impl State {
    fn is_down(&mut self) -> bool {
        let down = self.down_until.is_some_and(|until| Instant::now() < until);
        if !down {
            self.down_until = None;
        }
        down
    }

    /// Takes what waits at the front for the same incarnation.
    fn gather(&mut self, most: usize) -> (Incarnation, Vec<Message>) {
        let Some((to, _)) = self.waiting.front() else { return (0, Vec::new()) };
        let to = *to;
        let same = self.waiting.iter().take(most).take_while(|(other, _)| *other == to).count();
        let messages = self.waiting.drain(..same).map(|(_, message)| message).collect();
        if self.waiting.is_empty() {
            self.waiting.shrink_to(KEPT_ROOM);
        }
        (to, messages)
    }
}
