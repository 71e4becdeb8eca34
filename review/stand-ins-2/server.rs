//! Stand-in for a backend server, a process of its own.
//!
//! Standard output has a line for each request that it runs: `run ID METHOD TARGET`, then `end ID`.

use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http;

/// What the server does with each request.
pub struct Server {
    pub id: String,
    /// Time before the response, in milliseconds.
    pub answer_ms: u64,
    /// Size of a plain response in bytes, the number of parts in which it is written, and the time before
    /// each, in milliseconds.
    pub body_bytes: usize,
    pub parts: (usize, u64),
    /// Number of events of a stream, and the time before each, in milliseconds.
    pub events: (u64, u64),
    /// Number of events a second of a stream that has no end and whose events say nothing; 0 for streams
    /// that end.
    pub endless_per_s: u64,
    /// One in so many responses, the first among them, has no length and no chunks and ends with its
    /// connection; 0 for none.
    pub unframed_each: u64,
    /// Number of requests that it has begun to run.
    pub runs: std::sync::atomic::AtomicU64,
    /// Whether it says nothing of the requests that it runs.
    pub is_quiet: bool,
}

/// Listens on a free port, says which, and serves until the process is ended.
pub fn run(server: Server) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("port {}", listener.local_addr()?.port());
    let server = Arc::new(server);
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        thread::spawn(move || drop(server.serve(stream)));
    }
    Ok(())
}

impl Server {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read_request(&mut reader)?;
            let id = request.header("x-toucanwall-attempt-id");
            let expected = request.header("x-toucanwall-expected-instance");
            if request.target == "/healthz" {
                let id = &self.id;
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\nX-Toucanwall-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            if !expected.is_empty() && expected != self.id {
                write!(
                    writer,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Toucanwall-Attempt-Id: {id}\r\n\
                     X-Toucanwall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            if !self.is_quiet {
                println!("run {id} {} {}", request.method, request.target);
            }
            let run = self.runs.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            let is_unframed = run.checked_rem(self.unframed_each) == Some(0);
            if is_unframed && !self.is_quiet {
                println!("unframed {id}");
            }
            thread::sleep(Duration::from_millis(self.answer_ms));
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Toucanwall-Attempt-Id: {id}\r\n\
                 X-Toucanwall-Server-Seal: seal.{id}\r\n"
            );
            let is_stream = self.events.0 > 0;
            if is_stream {
                self.stream(&mut writer, &head, &request, is_unframed)?;
            } else {
                self.answer(&mut writer, &head, is_unframed)?;
            }
            if !self.is_quiet {
                println!("end {id}");
            }
            if is_unframed {
                return writer.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, head: &str, is_unframed: bool) -> io::Result<()> {
        let body = vec![b'x'; self.body_bytes];
        if is_unframed {
            write!(writer, "{head}\r\n")?;
        } else {
            write!(writer, "{head}Content-Length: {}\r\n\r\n", body.len())?;
        }
        for part in body.chunks(body.len().div_ceil(self.parts.0.max(1)).max(1)) {
            thread::sleep(Duration::from_millis(self.parts.1));
            writer.write_all(part)?;
        }
        Ok(())
    }

    fn stream(
        &self,
        writer: &mut TcpStream,
        head: &str,
        request: &http::Request,
        is_unframed: bool,
    ) -> io::Result<()> {
        let framing = if is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
        write!(writer, "{head}Content-Type: text/event-stream\r\n{framing}\r\n")?;
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        if self.endless_per_s > 0 {
            return self.stream_endlessly(writer, after);
        }
        for number in after + 1..=self.events.0 {
            thread::sleep(Duration::from_millis(self.events.1));
            let event = format!("id: {number}\ndata: part {number}\n\n");
            if is_unframed {
                write!(writer, "{event}")?;
            } else {
                write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            }
        }
        if is_unframed { Ok(()) } else { write!(writer, "0\r\n\r\n") }
    }

    /// Writes events, each in a chunk of its own, until the caller closes the connection.
    fn stream_endlessly(&self, writer: &mut TcpStream, mut number: u64) -> io::Result<()> {
        const ROUNDS_PER_S: u64 = 50;
        loop {
            let mut part = String::new();
            for _ in 0..self.endless_per_s / ROUNDS_PER_S {
                number += 1;
                let event = format!("id:{number}\n\n");
                part.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            }
            writer.write_all(part.as_bytes())?;
            thread::sleep(Duration::from_millis(1_000 / ROUNDS_PER_S));
        }
    }
}
