//! The list of hosts: fetched once, then watched without a gap. On a failure the list held stays in force. The
//! agent may move: from then on the new one is asked, and first for the whole list.

use crate::conn::{bytes, Conn};
use crate::schedule::PollCost;
use hyper::{Request, StatusCode};
use mulleinslip_membership::List;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// How long the body of a list may take once its head has come.
const BODY: Duration = Duration::from_millis(1000);
const CONNECT: Duration = Duration::from_millis(1000);
/// A list is read this far where nothing else is said, in bytes: thousands of hosts.
pub const MAX_LIST_BYTES: usize = 1 << 20;
/// So many answers in a row that are older than the list held mean that discovery began its count anew.
const OLDER_IN_A_ROW: u32 = 3;

/// An answer whose version lies before the one held tells what was true once, and is not taken: its hosts may be gone.
///
/// # Errors
/// Names both versions.
fn not_older(held: Option<u64>, list: &List) -> Result<(), String> {
    match held.filter(|held| list.index < *held) {
        Some(held) => {
            Err(format!("a list of version {}, older than version {held} that is held", list.index))
        }
        None => Ok(()),
    }
}

/// Why a call for the list told nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// No answer, or none that can be read, in words.
    Failed(String),
    /// The list is longer than what is read.
    TooLarge {
        /// In bytes, as its head says.
        size: u64,
        /// What is read, in bytes.
        most: usize,
    },
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FetchError::Failed(why) => f.write_str(why),
            FetchError::TooLarge { size, most } => {
                write!(f, "a list of {size} bytes; {most} are read at most, by limits.memory_mb")
            }
        }
    }
}

impl From<String> for FetchError {
    fn from(why: String) -> FetchError {
        FetchError::Failed(why)
    }
}

/// Discovery's agent, over one connection that is kept.
pub struct Discovery {
    address: SocketAddr,
    conn: Option<Conn>,
    calls: PollCost,
    /// How far a list is read, in bytes.
    most: usize,
}

impl Discovery {
    /// An agent that was not asked yet.
    pub fn new(address: SocketAddr, calls: PollCost) -> Discovery {
        Discovery { address, conn: None, calls, most: MAX_LIST_BYTES }
    }

    /// Reads lists up to so many bytes.
    pub fn reads(self, most: usize) -> Discovery {
        Discovery { most, ..self }
    }

    /// How long a process that starts waits with its first call: many relays may start at once, as in a release.
    pub fn spread(&self) -> Duration {
        self.calls.spread(fastrand::f64())
    }

    /// The version to ask from at a start that knows a list of this one. A whole list and then a watch are two calls: among
    /// many relays the watch has to do, which tells what was missed. An older answer to that first call is believed: the list
    /// known may come from another agent, whose versions need not agree with this one's.
    pub fn start_after(&self, known: u64) -> Option<u64> {
        (self.calls == PollCost::Costly).then_some(known)
    }

    /// The whole list (`after` is `None`), or what is newer than that version.
    pub async fn ask(&mut self, after: Option<u64>) -> Result<List, FetchError> {
        let path = match after {
            None => "/catalog/members".to_string(),
            Some(index) => {
                format!("/catalog/members?after={index}&wait_ms={}", self.calls.watch().as_millis())
            }
        };
        let within = self.calls.patience() + after.map_or(Duration::ZERO, |_| self.calls.watch());
        let mut conn = match self.conn.take().filter(Conn::usable) {
            Some(conn) => conn,
            None => Conn::open(self.address, CONNECT).await.map_err(|e| e.to_string())?,
        };
        let request = Request::get(path).header("Host", self.address.to_string()).body(bytes(""));
        let request = request.map_err(|e| e.to_string())?;
        let answer = tokio::time::timeout(within, conn.exchange(request, BODY, self.most))
            .await
            .map_err(|_| "no answer in time".to_string())?
            .map_err(|e| e.to_string())?;
        if answer.status != StatusCode::OK {
            return Err(format!("answer {}", answer.status).into());
        }
        if let Some(size) = answer.too_long {
            return Err(FetchError::TooLarge { size, most: self.most });
        }
        let body = answer.body.ok_or_else(|| "the answer broke off".to_string())?;
        self.conn = Some(conn);
        serde_json::from_slice(&body).map_err(|e| format!("a list that can't be read: {e}").into())
    }

    /// Tells all news, and which agent told it, until `news` gives `false`. `index` is the version held, if a list was
    /// fetched already; `place` is where the agent is. A list that can't be read, broke off or is older than the one held changes nothing.
    pub async fn watch(
        mut self, mut index: Option<u64>, mut place: watch::Receiver<SocketAddr>,
        news: impl Fn(SocketAddr, List) -> bool,
    ) {
        let (mut failures, mut older) = (0u32, 0u32);
        loop {
            let address = *place.borrow_and_update();
            if address != self.address {
                // A watch in flight went with its connection. The versions of two agents need not agree.
                self = Discovery::new(address, self.calls).reads(self.most);
                (index, failures, older) = (None, 0, 0);
            }
            let asked = tokio::select! {
                biased;
                Ok(()) = place.changed() => continue,
                asked = self.ask(index) => asked,
            };
            let fit = asked.and_then(|list| match not_older(index, &list) {
                Ok(()) => Ok(list),
                Err(e) => {
                    older += 1;
                    Err(FetchError::Failed(e))
                }
            });
            if older >= OLDER_IN_A_ROW {
                index = None;
            }
            match fit {
                Ok(list) => {
                    older = 0;
                    if failures > 0 {
                        eprintln!("mulleinslip: discovery is back");
                    }
                    failures = 0;
                    index = Some(list.index);
                    if !news(self.address, list) {
                        return;
                    }
                }
                Err(e) => {
                    if failures == 0 {
                        eprintln!("mulleinslip: discovery: {e}; the list held stays in force");
                    }
                    let too_large = matches!(e, FetchError::TooLarge { .. });
                    let pause = self.calls.pause(failures, too_large, fastrand::f64());
                    let _moved_or_not = timeout(pause, place.changed()).await;
                    failures = failures.saturating_add(1);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
