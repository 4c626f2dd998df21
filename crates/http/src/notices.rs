//! Notices to the platform about accepted messages that were not delivered. Each notice is sent at once and
//! repeated until it is answered, to the platform's current address; a notice for a message that is already
//! finished does no harm.

use crate::audit::{self, Step};
use crate::conn::{backoff, bytes, BodyLimit, Conn};
use crate::handle::Handle;
use hyper::{Request, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::timeout;

/// Time limit for connecting, and for the answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// First and longest pause between failed requests.
const RETRY_MS: (u64, u64) = (20, 500);
/// Maximum number of notices (lines) in one request.
const MAX_LINES_PER_REQUEST: usize = 200;

/// A notice that an accepted message was not delivered.
pub struct Notice {
    /// The engine's id of the message.
    pub id: u64,
    /// The client's id of the message.
    pub call_id: String,
    /// `None` for an undeliverable message; `Some` for a deferred one, with the time after which to hand it
    /// in again if that is known, in milliseconds.
    pub deferred: Option<Option<f64>>,
}

impl Notice {
    /// Returns the notice as a line of JSON.
    fn line(&self) -> String {
        let line = match self.deferred {
            None => json!({"id": self.call_id, "status": "undeliverable"}),
            Some(None) => json!({"id": self.call_id, "status": "deferred"}),
            Some(Some(ms)) => json!({"id": self.call_id, "status": "deferred", "again_ms": ms.ceil() as u64}),
        };
        format!("{line}\n")
    }
}

/// Sends one request with notices, on a connection of its own: on a used one, a second copy of an earlier answer
/// could pass for the confirmation.
async fn post(target: SocketAddr, body: String) -> Result<StatusCode, String> {
    let mut conn = Conn::open(target, REQUEST_TIMEOUT).await.map_err(|e| e.to_string())?;
    let request = Request::post("/v1/outcomes").header("Host", target.to_string()).body(bytes(body));
    let request = request.map_err(|e| e.to_string())?;
    let answer = timeout(REQUEST_TIMEOUT, conn.exchange(request, REQUEST_TIMEOUT, BodyLimit::DISCARD)).await;
    let answer = answer.map_err(|_| "no answer in time".to_string())?.map_err(|e| e.to_string())?;
    Ok(answer.status)
}

/// Sends the notices that arrive on `inbox` until the queue or the engine is closed.
pub async fn run(
    mut agent: watch::Receiver<SocketAddr>, mut inbox: UnboundedReceiver<Notice>, engine: Handle,
) {
    let mut target = *agent.borrow_and_update();
    let mut pending: Vec<Notice> = Vec::new();
    // After a 400, notices are sent one by one, so that a malformed one doesn't hold up the others.
    let mut max_lines = MAX_LINES_PER_REQUEST;
    let mut failures = 0u32;
    loop {
        if pending.is_empty() {
            match inbox.recv().await {
                Some(notice) => pending.push(notice),
                None => return,
            }
        }
        while let Ok(notice) = inbox.try_recv() {
            pending.push(notice);
        }
        let address = *agent.borrow_and_update();
        if address != target {
            // Notices that are not confirmed yet go to the new address.
            (target, failures) = (address, 0);
        }
        let count = pending.len().min(max_lines);
        let body: String = pending[..count].iter().map(Notice::line).collect();
        let posted = tokio::select! {
            biased;
            Ok(()) = agent.changed() => continue,
            posted = post(target, body) => posted,
        };
        match posted {
            Ok(StatusCode::BAD_REQUEST) if count > 1 => max_lines = 1,
            Ok(status) if status == StatusCode::NO_CONTENT || status == StatusCode::BAD_REQUEST => {
                if status == StatusCode::BAD_REQUEST {
                    eprintln!(
                        "mulleinslip: notices: the platform rejected a notice as malformed: {}",
                        pending[0].line().trim_end()
                    );
                }
                for notice in &pending[..count] {
                    audit::log_step(&notice.call_id, || Step::Notified { status: status.as_u16() });
                }
                let confirmed = pending.drain(..count).map(|n| n.id).collect();
                if !engine.confirm(confirmed) {
                    return;
                }
                (max_lines, failures) =
                    (if pending.is_empty() { MAX_LINES_PER_REQUEST } else { max_lines }, 0);
            }
            failure => {
                if failures == 0 {
                    let why = failure.map_or_else(|e| e, |status| format!("HTTP status {status}"));
                    eprintln!("mulleinslip: notices: {why}; retrying");
                }
                let _address_changed_or_not = timeout(backoff(failures, RETRY_MS), agent.changed()).await;
                failures = failures.saturating_add(1);
            }
        }
    }
}
