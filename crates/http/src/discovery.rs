//! The list of hosts: fetched once, then watched without a gap. On a failure the list held stays in force. The
//! agent may move: from then on the new one is asked, and first for the whole list.

use crate::conn::{backoff, bytes, Conn};
use crate::list::List;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// How long one watch may wait. Short, as an agent that has fallen silent shows only when this is over.
const WATCH: Duration = Duration::from_millis(5000);
const GRACE: Duration = Duration::from_millis(1000);
const CONNECT: Duration = Duration::from_millis(1000);
/// A list is read this far: thousands of hosts.
const MOST_LIST: usize = 1 << 20;
const RETRY_MS: (u64, u64) = (50, 1000);
/// From so many relays on, calls for the list are dear: discovery takes one from each in some 2 to 8 s and turns away what it
/// could not answer within its time-outs. What is asked again before it was answered keeps all the others waiting.
const CROWD: usize = 8;
/// Then a call is waited for this long, and comes again after these times.
const CROWD_GRACE: Duration = Duration::from_millis(6000);
const CROWD_SPREAD_MS: u64 = 4000;
const CROWD_RETRY_MS: (u64, u64) = (2000, 16000);

/// Discovery's agent, over one connection that is kept.
pub struct Discovery {
    address: SocketAddr,
    conn: Option<Conn>,
    relays: usize,
}

impl Discovery {
    /// An agent that was not asked yet, one of as many as there are relays.
    pub fn new(address: SocketAddr, relays: usize) -> Discovery {
        Discovery { address, conn: None, relays }
    }

    /// How long a process that starts waits with its first call: many relays may start at once, as in a release.
    pub fn spread(&self) -> Duration {
        let most = if self.relays >= CROWD { CROWD_SPREAD_MS } else { 0 };
        Duration::from_millis(fastrand::u64(0..=most))
    }

    /// The version to ask from at a start that knows a list of this one. A whole list and then a watch are two calls: among
    /// many relays the watch has to do, which tells what was missed.
    pub fn start_after(&self, known: u64) -> Option<u64> {
        (self.relays >= CROWD).then_some(known)
    }

    /// The whole list (`after` is `None`), or what is newer than that version.
    pub async fn ask(&mut self, after: Option<u64>) -> Result<List, String> {
        let path = match after {
            None => "/catalog/members".to_string(),
            Some(index) => format!("/catalog/members?after={index}&wait_ms={}", WATCH.as_millis()),
        };
        let patience = if self.relays >= CROWD { CROWD_GRACE } else { GRACE };
        let within = patience + after.map_or(Duration::ZERO, |_| WATCH);
        let mut conn = match self.conn.take().filter(Conn::usable) {
            Some(conn) => conn,
            None => Conn::open(self.address, CONNECT).await.map_err(|e| e.to_string())?,
        };
        let request = Request::get(path).header("Host", self.address.to_string()).body(bytes(""));
        let request = request.map_err(|e| e.to_string())?;
        let answer = tokio::time::timeout(within, conn.exchange(request, GRACE, MOST_LIST))
            .await
            .map_err(|_| "no answer in time".to_string())?
            .map_err(|e| e.to_string())?;
        if answer.status != StatusCode::OK {
            return Err(format!("answer {}", answer.status));
        }
        let body = answer.body.ok_or("the answer broke off")?;
        self.conn = Some(conn);
        serde_json::from_slice(&body).map_err(|e| format!("a list that can't be read: {e}"))
    }

    /// Tells all news until `news` gives `false`. `index` is the version held, if a list was fetched already;
    /// `place` is where the agent is.
    pub async fn watch(
        mut self, mut index: Option<u64>, mut place: watch::Receiver<SocketAddr>, news: impl Fn(List) -> bool,
    ) {
        let mut failures = 0u32;
        loop {
            let address = *place.borrow_and_update();
            if address != self.address {
                // A watch in flight went with its connection. The versions of two agents need not agree.
                self = Discovery::new(address, self.relays);
                (index, failures) = (None, 0);
            }
            let asked = tokio::select! {
                biased;
                Ok(()) = place.changed() => continue,
                asked = self.ask(index) => asked,
            };
            match asked {
                Ok(list) => {
                    if failures > 0 {
                        eprintln!("mulleinslip: discovery is back");
                    }
                    failures = 0;
                    index = Some(list.index);
                    if !news(list) {
                        return;
                    }
                }
                Err(e) => {
                    if failures == 0 {
                        eprintln!("mulleinslip: discovery: {e}; the list held stays in force");
                    }
                    let pause = if self.relays >= CROWD { CROWD_RETRY_MS } else { RETRY_MS };
                    let _moved_or_not = timeout(backoff(failures, pause), place.changed()).await;
                    failures = failures.saturating_add(1);
                }
            }
        }
    }
}
