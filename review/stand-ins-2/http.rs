//! HTTP/1.1 over plain sockets.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request with its whole body.
#[derive(Debug, Default)]
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
#[derive(Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body came to its end as its framing states it.
    pub is_complete: bool,
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else { return Ok(headers) };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Reads a request; bodies have a length or chunks.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (method, target) = (method.to_owned(), target.to_owned());
    let headers = read_headers(reader)?;
    let mut request = Request { method, target, headers, body: Vec::new() };
    if request.header("transfer-encoding") == "chunked" {
        read_chunks(reader, &mut request.body)?;
    } else {
        let length = request.header("content-length").parse().unwrap_or(0);
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(request)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(io::Error::other)?;
        let start = body.len();
        let read = reader.take(size as u64).read_to_end(body)?;
        if read < size {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        debug_assert_eq!(body.len(), start + size);
        if read_line(reader)?.is_empty() && size == 0 {
            return Ok(());
        }
    }
}

/// Reads a response. One that breaks off has what arrived, and `is_complete` is false.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let headers = read_headers(reader)?;
    let mut response = Response { status, headers, ..Response::default() };
    let header = |name: &str| response.headers.get(name).cloned();
    let outcome = if header("transfer-encoding").as_deref() == Some("chunked") {
        read_chunks(reader, &mut response.body)
    } else if let Some(length) = header("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        let read = reader.take(length as u64).read_to_end(&mut response.body);
        read.and_then(
            |read| if read < length { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) },
        )
    } else {
        reader.read_to_end(&mut response.body).map(drop)
    };
    response.is_complete = outcome.is_ok();
    Ok(response)
}
