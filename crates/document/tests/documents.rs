//! The example documents, and slips that a document must not have.

use std::fs;
use std::path;

use rstest::rstest;
use toucanwall_document::check;
use toucanwall_document::parts;
use toucanwall_document::settings;

fn example(name: &str) -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(root.join(name)).expect("an example file")
}

#[rstest]
#[case("kite-clubs")]
#[case("kvittun")]
fn examples_have_no_findings(#[case] deployment: &str) {
    let text = example(&format!("{deployment}/document.yaml"));
    let document = check::check(deployment, &text).unwrap_or_else(|f| panic!("{f}"));
    let cut = parts::split(&document);
    assert_eq!(parts::join(&cut).as_ref(), Ok(&document));
    let again = check::check("yaml", &document.to_yaml());
    assert_eq!(again.as_ref(), Ok(&document));
    for host in 1..=6 {
        let text = example(&format!("{deployment}/host-{host}.yaml"));
        settings::check("host", &text).unwrap_or_else(|f| panic!("{f}"));
    }
}

#[rstest]
#[case::share("share_percent: 90", "share_percent: 80", "add up to 90 %")]
#[case::withdrawn_in_use(
    "share_percent: 90",
    "share_percent: 90, withdrawn: true",
    "withdrawn, yet"
)]
#[case::last_version(
    "\"2026-08\": { share_percent: 100 }",
    "\"2026-08\": { withdrawn: true }",
    "no version of `kite-large` is left"
)]
#[case::unknown("stages: [kite-small,", "stages: [kite-smal,", "did you mean `kite-small`?")]
#[case::order(
    "[kite-small, kite-large]\n    quality",
    "[kite-large, kite-small]\n    quality",
    "costs more than a later one"
)]
#[case::field("requests_per_s: 2000", "request_per_s: 2000", "did you mean `requests_per_s`?")]
#[case::number("server_slots: 64", "server_slots: many", "expected a whole number")]
#[case::syntax("pools:", "pools: [", "document.yaml:")]
fn slips_are_findings(#[case] from: &str, #[case] to: &str, #[case] finding: &str) {
    let text = example("kite-clubs/document.yaml");
    assert!(text.contains(from), "the example has no `{from}`");
    let findings = check::check("document.yaml", &text.replacen(from, to, 1));
    let shown = findings.expect_err("a finding").to_string();
    assert!(shown.contains(finding), "`{finding}` is not in:\n{shown}");
}

#[rstest]
fn all_findings_come_at_once_in_the_order_of_the_text() {
    let text = example("kite-clubs/document.yaml")
        .replace("checks_fencing: true", "checks_fencing: perhaps")
        .replace("share_percent: 90", "share_percent: 900")
        .replace("quality_target_percent: 80", "colour: red");
    let findings = check::check("d", &text).expect_err("findings");
    let lines: Vec<u64> = findings
        .to_string()
        .lines()
        .filter_map(|line| line.split(':').nth(1)?.parse().ok())
        .collect();
    assert!(lines.len() >= 4 && lines.is_sorted(), "{findings}");
}

#[rstest]
fn a_document_over_a_megabyte_is_refused() {
    let text = "#".repeat(check::DOCUMENT_MAX_BYTES + 1);
    let findings = check::check("d", &text).expect_err("a finding");
    assert!(findings.to_string().contains("bytes"), "{findings}");
}
