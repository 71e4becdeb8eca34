//! Connections with a small window, as links have that are slower than loopback.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd as _, FromRawFd as _, OwnedFd};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOCK_CLOEXEC: c_int = 0o2_000_000;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
/// Size of the receive buffer, of which the kernel reserves the double.
static WINDOW: c_int = 16 * 1024;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: u32)
    -> c_int;
    fn connect(fd: c_int, address: *const SocketAddress, length: u32) -> c_int;
}

/// Connects to an IPv4 address; the window has to be set before.
pub fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let IpAddr::V4(ip) = address.ip() else { return Err(io::ErrorKind::Unsupported.into()) };
    let target = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: ip.octets(),
        zero: [0; 8],
    };
    let check =
        |result: c_int| if result < 0 { Err(io::Error::last_os_error()) } else { Ok(result) };
    // SAFETY: the descriptor is new and owned here; the pointers are to live values of the given sizes.
    unsafe {
        let fd = OwnedFd::from_raw_fd(check(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))?);
        let window = (&raw const WINDOW).cast();
        check(setsockopt(fd.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, window, 4))?;
        check(connect(fd.as_raw_fd(), &raw const target, 16))?;
        Ok(TcpStream::from(fd))
    }
}
