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
    assert!(fleet.service.effects().is_empty());
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
