//! Transports frames and descriptors over a Unix socket that preserves message boundaries (`SOCK_SEQPACKET`):
//! a frame arrives complete or not at all, together with its descriptor.

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

/// Name of the socket in the state folder.
const SOCKET_NAME: &str = "takeover";
/// Maximum length of the path in a Unix socket's address (unix(7)). For a longer one the open folder's path
/// in /proc is used.
const MAX_PATH_BYTES: usize = 107;
/// One new process at a time is served; one more may queue.
const BACKLOG: i32 = 2;

/// Returns the socket's address and the open folder, which has to stay open as long as the address is used.
fn address(folder: &Path) -> io::Result<(SocketAddrUnix, File)> {
    let folder_file = File::open(folder)?;
    let full_path = folder.join(SOCKET_NAME);
    let fits = full_path.as_os_str().len() <= MAX_PATH_BYTES;
    let path = if fits {
        full_path
    } else {
        format!("/proc/self/fd/{}/{SOCKET_NAME}", folder_file.as_raw_fd()).into()
    };
    Ok((SocketAddrUnix::new(path)?, folder_file))
}

fn socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// The socket to which a new process connects. This process must own the folder: an existing socket in it is
/// replaced.
pub struct TakeoverListener(UnixListener);

impl TakeoverListener {
    /// Opens the socket. Must be called within a Tokio runtime.
    ///
    /// # Errors
    /// Returns errors of the file system and of the socket.
    pub fn open(folder: &Path) -> io::Result<TakeoverListener> {
        match std::fs::remove_file(folder.join(SOCKET_NAME)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let (address, _folder) = address(folder)?;
        let socket = socket()?;
        net::bind(&socket, &address)?;
        net::listen(&socket, BACKLOG)?;
        Ok(TakeoverListener(UnixListener::from_std(std::os::unix::net::UnixListener::from(socket))?))
    }

    /// Waits for the next process that connects.
    ///
    /// # Errors
    /// Returns errors of the socket.
    pub async fn accept(&self) -> io::Result<Channel> {
        self.0.accept().await.map(|(socket, _)| Channel(socket))
    }
}

/// A connection between the two processes.
pub struct Channel(UnixStream);

impl Channel {
    /// Connects to the process that owns the folder. Must be called within a Tokio runtime.
    ///
    /// # Errors
    /// Returns errors of the socket; `NotFound` or `ConnectionRefused` if no process listens.
    pub fn connect(folder: &Path) -> io::Result<Channel> {
        let (address, _folder) = address(folder)?;
        let socket = socket()?;
        // Connecting a Unix socket does not block: it fails at once if the other side's backlog is full.
        net::connect(&socket, &address)?;
        Ok(Channel(UnixStream::from_std(std::os::unix::net::UnixStream::from(socket))?))
    }

    /// Sends a frame, with a descriptor if there is one.
    ///
    /// # Errors
    /// Returns errors of the socket, for instance if the other process has exited, and an error for a frame that is too long.
    pub async fn send(&self, frame: &impl Serialize, descriptor: Option<BorrowedFd<'_>>) -> io::Result<()> {
        let bytes = postcard::to_stdvec(frame).map_err(io::Error::other)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(io::Error::other("frame exceeds the maximum length of 160 KiB"));
        }
        let send = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let fds: Vec<BorrowedFd> = descriptor.into_iter().collect();
            if !fds.is_empty() {
                control.push(SendAncillaryMessage::ScmRights(&fds));
            }
            let sent = net::sendmsg(&self.0, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL)?;
            Ok(sent)
        };
        self.0.async_io(Interest::WRITABLE, send).await.map(drop)
    }

    /// Receives the next frame, with its descriptor if there is one. Returns `None` once the other process
    /// has closed the connection.
    ///
    /// # Errors
    /// Returns errors of the socket, and an error for a frame that can't be decoded.
    pub async fn receive<T: DeserializeOwned>(&self) -> io::Result<Option<(T, Option<OwnedFd>)>> {
        let mut bytes = vec![0; MAX_FRAME_BYTES];
        let receive = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut buffers = [IoSliceMut::new(&mut bytes)];
            let message = net::recvmsg(&self.0, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let mut descriptor = None;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(mut fds) = message {
                    descriptor = fds.next();
                }
            }
            Ok((message.bytes, descriptor))
        };
        let received = match self.0.async_io(Interest::READABLE, receive).await {
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => return Ok(None),
            other => other?,
        };
        let (count, descriptor) = received;
        if count == 0 {
            return Ok(None);
        }
        let frame = postcard::from_bytes(bytes.get(..count).unwrap_or_default());
        Ok(Some((frame.map_err(io::Error::other)?, descriptor)))
    }
}
