//! HTTP/1.1 over plain sockets, for the stand-ins and the clients.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request that a stand-in received.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A response as a client received it.
#[derive(Debug, Clone, Default)]
pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.rest.extend(&buffer[..count]);
        Ok(count)
    }

    /// Reads up to and without a separator.
    fn until(&mut self, separator: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self.rest.windows(separator.len()).position(|it| it == separator);
            if let Some(at) = found {
                let rest = self.rest.split_off(at + separator.len());
                let mut part = std::mem::replace(&mut self.rest, rest);
                part.truncate(at);
                return Ok(part);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.rest.split_off(count);
        Ok(std::mem::replace(&mut self.rest, rest))
    }

    /// Reads the next request of a caller.
    pub fn request(&mut self) -> io::Result<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let body = if headers.get("transfer-encoding").is_some_and(|it| it == "chunked") {
            self.chunks(&mut Vec::new(), None)?
        } else {
            self.exactly(length)?
        };
        Ok(Request { method, target, headers, body })
    }

    /// Sends a request and reads its response until `deadline`.
    pub fn exchange(&mut self, request: &[u8], deadline: Instant) -> io::Result<Response> {
        self.stream.write_all(request)?;
        self.response(deadline)
    }

    /// Reads the response to a request that was sent, until `deadline`.
    pub fn response(&mut self, deadline: Instant) -> io::Result<Response> {
        self.wait_until(deadline)?;
        let (first, headers) = self.head()?;
        let status = first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut response = Response { status, headers, body: Vec::new(), is_complete: false };
        let length: Option<usize> =
            response.headers.get("content-length").and_then(|it| it.parse().ok());
        let mut body = Vec::new();
        let read = match length {
            Some(length) => self.exactly(length).map(|bytes| body = bytes),
            None => self.chunks(&mut body, Some(deadline)).map(drop),
        };
        response.is_complete = read.is_ok();
        response.body = body;
        Ok(response)
    }

    fn wait_until(&mut self, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
    }

    fn head(&mut self) -> io::Result<(String, BTreeMap<String, String>)> {
        let head = self.until(b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok((first, headers.collect()))
    }

    /// Reads a chunked body into `body`.
    fn chunks(&mut self, body: &mut Vec<u8>, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        loop {
            if let Some(deadline) = deadline {
                self.wait_until(deadline)?;
            }
            let line = self.until(b"\r\n")?;
            let line = String::from_utf8_lossy(&line).into_owned();
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let chunk = self.exactly(size)?;
            body.extend(chunk);
            self.until(b"\r\n")?;
            if size == 0 {
                return Ok(body.clone());
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// A response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}

/// A request with a length.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}
