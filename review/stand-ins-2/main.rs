//! Stand-ins and cases of the second review; see `review/REPORT-2.md`.

mod cases;
mod fleet;
mod http;
mod json;
mod server;
mod store;
mod window;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["server", id, rest @ ..] => {
            let number = |name: &str| -> u64 {
                let value = rest.iter().find_map(|word| word.strip_prefix(&format!("{name}=")));
                value.and_then(|text| text.parse().ok()).unwrap_or(0)
            };
            let server = server::Server {
                id: (*id).to_owned(),
                answer_ms: number("answer_ms"),
                body_bytes: number("body_bytes") as usize,
                parts: (number("parts") as usize, number("part_ms")),
                events: (number("events"), number("gap_ms")),
                endless_per_s: number("endless_per_s"),
                unframed_each: number("unframed_each"),
                runs: Default::default(),
                is_quiet: rest.contains(&"quiet"),
            };
            server::run(server).unwrap();
        }
        ["case", number] => {
            let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            std::process::exit(match cases::run(number, has_trouble) {
                Ok(cases::Outcome::Held) => 0,
                Ok(cases::Outcome::Broken) => 1,
                Err(error) => {
                    eprintln!("the case could not run: {error}");
                    2
                }
            });
        }
        _ => std::process::exit(2),
    }
}
