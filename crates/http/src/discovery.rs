//! Client of the discovery agent: fetches the list of hosts, then watches it for changes without a gap. After
//! a failure the current list stays in force. If the agent's address changes, the new agent is asked for the
//! full list first.

use crate::conn::{bytes, Conn};
use crate::schedule::PollCost;
use hyper::{Request, StatusCode};
use mulleinslip_membership::List;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// Time limit for the body of a list once its head has been received.
const BODY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit for opening a connection to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Default maximum size of a list, enough for thousands of hosts.
pub const MAX_LIST_BYTES: usize = 1 << 20;
/// Number of lists older than the current one, without a newer one between them, that show that discovery has
/// restarted its version count.
const MAX_OLDER_LISTS: u32 = 3;

/// Rejects a list that is older than the current one: its hosts may have been removed since.
///
/// # Errors
///
/// Names both versions.
fn check_not_older(current: Option<u64>, list: &List) -> Result<(), String> {
    match current.filter(|current| list.index < *current) {
        Some(current) => {
            Err(format!("list version {} is older than the current version {current}", list.index))
        }
        None => Ok(()),
    }
}

/// Why a call for the list failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// No answer, or an unreadable one; the text says why.
    Failed(String),
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
            FetchError::Failed(why) => f.write_str(why),
            FetchError::TooLarge { size, max_bytes } => {
                write!(f, "list of {size} bytes exceeds the maximum of {max_bytes} bytes (limits.memory_mb)")
            }
        }
    }
}

impl From<String> for FetchError {
    fn from(why: String) -> FetchError {
        FetchError::Failed(why)
    }
}

/// Client of a discovery agent, with one persistent connection.
pub struct Discovery {
    address: SocketAddr,
    conn: Option<Conn>,
    poll_cost: PollCost,
    /// Maximum size of a list, in bytes.
    max_bytes: usize,
}

impl Discovery {
    /// Creates a client; the connection is opened by the first call.
    pub fn new(address: SocketAddr, poll_cost: PollCost) -> Discovery {
        Discovery { address, conn: None, poll_cost, max_bytes: MAX_LIST_BYTES }
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

    /// Fetches the full list (`after` is `None`) or waits for changes newer than that version.
    pub async fn fetch(&mut self, after: Option<u64>) -> Result<List, FetchError> {
        let path = match after {
            None => "/catalog/members".to_string(),
            Some(index) => {
                format!("/catalog/members?after={index}&wait_ms={}", self.poll_cost.watch_time().as_millis())
            }
        };
        let time_limit =
            self.poll_cost.answer_timeout() + after.map_or(Duration::ZERO, |_| self.poll_cost.watch_time());
        let mut conn = match self.conn.take().filter(Conn::usable) {
            Some(conn) => conn,
            None => Conn::open(self.address, CONNECT_TIMEOUT).await.map_err(|e| e.to_string())?,
        };
        let request = Request::get(path).header("Host", self.address.to_string()).body(bytes(""));
        let request = request.map_err(|e| e.to_string())?;
        let response = tokio::time::timeout(time_limit, conn.exchange(request, BODY_TIMEOUT, self.max_bytes))
            .await
            .map_err(|_| "no answer in time".to_string())?
            .map_err(|e| e.to_string())?;
        if response.status != StatusCode::OK {
            return Err(format!("HTTP status {}", response.status).into());
        }
        if let Some(size) = response.oversized_bytes {
            return Err(FetchError::TooLarge { size, max_bytes: self.max_bytes });
        }
        let body = response.body.ok_or_else(|| "the response body was not received in full".to_string())?;
        self.conn = Some(conn);
        serde_json::from_slice(&body).map_err(|e| format!("malformed list: {e}").into())
    }

    /// Passes each list and the address of its agent to `on_list` until that returns `false`. `index` is the
    /// version of the current list, if one was fetched already; `agent` holds the agent's address. A list
    /// that is malformed, incomplete or older than the current one changes nothing.
    pub async fn watch(
        mut self, mut index: Option<u64>, mut agent: watch::Receiver<SocketAddr>,
        on_list: impl Fn(SocketAddr, List) -> bool,
    ) {
        let (mut failures, mut older_lists) = (0u32, 0u32);
        loop {
            let address = *agent.borrow_and_update();
            if address != self.address {
                // The pending watch is dropped with its connection. Version counts of two agents may differ.
                self = Discovery::new(address, self.poll_cost).with_max_list_bytes(self.max_bytes);
                (index, failures, older_lists) = (None, 0, 0);
            }
            let fetched = tokio::select! {
                biased;
                Ok(()) = agent.changed() => continue,
                fetched = self.fetch(index) => fetched,
            };
            let checked = fetched.and_then(|list| match check_not_older(index, &list) {
                Ok(()) => Ok(list),
                Err(e) => {
                    older_lists += 1;
                    Err(FetchError::Failed(e))
                }
            });
            if older_lists >= MAX_OLDER_LISTS {
                index = None;
            }
            match checked {
                Ok(list) => {
                    older_lists = 0;
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
                    let too_large = matches!(e, FetchError::TooLarge { .. });
                    let pause = self.poll_cost.pause(failures, too_large, fastrand::f64());
                    let _agent_changed_or_not = timeout(pause, agent.changed()).await;
                    failures = failures.saturating_add(1);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
