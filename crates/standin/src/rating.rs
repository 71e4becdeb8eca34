//! A stand-in of the rating service: cheap models fail on hard prompts.

use std::net;
use std::sync::Arc;
use std::sync::atomic;

use poem::web;
use serde::Deserialize;

use crate::server;

/// A prompt with this word is too hard for a cheap model.
pub const HARD_WORD: &str = "hard";
/// Models with one of these words in their name are the cheap ones.
const WEAK_WORDS: [&str; 2] = ["small", "reader"];

#[derive(Debug)]
#[derive(Deserialize)]
struct Question {
    item: String,
    prompt: String,
}

/// Serves the rating service at an address.
///
/// # Errors
/// The address is in use or not one of this machine.
pub async fn serve(address: net::SocketAddr) -> std::io::Result<server::RunningServer> {
    let routes = poem::Route::new().at("/v1/rate", poem::post(rate));
    server::serve(address, routes, Arc::new(atomic::AtomicBool::new(false))).await
}

#[poem::handler]
fn rate(web::Json(question): web::Json<Question>) -> web::Json<serde_json::Value> {
    let is_cheap = WEAK_WORDS.iter().any(|word| question.item.contains(word));
    let is_weak = is_cheap && question.prompt.contains(HARD_WORD);
    let score_percent = if is_weak { 40 } else { 95 };
    web::Json(serde_json::json!({ "score_percent": score_percent }))
}
