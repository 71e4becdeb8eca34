//! A request's story, from the log lines of several hosts.

use std::fs;
use std::process;

use rstest::rstest;

/// Lines of two hosts: a stream that was interrupted and went on, and what happened around it.
const FIRST: &str = r#"{"at_ms":1000,"host":"a","level":"info","message":"sent","request":"id-1","attempt":1,"server":"s-1","version":"v1","left_ms":5000,"model":"small","configuration":7,"view_age_ms":0}
{"at_ms":1300,"host":"a","level":"info","message":"stream begun","request":"id-1","first_event_ms":300}
{"at_ms":1350,"host":"a","level":"info","message":"answered","request":"id-2","status":200,"took_ms":4}
thread 'main' says something that is no log line
{"at_ms":1900,"host":"a","level":"info","message":"stream interrupted","request":"id-1","last_event":3,"why":"broke off: reset"}
{"at_ms":2400,"host":"a","level":"info","message":"stream ended","request":"id-1","last_event":9,"longest_pause_ms":510}
"#;
const SECOND: &str = r#"{"at_ms":1880,"host":"b","level":"info","message":"server entry vanished","server":"s-1","outcome":"Gone"}
{"at_ms":1890,"host":"b","level":"info","message":"server entry vanished","server":"s-2","outcome":"Gone"}
{"at_ms":90000,"host":"b","level":"info","message":"server entry vanished","server":"s-1","outcome":"Gone"}
{"at_ms":2500,"host":"b","level":"info","message":"refused: not run","request":"id-3","status":503,"why":"all servers full","retry_after_ms":420}
"#;

fn explain(request: &str) -> (Option<i32>, String, String) {
    let directory = tempfile::tempdir().expect("a directory");
    let files = [("b.log", SECOND), ("a.log", FIRST)].map(|(name, text)| {
        let file = directory.path().join(name);
        fs::write(&file, text).expect("a file");
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
fn the_steps_of_a_request_come_in_their_order_across_hosts() {
    let (code, story, notes) = explain("id-1");
    assert_eq!(code, Some(0), "{notes}");
    let steps: Vec<&str> = story.lines().collect();
    let expected = [
        "      0 ms   a: attempt 1 goes to server s-1 (version v1, model small) with 5000 ms left, \
         by configuration 7, view 0 ms old",
        "    300 ms   a: first event passed on after 300 ms",
        "    880 ms * b: server entry vanished (outcome \"Gone\", server \"s-1\")",
        "    900 ms   a: stream interrupted after event 3: broke off: reset",
        "   1400 ms   a: stream complete, last event 9, longest pause 510 ms",
        "* about the hosts and servers of the request, not the request itself",
    ];
    assert_eq!(steps, expected);
    assert!(notes.contains("1 lines are no log lines"), "{notes}");
}

#[rstest]
fn a_refusal_says_when_to_come_back() {
    let (_, story, _) = explain("id-3");
    let expected = "refused with status 503, not run, to come back in 420 ms: all servers full";
    assert!(story.contains(expected), "{story}");
}

#[rstest]
fn an_id_that_no_line_names_is_said_so() {
    let (code, story, notes) = explain("id-9");
    assert_eq!((code, story.as_str()), (Some(2), ""));
    assert!(notes.contains("no line names request id-9"), "{notes}");
}
