//! Bad input: each is a clear error that says what to do.

mod fleet;

use std::fs;
use std::net;
use std::process;

use fleet::Fleet;
use rstest::rstest;

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_as_not_run() {
    let fleet = Fleet::start(1).await;
    let address = fleet.hosts[0].caller;
    let chat = || hyper::Request::post(format!("http://{address}/v1/chat/completions"));
    let cases = [
        ("{\"model\":\"small\"}", ("authorization", "Bearer wrong"), 401, "unauthorised"),
        ("{\"model\":\"smal\"}", ("x-none", "1"), 403, "not_allowed"),
        ("{\"model\":", ("x-none", "1"), 400, "malformed_body"),
        ("{}", ("x-none", "1"), 400, "malformed_body"),
        ("{\"model\":\"small\"}", ("x-toucanwall-session", "forged"), 400, "bad_session"),
    ];
    for (body, header, status, reason) in cases {
        let answer = fleet.send(chat(), &[header], body.to_owned()).await.expect("an answer");
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(answer.error_type(), "not_run", "{answer:?}");
        assert!(answer.body.contains(reason), "{answer:?}");
    }
    let large = format!("{{\"model\":\"{}\"}}", "x".repeat(5 * 1024 * 1024));
    let answer = fleet.send(chat(), &[], large).await;
    assert!(answer.is_none_or(|answer| answer.status == 413));
    let booking = hyper::Request::post(format!("http://{address}/v1/services/desk/bookings"));
    let answer = fleet.send(booking, &[], "slot".to_owned()).await.expect("an answer");
    assert_eq!((answer.status, answer.error_type().as_str()), (400, "not_run"));
    assert!(fleet.service.executions().is_empty());
}

#[rstest]
fn settings_show_all_findings_at_once() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("host.yaml");
    fs::write(
        &file,
        "data_centre: dc\nregion: r\ncaller_adress: 127.0.0.1:1\npeer_address: here\n",
    )
    .expect("a settings file");
    let output = process::Command::new(env!("CARGO_BIN_EXE_toucanwall"))
        .arg("--settings")
        .arg(&file)
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
async fn a_port_in_use_is_named() {
    let fleet = Fleet::start(1).await;
    let taken = net::TcpListener::bind(fleet::loopback()).expect("a free port");
    let address = taken.local_addr().expect("an address");
    let text = fs::read_to_string(fleet.hosts[0].settings()).expect("a settings file");
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
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("host.yaml");
    fs::write(&file, text).expect("a settings file");
    let output = process::Command::new(env!("CARGO_BIN_EXE_toucanwall"))
        .arg("--settings")
        .arg(&file)
        .output()
        .expect("the daemon runs");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains(&format!("admin_address {address}")), "{text}");
}

/// The answer's head, what follows it, and whether the connection then ended without a reset.
async fn talk(address: net::SocketAddr, first: &[u8], rest: &[u8]) -> (String, String, bool) {
    use tokio::io::AsyncReadExt as _;
    use tokio::io::AsyncWriteExt as _;

    let mut stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
    stream.write_all(first).await.expect("the host reads");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("an answer while the body is under way"));
    }
    // The caller goes on with its body before it looks at the rest of the answer.
    stream.write_all(rest).await.expect("the host reads the rest");
    let mut after = Vec::new();
    let is_clean = stream.read_to_end(&mut after).await.is_ok();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&head), text(&after), is_clean)
}

#[rstest]
#[case::too_large("POST", "/v1/chat/completions", true, 413)]
#[case::unknown_path("POST", "/v2/nothing", true, 404)]
#[case::too_large_in_chunks("POST", "/v1/chat/completions", false, 413)]
#[case::unknown_path_in_chunks("POST", "/v2/nothing", false, 404)]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_before_the_body_is_whole_and_closes_the_connection(
    #[case] method: &str,
    #[case] path: &str,
    #[case] has_length: bool,
    #[case] status: u16,
) {
    const CHUNK_BYTES: usize = 64 * 1024;
    const CHUNKS: usize = 80;
    const CHUNKS_FIRST: usize = 66;

    let fleet = Fleet::start(1).await;
    let address = fleet.hosts[0].caller;
    let framing = if has_length {
        format!("content-length: {}", CHUNK_BYTES * CHUNKS)
    } else {
        "transfer-encoding: chunked".to_owned()
    };
    let chunk = |bytes: &mut Vec<u8>| {
        if !has_length {
            bytes.extend(format!("{CHUNK_BYTES:x}\r\n").bytes());
        }
        bytes.resize(bytes.len() + CHUNK_BYTES, b'x');
        if !has_length {
            bytes.extend(b"\r\n");
        }
    };
    let mut first = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n{framing}\r\n\r\n",
        fleet::KEY
    )
    .into_bytes();
    (0..CHUNKS_FIRST).for_each(|_| chunk(&mut first));
    let mut rest = Vec::new();
    (CHUNKS_FIRST..CHUNKS).for_each(|_| chunk(&mut rest));
    if !has_length {
        rest.extend(b"0\r\n\r\n");
    }
    let (head, after, is_clean) = talk(address, &first, &rest).await;
    assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head}");
    assert!(head.to_lowercase().contains("connection: close"), "{head}");
    assert!(is_clean, "the connection was reset after: {after}");
    let length = head.to_lowercase();
    let length = length.lines().find_map(|line| line.strip_prefix("content-length: "));
    assert_eq!(length, Some(&*after.len().to_string()), "{head}{after}");
    let answer = fleet.get(address, "/v1/addresses").await.expect("a new connection is served");
    assert_eq!(answer.status, 200);
}
