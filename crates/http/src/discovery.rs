//! Client of the discovery agent: fetches the list of hosts, then watches it for changes without a gap. After
//! a failure the current list stays in force. If the agent's address changes, the new agent is asked for the
//! full list first.

use crate::conn::{bytes, BodyLimit, Conn};
use crate::schedule::{FailureKind, ListCall, PollCost};
use bytes::Bytes;
use hyper::{Request, StatusCode};
use mulleinslip_membership::List;
use std::collections::VecDeque;
use std::fmt;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time limit for the body of a list once its head has been received.
const BODY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit for opening a connection to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Default maximum size of a list, enough for thousands of hosts.
pub const MAX_LIST_BYTES: usize = 1 << 20;
/// Minimum time between two full lists that are asked for at once because a list was older. Discovery may answer
/// with older and newer lists in turn.
const VERSION_RESET_INTERVAL: Duration = Duration::from_secs(10);

/// Rejects a list that is older than the current one: its hosts may have been removed since.
///
/// # Errors
///
/// Names both versions.
fn check_not_older(current: Option<u64>, list: &List) -> Result<(), FetchError> {
    match current.filter(|current| list.index < *current) {
        Some(current) => Err(FetchError::OlderList(format!(
            "list version {} is older than the current version {current}",
            list.index
        ))),
        None => Ok(()),
    }
}

/// Why a call for the list failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// No answer, or an unreadable one; the text says why.
    Failed(String),
    /// The list is older than the current one; the text has both versions.
    OlderList(String),
    /// The list is longer than the relay reads.
    TooLarge {
        /// Size of the list by its `Content-Length`, in bytes.
        size: u64,
        /// Maximum size that is read, in bytes.
        max_bytes: usize,
    },
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FetchError::Failed(why) | FetchError::OlderList(why) => f.write_str(why),
            FetchError::TooLarge { size, max_bytes } => {
                write!(f, "list of {size} bytes exceeds the maximum of {max_bytes} bytes (limits.memory_mb)")
            }
        }
    }
}

impl FetchError {
    fn kind(&self) -> FailureKind {
        match self {
            FetchError::Failed(_) => FailureKind::Unanswered,
            FetchError::OlderList(_) => FailureKind::OlderList,
            FetchError::TooLarge { .. } => FailureKind::TooLarge,
        }
    }
}

impl From<String> for FetchError {
    fn from(why: String) -> FetchError {
        FetchError::Failed(why)
    }
}

/// An answered call for the list.
struct Answer {
    body: Bytes,
    /// The connection, for the next call.
    conn: Conn,
}

/// A call for the list in flight.
type PendingCall = Pin<Box<dyn Future<Output = Result<Answer, FetchError>>>>;

/// Client of a discovery agent, with one persistent connection.
pub struct Discovery {
    address: SocketAddr,
    conn: Option<Conn>,
    poll_cost: PollCost,
    /// Maximum size of a list, in bytes.
    max_bytes: usize,
    /// Whether the last call was answered, so that the next watch continues it.
    is_watching: bool,
    /// Calls that took too long, the oldest first. Their answers are still accepted.
    overdue: VecDeque<PendingCall>,
}

/// Makes a call for the list, on the connection if there is one.
async fn call(
    address: SocketAddr, conn: Option<Conn>, path: String, max_bytes: usize,
) -> Result<Answer, FetchError> {
    let mut conn = match conn {
        Some(conn) => conn,
        None => Conn::open(address, CONNECT_TIMEOUT).await.map_err(|e| e.to_string())?,
    };
    let request = Request::get(path).header("Host", address.to_string()).body(bytes(""));
    let request = request.map_err(|e| e.to_string())?;
    let response = conn.exchange(request, BODY_TIMEOUT, BodyLimit::keep(max_bytes)).await;
    let response = response.map_err(|e| e.to_string())?;
    if response.status != StatusCode::OK {
        return Err(format!("HTTP status {}", response.status).into());
    }
    if let Some(size) = response.oversized_bytes {
        return Err(FetchError::TooLarge { size, max_bytes });
    }
    let body = response.body.ok_or_else(|| "the response body was not received in full".to_string())?;
    Ok(Answer { body, conn })
}

/// Waits for the first answer to an overdue call; forever if none comes. Drops calls that fail.
async fn late_answer(overdue: &mut VecDeque<PendingCall>) -> Answer {
    poll_fn(|cx| {
        let mut answered = None;
        overdue.retain_mut(|pending_call| match pending_call.as_mut().poll(cx) {
            _ if answered.is_some() => true,
            Poll::Pending => true,
            Poll::Ready(result) => {
                answered = result.ok();
                false
            }
        });
        answered.map_or(Poll::Pending, Poll::Ready)
    })
    .await
}

impl Discovery {
    /// Creates a client; the connection is opened by the first call.
    pub fn new(address: SocketAddr, poll_cost: PollCost) -> Discovery {
        let max_bytes = MAX_LIST_BYTES;
        Discovery { address, conn: None, poll_cost, max_bytes, is_watching: false, overdue: VecDeque::new() }
    }

    /// Sets the maximum size of a list, in bytes.
    pub fn with_max_list_bytes(self, max_bytes: usize) -> Discovery {
        Discovery { max_bytes, ..self }
    }

