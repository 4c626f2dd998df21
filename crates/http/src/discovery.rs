//! The list of hosts: fetched once, then watched without a gap. On a failure the list held stays in force. The
//! agent may move: from then on the new one is asked, and first for the whole list.

use crate::conn::{bytes, Conn};
use crate::schedule::Calls;
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
pub const MOST_LIST: usize = 1 << 20;
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
pub enum Unheard {
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

impl fmt::Display for Unheard {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unheard::Failed(why) => f.write_str(why),
            Unheard::TooLarge { size, most } => {
                write!(f, "a list of {size} bytes; {most} are read at most, by limits.memory_mb")
            }
        }
    }
}

impl From<String> for Unheard {
    fn from(why: String) -> Unheard {
        Unheard::Failed(why)
    }
}

/// Discovery's agent, over one connection that is kept.
pub struct Discovery {
    address: SocketAddr,
    conn: Option<Conn>,
    calls: Calls,
    /// How far a list is read, in bytes.
    most: usize,
}

impl Discovery {
    /// An agent that was not asked yet.
    pub fn new(address: SocketAddr, calls: Calls) -> Discovery {
        Discovery { address, conn: None, calls, most: MOST_LIST }
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
        (self.calls == Calls::Dear).then_some(known)
    }

    /// The whole list (`after` is `None`), or what is newer than that version.
    pub async fn ask(&mut self, after: Option<u64>) -> Result<List, Unheard> {
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
            return Err(Unheard::TooLarge { size, most: self.most });
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
                    Err(Unheard::Failed(e))
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
                    let too_large = matches!(e, Unheard::TooLarge { .. });
                    let pause = self.calls.pause(failures, too_large, fastrand::f64());
                    let _moved_or_not = timeout(pause, place.changed()).await;
                    failures = failures.saturating_add(1);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};
    use std::sync::{Arc, Mutex};

    fn list(index: u64, snapshot: bool) -> String {
        let host = r#"{"name":"a","address":"127.0.0.1:9","group":1,"status":"active"}"#;
        format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{host}]}}"#)
    }

    /// What a relay was told by an agent that gives these bodies, `None` a body that breaks off, and what it
    /// was asked for.
    fn told(bodies: Vec<Option<String>>) -> (Vec<u64>, Vec<String>) {
        let agent = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = agent.local_addr().unwrap();
        let (done, is_done) = tokio::sync::oneshot::channel();
        let serves = std::thread::spawn(move || {
            let (mut asked, mut kept) = (Vec::new(), None::<TcpStream>);
            for body in bodies {
                let mut conn = kept.take().unwrap_or_else(|| agent.accept().unwrap().0);
                let mut head = vec![0; 4096];
                let n = conn.read(&mut head).unwrap();
                asked.push(String::from_utf8_lossy(&head[..n]).lines().next().unwrap_or("").to_string());
                let whole = body.clone().unwrap_or_else(|| list(9, true));
                let sent = if body.is_some() { whole.len() } else { whole.len() / 2 };
                let length = whole.len();
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{}", &whole[..sent]);
                conn.write_all(answer.as_bytes()).unwrap();
                kept = body.is_some().then_some(conn);
            }
            // One more call shows that the last answer was read.
            let mut last = kept.unwrap_or_else(|| agent.accept().unwrap().0);
            assert!(last.read(&mut [0; 4096]).unwrap() > 0);
            done.send(()).unwrap();
            asked
        });
        let got = Arc::new(Mutex::new(Vec::new()));
        let hears = got.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let (_place, place) = watch::channel(address);
            let watcher = Discovery::new(address, Calls::Free).watch(None, place, move |_, list| {
                hears.lock().unwrap().push(list.index);
                true
            });
            tokio::select! {
                done = timeout(Duration::from_secs(30), is_done) => {
                    done.expect("the agent is asked again and again").unwrap();
                }
                () = watcher => panic!("the watch ended"),
            }
        });
        let got = got.lock().unwrap().clone();
        (got, serves.join().unwrap())
    }

    #[test]
    fn lists_that_are_malformed_cut_off_or_older_change_nothing_and_are_asked_for_again() {
        let noise = Some("{\"index\":9,\"endpoints\":[{]}".to_string());
        let (got, asked) = told(vec![
            Some(list(5, true)),
            noise,
            None,
            Some(list(3, false)),
            Some(list(4, true)),
            Some(list(6, false)),
        ]);
        assert_eq!(got, [5, 6]);
        assert!(asked[0].starts_with("GET /catalog/members "), "{asked:?}");
        assert!(asked[1..].iter().all(|line| line.contains("after=5&")), "from the version held: {asked:?}");
    }

    /// It stays so for long: the error names size and bound, and it is not asked for without a pause.
    #[test]
    fn a_list_that_is_too_long_is_named_so_and_asked_for_seldom() {
        let agent = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = agent.local_addr().unwrap();
        let asked = Arc::new(Mutex::new(0));
        let counts = asked.clone();
        std::thread::spawn(move || {
            for mut conn in agent.incoming().flatten() {
                let _head = conn.read(&mut [0; 4096]);
                *counts.lock().unwrap() += 1;
                let list = " ".repeat(5000);
                let _unread = conn
                    .write_all(format!("HTTP/1.1 200 x\r\nContent-Length: 5000\r\n\r\n{list}").as_bytes());
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let mut discovery = Discovery::new(address, Calls::Free).reads(4999);
            let told = discovery.ask(None).await.expect_err("too long");
            assert_eq!(told, Unheard::TooLarge { size: 5000, most: 4999 });
            let words = "a list of 5000 bytes; 4999 are read at most, by limits.memory_mb";
            assert_eq!(told.to_string(), words);
            let (_place, place) = watch::channel(address);
            let watching = Discovery::new(address, Calls::Free).reads(4999).watch(None, place, |_, _| true);
            let _goes_on = timeout(Duration::from_millis(1500), watching).await;
        });
        assert_eq!(
            *asked.lock().unwrap(),
            2,
            "once by each; with the pauses of other failures it were ten times"
        );
    }

    #[test]
    fn a_discovery_that_counts_anew_is_believed_after_three_answers() {
        let older = || Some(list(1, true));
        let (got, asked) = told(vec![Some(list(50, true)), older(), older(), older(), Some(list(2, true))]);
        assert_eq!(got, [50, 2]);
        assert!(asked[4].starts_with("GET /catalog/members "), "the whole list then: {asked:?}");
    }
}
