//! Client sockets with a small receive buffer, and so a small window.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
};

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Opens a channel with a receive buffer of this size in bytes, or of the usual size.
pub fn open(address: SocketAddr, buffer: Option<i32>) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let Some(buffer) = buffer else {
        return TcpStream::connect(address);
    };
    let mut raw = [0; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the pointers refer to live values of the stated sizes, and the descriptor is owned by
    // the stream from here on.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        // The buffer has to be set before the connection is opened.
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, 4) != 0 {
            return Err(io::Error::last_os_error());
        }
        if connect(fd, raw.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
