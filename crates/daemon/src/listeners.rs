//! The sockets on which the process listens. An address may still be in use for a moment when the process before
//! this one is gone: the system frees the lock of its folder first.

use crate::log::log;
use crate::process_control::ProcessControl;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Longest time to wait for the client address: as long as for a folder whose owner can't be asked.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two attempts to listen.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Listens on the address, once it is free.
///
/// # Errors
/// Any error of the system; `AddrInUse` if the address is still in use after `time_limit`.
async fn bind_once_free(address: SocketAddr, time_limit: Duration) -> io::Result<TcpListener> {
    let start = Instant::now();
    let mut is_logged = false;
    loop {
        match TcpListener::bind(address).await {
            Err(e) if e.kind() == ErrorKind::AddrInUse && start.elapsed() < time_limit => {}
            bound => return bound,
        }
        if !is_logged {
            log(&format!("{address} is in use; waiting for it"));
            is_logged = true;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Listens for clients, with the listener of the old process if that has the same address.
///
/// # Errors
/// Any error of the system; `AddrInUse` if the address is still in use after [`ADDRESS_TIMEOUT`].
pub async fn listen_for_clients(
    address: SocketAddr, inherited: Option<std::net::TcpListener>,
) -> io::Result<TcpListener> {
    if let Some(listener) = inherited {
        let bound_address = listener.local_addr()?;
        if bound_address == address || (address.port() == 0 && bound_address.ip() == address.ip()) {
            listener.set_nonblocking(true)?;
            return TcpListener::from_std(listener);
        }
    }
    bind_once_free(address, ADDRESS_TIMEOUT).await
}

/// Serves the second address; if it is in use, once it is free. Clients are served meanwhile.
///
/// # Errors
/// Any other error of the system.
pub async fn serve_control(
    name: String, address: SocketAddr, process_control: Rc<ProcessControl>,
) -> io::Result<()> {
    let first = TcpListener::bind(address).await;
    if let Err(e) = first.as_ref() {
        if e.kind() != ErrorKind::AddrInUse {
            return first.map(drop);
        }
    }
    spawn_local(async move {
        let bound = match first {
            Ok(listener) => Ok(listener),
            Err(_) => bind_once_free(address, Duration::MAX).await,
        };
        match bound.and_then(|listener| Ok((listener.local_addr()?, listener))) {
            Ok((bound_address, listener)) => {
                log(&format!("{name} control on {bound_address}"));
                mulleinslip_control::serve(listener, process_control).await;
            }
            Err(e) => log(&format!("control on {address}: {e}")),
        }
    });
    Ok(())
}
