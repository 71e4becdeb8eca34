//! The commands as operators run them, against a stand-in of the platform.

use std::net;
use std::path;
use std::process;
use std::time;

use http_body_util::BodyExt as _;
use rstest::rstest;
use toucanwall_platform_standin::store;

type Body = http_body_util::Full<bytes::Bytes>;

fn example() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kite-clubs/document.yaml")
}

async fn ctl(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_toucanctl"));
    command.args(arguments);
    let output = tokio::task::spawn_blocking(move || command.output().expect("toucanctl runs"));
    let output = output.await.expect("the command ends");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_applied_once_and_shows_in_the_trail() {
    let store = store::Store::start().await;
    let address = store.address.to_string();
    let file = example();
    let file = file.to_str().expect("a path");
    let apply = ["apply", file, "--platform", &address, "--author", "ama", "--reason", "easter"];
    // The reply to the first write is lost after it took effect.
    store.drop_write_responses(1);
    let (code, text) = ctl(&apply).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("revision 1 is accepted"), "{text}");
    let (code, text) = ctl(&apply).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("nothing changes"), "{text}");
    let (code, text) = ctl(&["trail", "--platform", &address]).await;
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(text.matches("by ama: easter").count(), 1, "{text}");
    let stale = [&apply[..], &["--expect-revision", "7"]].concat();
    assert_eq!(ctl(&stale).await.0, Some(3));
    let (code, text) = ctl(&["show", "--platform", &address]).await;
    assert!(code == Some(0) && text.contains("kite-small"), "{text}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn findings_outages_and_missing_files_have_exit_codes_of_their_own() {
    let store = store::Store::start().await;
    let address = store.address.to_string();
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("bad.yaml");
    std::fs::write(&file, "pools:\n  a: { colour: red }\nmodel: {}\n").expect("a file");
    let file = file.to_str().expect("a path");
    let (code, text) = ctl(&["check", file]).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("bad.yaml:2:8: pools.a.colour") && text.contains("`models`"), "{text}");
    assert_eq!(ctl(&["check", "no-such-file.yaml"]).await.0, Some(2));
    store.set_mode(store::Mode::Unavailable);
    let (code, text) = ctl(&["show", "--platform", &address]).await;
    assert_eq!(code, Some(5), "{text}");
    assert!(text.contains("the platform does not answer"), "{text}");
}

/// A console that ends with the test.
struct Console(process::Child);

impl Drop for Console {
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
        .expect("a request");
    let answer = client.request(request).await.ok()?;
    let bytes = answer.into_body().collect().await.ok()?.to_bytes();
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn the_console_shows_findings_beside_their_field_and_conflicts() {
    let store = store::Store::start().await;
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listen = listener.local_addr().expect("an address");
    drop(listener);
    let console = process::Command::new(env!("CARGO_BIN_EXE_toucanctl"))
        .args(["console", "--listen", &listen.to_string()])
        .args(["--platform", &store.address.to_string()])
        .spawn()
        .expect("the console starts");
    let _console = Console(console);
    let mut page = None;
    for _ in 0..600 {
        page = fetch(listen, "/", None).await;
        if page.is_some() {
            break;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    assert!(page.is_some_and(|page| page.contains("New name in models")));
    let people = "author=ama&reason=easter&revision=0";
    let wrong = format!("{people}&pools/p/progress_ms=soon&new/models=m");
    let page = fetch(listen, "/preview", Some(&wrong)).await.expect("a page");
    assert!(page.contains("pools.p.progress_ms: expected a whole number"), "{page}");
    assert!(page.contains("models.m.pool: this field is missing"), "{page}");
    let right = format!("{people}&pools/p/progress_ms=5000");
    let page = fetch(listen, "/preview", Some(&right)).await.expect("a page");
    assert!(page.contains("Difference against revision 0"), "{page}");
    let document = "document=pools%3A%0A++p%3A+%7B%7D%0A";
    let page = fetch(listen, "/apply", Some(&format!("{people}&{document}"))).await;
    assert!(page.is_some_and(|page| page.contains("Revision 1 is accepted")));
    let other = "document=pools%3A%0A++q%3A+%7B%7D%0A";
    let page = fetch(listen, "/apply", Some(&format!("{people}&{other}"))).await.expect("a page");
    assert!(page.contains("conflict: revision 1 is in force, not 0"), "{page}");
}
