//! Checks the example documents and the findings for invalid ones.

use std::fs;
use std::path;

use rstest::rstest;
use toucanwall_document::check;
use toucanwall_document::parts;
use toucanwall_document::settings;

fn example(name: &str) -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(root.join(name)).expect("the example file is readable")
}

#[rstest]
#[case("kite-clubs")]
#[case("kvittun")]
fn examples_have_no_findings(#[case] deployment: &str) {
    let text = example(&format!("{deployment}/document.yaml"));
    let document = check::check(deployment, &text).unwrap_or_else(|f| panic!("{f}"));
    let split = parts::split(&document);
    assert_eq!(parts::join(&split).as_ref(), Ok(&document));
    let reparsed = check::check("yaml", &document.to_yaml());
    assert_eq!(reparsed.as_ref(), Ok(&document));
    for host in 1..=6 {
        let text = example(&format!("{deployment}/host-{host}.yaml"));
        settings::check("host", &text).unwrap_or_else(|f| panic!("{f}"));
    }
}

#[rstest]
#[case::share_sum("share_percent: 90", "share_percent: 80", "add up to 90 %")]
#[case::withdrawn_with_share(
    "share_percent: 90",
    "share_percent: 90, withdrawn: true",
    "a withdrawn version has 90 % of new sessions"
)]
#[case::no_active_version(
    "\"2026-08\": { share_percent: 100 }",
    "\"2026-08\": { withdrawn: true }",
    "the organisation may use no active version of `kite-large`"
)]
#[case::unknown_model("stages: [kite-small,", "stages: [kite-smal,", "did you mean `kite-small`?")]
#[case::cascade_order(
    "[kite-small, kite-large]\n    quality",
    "[kite-large, kite-small]\n    quality",
    "costs more than a later one"
)]
#[case::unknown_field(
    "requests_per_s: 2000",
    "request_per_s: 2000",
    "did you mean `requests_per_s`?"
)]
#[case::not_a_number("server_slots: 64", "server_slots: many", "expected a whole number")]
#[case::syntax_error("pools:", "pools: [", "document.yaml:")]
fn invalid_documents_are_rejected(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = example("kite-clubs/document.yaml");
    assert!(text.contains(from), "the example does not contain `{from}`");
    let findings = check::check("document.yaml", &text.replacen(from, to, 1));
    let message = findings.expect_err("the document is invalid").to_string();
    assert!(message.contains(expected), "`{expected}` is not in the output:\n{message}");
}

#[rstest]
fn all_findings_are_reported_in_source_order() {
    let text = example("kite-clubs/document.yaml")
        .replace("checks_fencing: true", "checks_fencing: perhaps")
        .replace("share_percent: 90", "share_percent: 900")
        .replace("quality_target_percent: 80", "colour: red");
    let findings = check::check("d", &text).expect_err("the document is invalid");
    let lines: Vec<u64> = findings
        .to_string()
        .lines()
        .filter_map(|line| line.split(':').nth(1)?.parse().ok())
        .collect();
    assert!(lines.len() >= 4 && lines.is_sorted(), "{findings}");
}

#[rstest]
fn document_over_size_limit_is_rejected() {
    let text = "#".repeat(check::DOCUMENT_MAX_BYTES + 1);
    let findings = check::check("d", &text).expect_err("the document is too large");
    assert!(findings.to_string().contains("bytes"), "{findings}");
}
