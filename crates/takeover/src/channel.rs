//! Frames with descriptors over a Unix socket that keeps them apart (`SOCK_SEQPACKET`): a frame comes whole or not
//! at all, with the descriptor that belongs to it.

use crate::message::MAX_FRAME_BYTES;
use rustix::net::{
    self, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags, SocketType,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fs::File;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsRawFd, BorrowedFd, OwnedFd};
use std::path::Path;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};

const NAME: &str = "takeover";
/// A path in a socket's address has 107 bytes at most (unix(7)); a longer one goes by way of the open folder.
const MOST_PATH: usize = 107;
/// One new process at a time, and one more that will be told so.
const BACKLOG: i32 = 2;

/// The socket's address; the folder is held open as long as the address is used.
fn address(folder: &Path) -> io::Result<(SocketAddrUnix, File)> {
    let open = File::open(folder)?;
    let plain = folder.join(NAME);
    let short = plain.as_os_str().len() <= MOST_PATH;
    let path = if short { plain } else { format!("/proc/self/fd/{}/{NAME}", open.as_raw_fd()).into() };
    Ok((SocketAddrUnix::new(path)?, open))
}

fn socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// Where a new process asks. The folder must be this process's: an older socket is replaced.
pub struct TakeoverListener(UnixListener);

impl TakeoverListener {
    /// Opens it. On a runtime.
    ///
    /// # Errors
    /// What the sockets give.
    pub fn open(folder: &Path) -> io::Result<TakeoverListener> {
        match std::fs::remove_file(folder.join(NAME)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let (address, _folder) = address(folder)?;
        let socket = socket()?;
        net::bind(&socket, &address)?;
        net::listen(&socket, BACKLOG)?;
        Ok(TakeoverListener(UnixListener::from_std(std::os::unix::net::UnixListener::from(socket))?))
    }

    /// The next one that asks.
    ///
    /// # Errors
    /// What the sockets give.
    pub async fn accept(&self) -> io::Result<Channel> {
        self.0.accept().await.map(|(socket, _)| Channel(socket))
    }
}

/// Between the two processes.
pub struct Channel(UnixStream);

impl Channel {
    /// To the process that has the folder. On a runtime.
    ///
    /// # Errors
    /// What the sockets give; `NotFound` or `ConnectionRefused` if nobody can be asked.
    pub fn connect(folder: &Path) -> io::Result<Channel> {
        let (address, _folder) = address(folder)?;
        let socket = socket()?;
        // Connecting a Unix socket takes no time: the other side's queue has room or it has not.
        net::connect(&socket, &address)?;
        Ok(Channel(UnixStream::from_std(std::os::unix::net::UnixStream::from(socket))?))
    }

    /// Sends a frame, and a descriptor along with it.
    ///
    /// # Errors
    /// What the socket gives; the other process is gone.
    pub async fn send(&self, frame: &impl Serialize, with: Option<BorrowedFd<'_>>) -> io::Result<()> {
        let bytes = postcard::to_stdvec(frame).map_err(io::Error::other)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(io::Error::other("a frame is too long"));
        }
        let send = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let fds: Vec<BorrowedFd> = with.into_iter().collect();
            if !fds.is_empty() {
                control.push(SendAncillaryMessage::ScmRights(&fds));
            }
            let sent = net::sendmsg(&self.0, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL)?;
            Ok(sent)
        };
        self.0.async_io(Interest::WRITABLE, send).await.map(drop)
    }

    /// The next frame, with its descriptor. `None` once the other process is gone.
    ///
    /// # Errors
    /// What the socket gives, and a frame that can't be read.
    pub async fn receive<T: DeserializeOwned>(&self) -> io::Result<Option<(T, Option<OwnedFd>)>> {
        let mut bytes = vec![0; MAX_FRAME_BYTES];
        let receive = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut into = [IoSliceMut::new(&mut bytes)];
            let read = net::recvmsg(&self.0, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let mut with = None;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(mut fds) = message {
                    with = fds.next();
                }
            }
            Ok((read.bytes, with))
        };
        let received = match self.0.async_io(Interest::READABLE, receive).await {
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => return Ok(None),
            other => other?,
        };
        let (count, with) = received;
        if count == 0 {
            return Ok(None);
        }
        let frame = postcard::from_bytes(bytes.get(..count).unwrap_or_default());
        Ok(Some((frame.map_err(io::Error::other)?, with)))
    }
}
