//! The concurrent attempts of one request.

use sorrellock_core::process::retries::Permit;
use sorrellock_routing::process::Incarnation;
use std::future::{Future, pending, poll_fn};
use std::pin::Pin;
use std::task::Poll;
use tokio::time::{Instant, sleep_until};

/// An attempt of a call at one endpoint, without its future.
pub(crate) struct AttemptInfo {
    pub(crate) endpoint: Incarnation,
    pub(crate) permit: Permit,
    /// When a further attempt may start in parallel; `None` if none may.
    pub(crate) overdue_at: Option<Instant>,
    /// A further attempt was started in parallel.
    pub(crate) is_overdue: bool,
}

/// An event of a call's attempts.
pub(crate) enum AttemptEvent<'a, T> {
    /// An attempt ended with this result.
    Ended(AttemptInfo, T),
    /// The only open attempt takes so long that a further one may start.
    Overdue(&'a mut AttemptInfo),
}

struct Running<I, F> {
    info: I,
    answer: Pin<Box<F>>,
}

/// The open attempts of one request. Dropping them closes their connections.
pub(crate) struct RunningAttempts<I, F> {
    running: Vec<Running<I, F>>,
}

impl<I, F: Future> RunningAttempts<I, F> {
    /// Creates an empty set of attempts.
    pub(crate) fn new() -> RunningAttempts<I, F> {
        RunningAttempts { running: Vec::new() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    pub(crate) fn push(&mut self, info: I, answer: F) {
        self.running.push(Running { info, answer: Box::pin(answer) });
    }

    pub(crate) fn infos(&mut self) -> impl Iterator<Item = &mut I> {
        self.running.iter_mut().map(|running| &mut running.info)
    }

    /// Returns the only open attempt; `None` if there are none or several.
    pub(crate) fn only(&mut self) -> Option<&mut I> {
        match self.running.as_mut_slice() {
            [only] => Some(&mut only.info),
            _ => None,
        }
    }

    /// Waits until an attempt ends and removes it; waits for ever if there are none.
    pub(crate) async fn ended(&mut self) -> (I, F::Output) {
        let (index, output) = poll_fn(|cx| {
            for (index, running) in self.running.iter_mut().enumerate() {
                if let Poll::Ready(output) = running.answer.as_mut().poll(cx) {
                    return Poll::Ready((index, output));
                }
            }
            Poll::Pending
        })
        .await;
        (self.running.remove(index).info, output)
    }
}

impl<F: Future> RunningAttempts<AttemptInfo, F> {
    /// Waits for the next event; waits for ever if there are no attempts.
    pub(crate) async fn next(&mut self) -> AttemptEvent<'_, F::Output> {
        let overdue_at = self.only().and_then(|only| only.overdue_at);
        let overdue = async {
            match overdue_at {
                Some(at) => sleep_until(at).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            (info, answer) = self.ended() => AttemptEvent::Ended(info, answer),
            () = overdue => AttemptEvent::Overdue(&mut self.running[0].info),
        }
    }
}
