//! Invalid requests and settings: each leads to a specific error.

mod fleet;

use std::fs;
use std::net;
use std::process;

use fleet::Fleet;
use rstest::rstest;

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_as_not_run() {
    let fleet = Fleet::start(1).await;
    let address = fleet.hosts[0].caller_address;
    let chat = || hyper::Request::post(format!("http://{address}/v1/chat/completions"));
    let cases = [
        ("{\"model\":\"small\"}", ("authorization", "Bearer wrong"), 401, "unauthorised"),
        ("{\"model\":\"smal\"}", ("x-none", "1"), 403, "not_allowed"),
        ("{\"model\":", ("x-none", "1"), 400, "malformed_body"),
        ("{}", ("x-none", "1"), 400, "malformed_body"),
        ("{\"model\":\"small\"}", ("x-toucanwall-session", "forged"), 400, "bad_session"),
    ];
    for (body, header, status, reason) in cases {
        let response = fleet.send(chat(), &[header], body.to_owned()).await.expect("a response");
        assert_eq!(response.status, status, "{response:?}");
        assert_eq!(response.error_type(), "not_run", "{response:?}");
        assert!(response.body.contains(reason), "{response:?}");
    }
    let oversized = format!("{{\"model\":\"{}\"}}", "x".repeat(5 * 1024 * 1024));
    let response = fleet.send(chat(), &[], oversized).await;
    assert!(response.is_none_or(|response| response.status == 413));
    let booking = hyper::Request::post(format!("http://{address}/v1/services/desk/bookings"));
    let response = fleet.send(booking, &[], "slot".to_owned()).await.expect("a response");
    assert_eq!((response.status, response.error_type().as_str()), (400, "not_run"));
    assert!(fleet.service.executions().is_empty());
}

#[rstest]
fn all_settings_errors_are_reported_at_once() {
    let temp_dir = tempfile::tempdir().expect("a temporary directory");
    let settings_path = temp_dir.path().join("host.yaml");
    fs::write(
        &settings_path,
        "data_centre: dc\nregion: r\ncaller_adress: 127.0.0.1:1\npeer_address: here\n",
    )
    .expect("a settings file");
    let output = process::Command::new(env!("CARGO_BIN_EXE_toucanwall"))
        .arg("--settings")
        .arg(&settings_path)
        .output()
        .expect("the daemon runs");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    for part in [
        "3:1: caller_adress",
        "did you mean `caller_address`?",
        "4:15: peer_address",
        "platform_address",
    ] {
        assert!(text.contains(part), "`{part}` is not in:\n{text}");
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn error_names_the_address_that_is_in_use() {
    let fleet = Fleet::start(1).await;
    let listener = net::TcpListener::bind(fleet::loopback_any_port()).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let text = fs::read_to_string(fleet.hosts[0].settings_path()).expect("a settings file");
    let text: String = text
        .lines()
        .map(|line| match line.split_once(": ") {
            Some(("admin_address", _)) => format!("admin_address: {address}\n"),
            Some((field @ ("caller_address" | "peer_address"), _)) => {
                format!("{field}: {}\n", fleet::free_address())
            }
            _ => format!("{line}\n"),
        })
        .collect();
    let temp_dir = tempfile::tempdir().expect("a temporary directory");
    let settings_path = temp_dir.path().join("host.yaml");
    fs::write(&settings_path, text).expect("a settings file");
    let output = process::Command::new(env!("CARGO_BIN_EXE_toucanwall"))
        .arg("--settings")
        .arg(&settings_path)
        .output()
        .expect("the daemon runs");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains(&format!("admin_address {address}")), "{text}");
}

/// Sends `first_bytes`, reads the response head, then sends `remaining_bytes` and reads to the end
/// of the connection. Returns the head, what follows it, and whether the connection was closed
/// without a reset.
async fn exchange_raw(
    address: net::SocketAddr,
    first_bytes: &[u8],
    remaining_bytes: &[u8],
) -> (String, String, bool) {
    use tokio::io::AsyncReadExt as _;
    use tokio::io::AsyncWriteExt as _;

    let mut stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
    stream.write_all(first_bytes).await.expect("the host reads");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a response before the request body is complete"));
    }
    // The caller sends the rest of its body before it reads the rest of the response.
    stream.write_all(remaining_bytes).await.expect("the host reads the rest");
    let mut response_body = Vec::new();
    let is_closed_cleanly = stream.read_to_end(&mut response_body).await.is_ok();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&head), text(&response_body), is_closed_cleanly)
}

#[rstest]
#[case::too_large("POST", "/v1/chat/completions", true, 413)]
#[case::unknown_path("POST", "/v2/nothing", true, 404)]
#[case::too_large_chunked("POST", "/v1/chat/completions", false, 413)]
#[case::unknown_path_chunked("POST", "/v2/nothing", false, 404)]
#[tokio::test(flavor = "multi_thread")]
async fn early_response_is_complete_and_closes_the_connection(
    #[case] method: &str,
    #[case] path: &str,
    #[case] has_length: bool,
    #[case] status: u16,
) {
    const CHUNK_BYTES: usize = 64 * 1024;
    const CHUNKS: usize = 80;
    const CHUNKS_BEFORE_RESPONSE: usize = 66;

    let fleet = Fleet::start(1).await;
    let address = fleet.hosts[0].caller_address;
    let framing = if has_length {
        format!("content-length: {}", CHUNK_BYTES * CHUNKS)
    } else {
        "transfer-encoding: chunked".to_owned()
    };
    let push_chunk = |bytes: &mut Vec<u8>| {
        if !has_length {
            bytes.extend(format!("{CHUNK_BYTES:x}\r\n").bytes());
        }
        bytes.resize(bytes.len() + CHUNK_BYTES, b'x');
        if !has_length {
            bytes.extend(b"\r\n");
        }
    };
    let mut first_bytes = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n{framing}\r\n\r\n",
        fleet::KEY
    )
    .into_bytes();
    (0..CHUNKS_BEFORE_RESPONSE).for_each(|_| push_chunk(&mut first_bytes));
    let mut remaining_bytes = Vec::new();
    (CHUNKS_BEFORE_RESPONSE..CHUNKS).for_each(|_| push_chunk(&mut remaining_bytes));
    if !has_length {
        remaining_bytes.extend(b"0\r\n\r\n");
    }
    let (head, response_body, is_closed_cleanly) =
        exchange_raw(address, &first_bytes, &remaining_bytes).await;
    assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head}");
    assert!(head.to_lowercase().contains("connection: close"), "{head}");
    assert!(is_closed_cleanly, "the connection was reset after: {response_body}");
    let length = head.to_lowercase();
    let length = length.lines().find_map(|line| line.strip_prefix("content-length: "));
    assert_eq!(length, Some(&*response_body.len().to_string()), "{head}{response_body}");
    let response = fleet.get(address, "/v1/addresses").await.expect("a new connection is served");
    assert_eq!(response.status, 200);
}
