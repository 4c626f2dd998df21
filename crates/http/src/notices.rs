//! Notices to the platform: how a message ended that was taken on and not delivered. Each is sent at once and
//! again until it is answered 204, to where the platform is now; one for a message that is over does no harm.

use crate::audit::{self, Step};
use crate::conn::{backoff, bytes, Conn, SMALL};
use crate::handle::Handle;
use hyper::{Request, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::timeout;

const WITHIN: Duration = Duration::from_millis(500);
const RETRY_MS: (u64, u64) = (20, 500);
/// Lines in one request.
const MOST: usize = 200;

/// How a message ended that was taken on and not delivered.
pub struct Notice {
    /// The engine's number for it.
    pub id: u64,
    /// The client's id for it.
    pub call_id: String,
    /// Whether it is deferred, and then when to come again if that is told; else it is undeliverable.
    pub deferred: Option<Option<f64>>,
}

impl Notice {
    fn line(&self) -> String {
        let line = match self.deferred {
            None => json!({"id": self.call_id, "status": "undeliverable"}),
            Some(None) => json!({"id": self.call_id, "status": "deferred"}),
            Some(Some(ms)) => json!({"id": self.call_id, "status": "deferred", "again_ms": ms.ceil() as u64}),
        };
        format!("{line}\n")
    }
}

async fn post(conn: &mut Option<Conn>, to: SocketAddr, body: String) -> Result<StatusCode, String> {
    let mut used = match conn.take().filter(Conn::usable) {
        Some(conn) => conn,
        None => Conn::open(to, WITHIN).await.map_err(|e| e.to_string())?,
    };
    let request = Request::post("/v1/outcomes").header("Host", to.to_string()).body(bytes(body));
    let request = request.map_err(|e| e.to_string())?;
    let answer = timeout(WITHIN, used.exchange(request, WITHIN, SMALL)).await;
    let answer = answer.map_err(|_| "no answer in time".to_string())?.map_err(|e| e.to_string())?;
    *conn = Some(used);
    Ok(answer.status)
}

/// Sends what comes in, for good.
pub async fn run(
    mut place: watch::Receiver<SocketAddr>, mut inbox: UnboundedReceiver<Notice>, engine: Handle,
) {
    let mut to = *place.borrow_and_update();
    let mut conn = None;
    let mut waiting: Vec<Notice> = Vec::new();
    // After a 400 the notices go one by one, so that one that can't be read holds up no other.
    let mut most = MOST;
    let mut failures = 0u32;
    loop {
        if waiting.is_empty() {
            match inbox.recv().await {
                Some(notice) => waiting.push(notice),
                None => return,
            }
        }
        while let Ok(notice) = inbox.try_recv() {
            waiting.push(notice);
        }
        let address = *place.borrow_and_update();
        if address != to {
            // What is not confirmed is owed there.
            (to, conn, failures) = (address, None, 0);
        }
        let count = waiting.len().min(most);
        let body: String = waiting[..count].iter().map(Notice::line).collect();
        let posted = tokio::select! {
            biased;
            Ok(()) = place.changed() => continue,
            posted = post(&mut conn, to, body) => posted,
        };
        match posted {
            Ok(StatusCode::BAD_REQUEST) if count > 1 => most = 1,
            Ok(status) if status == StatusCode::NO_CONTENT || status == StatusCode::BAD_REQUEST => {
                if status == StatusCode::BAD_REQUEST {
                    eprintln!("mulleinslip: a notice can't be read there: {}", waiting[0].line().trim_end());
                }
                for notice in &waiting[..count] {
                    audit::note(&notice.call_id, || Step::Notified { status: status.as_u16() });
                }
                let over = waiting.drain(..count).map(|n| n.id).collect();
                if !engine.confirm(over) {
                    return;
                }
                (most, failures) = (if waiting.is_empty() { MOST } else { most }, 0);
            }
            other => {
                if failures == 0 {
                    let why = other.map_or_else(|e| e, |status| format!("answer {status}"));
                    eprintln!("mulleinslip: notices: {why}; they are sent again");
                }
                let _moved_or_not = timeout(backoff(failures, RETRY_MS), place.changed()).await;
                failures = failures.saturating_add(1);
            }
        }
    }
}
