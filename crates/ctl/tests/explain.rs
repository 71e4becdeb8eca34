//! Timelines of requests, merged from the log lines of several hosts.

use std::fs;
use std::process;

use rstest::rstest;

/// Log of host a: `id-1`, a stream that was interrupted and resumed, another request, and a line
/// that is not a log line.
const HOST_A_LOG: &str = r#"{"at_ms":1000,"host":"a","level":"info","message":"sent","request":"id-1","attempt":1,"server":"s-1","version":"v1","left_ms":5000,"model":"small","configuration":7,"view_age_ms":0}
{"at_ms":1300,"host":"a","level":"info","message":"stream begun","request":"id-1","first_event_ms":300}
{"at_ms":1350,"host":"a","level":"info","message":"answered","request":"id-2","status":200,"took_ms":4}
thread 'main' prints something that is not a log line
{"at_ms":1900,"host":"a","level":"info","message":"stream interrupted","request":"id-1","last_event":3,"why":"broke off: reset"}
{"at_ms":1900,"content":"07","head_before_ms":60,"host":"a","level":"info","message":"in flight when the server ended","parts":"0a,0b","request":"id-1","sent_before_ms":70,"server":"s-1"}
{"at_ms":2400,"host":"a","level":"info","message":"stream ended","request":"id-1","last_event":9,"longest_pause_ms":510}
"#;
/// Log of host b: three removed server entries, of which only the first belongs to the timeline of
/// `id-1`, and a refused request.
const HOST_B_LOG: &str = r#"{"at_ms":1880,"host":"b","level":"info","message":"server entry vanished","server":"s-1","outcome":"Gone"}
{"at_ms":1890,"host":"b","level":"info","message":"server entry vanished","server":"s-2","outcome":"Gone"}
{"at_ms":90000,"host":"b","level":"info","message":"server entry vanished","server":"s-1","outcome":"Gone"}
{"at_ms":2500,"host":"b","level":"info","message":"refused: not run","request":"id-3","status":503,"why":"all servers full","retry_after_ms":420}
"#;

fn explain(request: &str) -> (Option<i32>, String, String) {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let files = [("b.log", HOST_B_LOG), ("a.log", HOST_A_LOG)].map(|(name, text)| {
        let file = directory.path().join(name);
        fs::write(&file, text).expect("the log is written");
        file
    });
    let output = process::Command::new(env!("CARGO_BIN_EXE_toucanctl"))
        .args(["explain", request])
        .args(files)
        .output()
        .expect("toucanctl runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[rstest]
fn timeline_merges_the_hosts_in_time_order() {
    let (code, timeline, stderr) = explain("id-1");
    assert_eq!(code, Some(0), "{stderr}");
    let lines: Vec<&str> = timeline.lines().collect();
    let expected = [
        "      0 ms   a: attempt 1 sent to server s-1 (version v1, model small), 5000 ms left, \
         configuration version 7, routing view 0 ms old",
        "    300 ms   a: first event forwarded after 300 ms",
        "    880 ms * b: server entry vanished (outcome \"Gone\", server \"s-1\")",
        "    900 ms   a: stream interrupted after event 3: broke off: reset",
        "    900 ms   a: server s-1 ended 70 ms after the request was sent; parts of the prompt: 0a,0b",
        "   1400 ms   a: stream complete, last event 9, longest pause 510 ms",
        "* about a host or server of the request, not the request itself",
    ];
    assert_eq!(lines, expected);
    assert!(stderr.contains("1 lines are not log lines and were skipped"), "{stderr}");
}

#[rstest]
fn refusal_includes_the_retry_delay() {
    let (_, timeline, _) = explain("id-3");
    let expected = "refused with status 503, not executed, retry after 420 ms: all servers full";
    assert!(timeline.contains(expected), "{timeline}");
}

#[rstest]
fn unknown_request_id_is_reported() {
    let (code, timeline, stderr) = explain("id-9");
    assert_eq!((code, timeline.as_str()), (Some(2), ""));
    assert!(stderr.contains("no log line mentions request id-9"), "{stderr}");
}