    /// Returns the delay of a starting process's first call, random where many relays may start at once, as
    /// in a release.
    pub fn start_delay(&self) -> Duration {
        self.poll_cost.start_delay(fastrand::f64())
    }

    /// Fetches the full list (`after` is `None`) or waits for changes newer than that version. Returns the
    /// answer to an earlier call that took too long if that arrives first.
    ///
    /// # Errors
    ///
    /// Says why there is no list. The call may go on, and the next one may return its answer.
    pub async fn fetch(&mut self, after: Option<u64>) -> Result<List, FetchError> {
        let list_call = match after {
            None => ListCall::Full,
            Some(_) if self.is_watching => ListCall::NextWatch,
            Some(_) => ListCall::FirstWatch,
        };
        self.is_watching = false;
        let wait_ms = self.poll_cost.watch_time(list_call).as_millis();
        let path = match after {
            None => "/catalog/members".to_string(),
            Some(index) => format!("/catalog/members?after={index}&wait_ms={wait_ms}"),
        };
        let conn = self.conn.take().filter(Conn::usable);
        let mut pending_call: PendingCall = Box::pin(call(self.address, conn, path, self.max_bytes));
        let answer = tokio::select! {
            biased;
            answer = &mut pending_call => answer,
            late = late_answer(&mut self.overdue) => Ok(late),
            () = tokio::time::sleep(self.poll_cost.time_limit(list_call)) => {
                self.overdue.push_back(pending_call);
                if self.overdue.len() > self.poll_cost.max_overdue_calls() {
                    self.overdue.pop_front();
                }
                Err(FetchError::Failed("no answer in time".into()))
            }
        };
        self.read(answer?)
    }

    /// Reads the list of an answer, and keeps its connection. What an earlier call would still bring is in the
    /// answer to the next one.
    fn read(&mut self, Answer { body, conn }: Answer) -> Result<List, FetchError> {
        self.overdue.clear();
        self.conn = Some(conn);
        let list = serde_json::from_slice(&body).map_err(|e| format!("malformed list: {e}"))?;
        self.is_watching = true;
        Ok(list)
    }

    /// Prepares to ask for the full list, after an answer with a list that is older than the current one: another
    /// agent may have taken the place of this one and begun its versions anew. Answers that may still come on the
    /// connections so far are not accepted.
    fn forget_connections(&mut self) {
        self.overdue.clear();
        (self.conn, self.is_watching) = (None, false);
    }

    /// Pauses after a failed call. Returns early with the answer to a call that took too long, and if the
    /// address of the agent changes.
    async fn pause(&mut self, pause: Duration, agent: &mut watch::Receiver<SocketAddr>) -> Option<List> {
        let late = tokio::select! {
            late = late_answer(&mut self.overdue) => late,
            _changed_or_closed = agent.changed() => return None,
            () = tokio::time::sleep(pause) => return None,
        };
        self.read(late).ok()
    }

    /// Passes each list and the address of its agent to `on_list` until that returns `false`. `index` is the
    /// version of the current list, if one was fetched already; `agent` holds the agent's address. A list
    /// that is malformed, incomplete or older than the current one changes nothing. After an older one, and where
    /// calls are free after any failure, the full list is asked for, which counts whatever its version is.
    pub async fn watch(
        mut self, mut index: Option<u64>, mut agent: watch::Receiver<SocketAddr>,
        on_list: impl Fn(SocketAddr, List) -> bool,
    ) {
        let (mut failures, mut late_list) = (0u32, None);
        let mut version_reset_at: Option<Instant> = None;
        loop {
            let address = *agent.borrow_and_update();
            if address != self.address {
                // The pending watch is dropped with its connection. Version counts of two agents may differ.
                self = Discovery::new(address, self.poll_cost).with_max_list_bytes(self.max_bytes);
                (index, failures, late_list, version_reset_at) = (None, 0, None, None);
            }
            let began = Instant::now();
            let fetched = match late_list.take() {
                Some(list) => Ok(list),
                None => tokio::select! {
                    biased;
                    Ok(()) = agent.changed() => continue,
                    fetched = self.fetch(index) => fetched,
                },
            };
            let checked = fetched.and_then(|list| check_not_older(index, &list).map(|()| list));
            match checked {
                Ok(list) => {
                    if failures > 0 {
                        eprintln!("mulleinslip: discovery answers again");
                    }
                    failures = 0;
                    index = Some(list.index);
                    if !on_list(self.address, list) {
                        return;
                    }
                }
                Err(e) => {
                    if failures == 0 {
                        eprintln!("mulleinslip: discovery: {e}; the current list stays in force");
                    }
                    let mut kind = e.kind();
                    if self.poll_cost.call_after_failure() == ListCall::Full {
                        index = None;
                    }
                    if kind == FailureKind::OlderList {
                        self.forget_connections();
                        index = None;
                        if version_reset_at.is_some_and(|at| at.elapsed() < VERSION_RESET_INTERVAL) {
                            kind = FailureKind::Unanswered;
                        }
                        version_reset_at = Some(Instant::now());
                    }
                    let pause = self.poll_cost.pause(failures, kind, began.elapsed(), fastrand::f64());
                    late_list = self.pause(pause, &mut agent).await;
                    failures = failures.saturating_add(1);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
