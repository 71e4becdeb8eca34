//! Runs `toucanctl` as operators do, against a stand-in for the platform.

use std::net;
use std::path;
use std::process;
use std::time;

use http_body_util::BodyExt as _;
use rstest::rstest;
use toucanwall_platform_standin::store;

type Body = http_body_util::Full<bytes::Bytes>;

fn example_document() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kite-clubs/document.yaml")
}

async fn run_toucanctl(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_toucanctl"));
    command.args(arguments);
    let output = tokio::task::spawn_blocking(move || command.output().expect("toucanctl runs"));
    let output = output.await.expect("the blocking task completes");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn apply_is_recorded_once_although_the_response_was_lost() {
    let store = store::Store::start().await;
    let address = store.address.to_string();
    let file = example_document();
    let file = file.to_str().expect("a UTF-8 path");
    let apply = ["apply", file, "--platform", &address, "--author", "ama", "--reason", "easter"];
    // The platform stores the first write, but its response is lost.
    store.drop_write_responses(1);
    let (code, text) = run_toucanctl(&apply).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("revision 1 is accepted"), "{text}");
    let (code, text) = run_toucanctl(&apply).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("no changes; revision 1 stays in force"), "{text}");
    let (code, text) = run_toucanctl(&["trail", "--platform", &address]).await;
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(text.matches("by ama: easter").count(), 1, "{text}");
    let stale = [&apply[..], &["--expect-revision", "7"]].concat();
    assert_eq!(run_toucanctl(&stale).await.0, Some(3));
    let (code, text) = run_toucanctl(&["show", "--platform", &address]).await;
    assert!(code == Some(0) && text.contains("kite-small"), "{text}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn findings_missing_files_and_outages_have_distinct_exit_codes() {
    let store = store::Store::start().await;
    let address = store.address.to_string();
    let directory = tempfile::tempdir().expect("a temporary directory");
    let file = directory.path().join("bad.yaml");
    std::fs::write(&file, "pools:\n  a: { colour: red }\nmodel: {}\n")
        .expect("the document is written");
    let file = file.to_str().expect("a UTF-8 path");
    let (code, text) = run_toucanctl(&["check", file]).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("bad.yaml:2:8: pools.a.colour") && text.contains("`models`"), "{text}");
    assert_eq!(run_toucanctl(&["check", "no-such-file.yaml"]).await.0, Some(2));
    store.set_mode(store::Mode::Unavailable);
    let (code, text) = run_toucanctl(&["show", "--platform", &address]).await;
    assert_eq!(code, Some(5), "{text}");
    assert!(text.contains("the platform does not answer"), "{text}");
}

/// A console process that is killed when the test ends.
struct ConsoleProcess(process::Child);

impl Drop for ConsoleProcess {
    fn drop(&mut self) {
        self.0.kill().unwrap_or_default();
        self.0.wait().map(drop).unwrap_or_default();
    }
}

async fn fetch(address: net::SocketAddr, path: &str, form: Option<&str>) -> Option<String> {
    let executor = hyper_util::rt::TokioExecutor::new();
    let client: hyper_util::client::legacy::Client<_, Body> =
        hyper_util::client::legacy::Client::builder(executor).build_http();
    let method = if form.is_some() { hyper::Method::POST } else { hyper::Method::GET };
    let request = hyper::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/x-www-form-urlencoded")
        .body(Body::from(form.unwrap_or_default().to_owned()))
        .expect("a valid request");
    let response = client.request(request).await.ok()?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn console_shows_findings_by_field_and_reports_conflicts() {
    let store = store::Store::start().await;
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listen = listener.local_addr().expect("a local address");
    drop(listener);
    let console = process::Command::new(env!("CARGO_BIN_EXE_toucanctl"))
        .args(["console", "--listen", &listen.to_string()])
        .args(["--platform", &store.address.to_string()])
        .spawn()
        .expect("the console starts");
    let _console = ConsoleProcess(console);
    let mut page = None;
    for _ in 0..600 {
        page = fetch(listen, "/", None).await;
        if page.is_some() {
            break;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    assert!(page.is_some_and(|page| page.contains("New entry in models")));
    let change_fields = "author=ama&reason=easter&revision=0";
    let invalid_form = format!("{change_fields}&pools/p/progress_ms=soon&new/models=m");
    let page = fetch(listen, "/preview", Some(&invalid_form)).await.expect("a page");
    assert!(page.contains("pools.p.progress_ms: expected a whole number"), "{page}");
    assert!(page.contains("models.m.pool: this field is missing"), "{page}");
    let valid_form = format!("{change_fields}&pools/p/progress_ms=5000");
    let page = fetch(listen, "/preview", Some(&valid_form)).await.expect("a page");
    assert!(page.contains("Difference against revision 0"), "{page}");
    let document = "document=pools%3A%0A++p%3A+%7B%7D%0A";
    let page = fetch(listen, "/apply", Some(&format!("{change_fields}&{document}"))).await;
    assert!(page.is_some_and(|page| page.contains("Revision 1 is accepted")));
    let conflicting_document = "document=pools%3A%0A++q%3A+%7B%7D%0A";
    let page = fetch(listen, "/apply", Some(&format!("{change_fields}&{conflicting_document}")))
        .await
        .expect("a page");
    assert!(page.contains("conflict: revision 1 is in force, not 0"), "{page}");
}
