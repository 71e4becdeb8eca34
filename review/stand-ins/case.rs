//! What the cases have in common: folders, the disruption switch, clients and exit codes.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::hosts;
use crate::http;
use crate::record::Record;

/// Time after which a run is ended in any case.
const LONGEST_RUN: Duration = Duration::from_secs(112);

/// Host name of all routes.
pub const SITE: &str = "site.example";

/// A run of a case.
pub struct Case {
    pub record: Record,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    next_id: AtomicU64,
}

impl Case {
    /// Opens the record in the folder that is named on the command line.
    pub fn begin() -> Self {
        let case_folder = PathBuf::from(env::args().nth(1).unwrap_or_else(|| {
            eprintln!("usage: CASE FOLDER");
            process::exit(2)
        }));
        let folder = env::temp_dir().join(format!("toucanwall-review-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(&case_folder);
        hosts::end_after(LONGEST_RUN);
        record.line(&format!("case begins; disruption: {has_trouble}"));
        Self { record, folder, has_trouble, next_id: AtomicU64::new(1) }
    }

    /// Id of a new client attempt.
    pub fn next_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends a request on a new connection, as a client does.
    pub fn send(
        &self,
        host: SocketAddr,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        deadline_ms: u64,
    ) -> (String, Option<http::Response>) {
        let id = self.next_id();
        let deadline_text = deadline_ms.to_string();
        let mut all = vec![
            ("Host", SITE),
            ("X-Toucanwall-Attempt-Id", id.as_str()),
            ("X-Toucanwall-Deadline-Ms", deadline_text.as_str()),
        ];
        all.extend(headers);
        let body: &[u8] = if method == "GET" { b"" } else { b"a body" };
        let request = http::request(method, target, &all, body);
        self.record.line(&format!("client: sends {id} {method} {target} to {host} {headers:?}"));
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        let response = http::Connection::connect(host, Duration::from_secs(1))
            .and_then(|mut it| it.exchange(&request, deadline));
        match &response {
            Ok(response) => self.record.line(&format!(
                "client: {id} answered {} {:?}, complete: {}",
                response.status,
                response.text(),
                response.is_complete
            )),
            Err(error) => self.record.line(&format!("client: {id} failed: {error}")),
        }
        (id, response.ok())
    }

    /// Ends the run with an exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
    /// not run. All processes have to be dropped by then.
    pub fn end(&self, result: Result<(usize, String), String>) -> ! {
        let code = match result {
            Ok((violations, what)) => {
                self.record.line(&format!("result: {violations} {what}"));
                println!("{violations} {what}");
                i32::from(violations > 0)
            }
            Err(why) => {
                self.record.line(&format!("cannot run: {why}"));
                println!("cannot run: {why}");
                2
            }
        };
        if env::var("KEEP").is_ok() {
            println!("logs: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
        process::exit(code)
    }
}
