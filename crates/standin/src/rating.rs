//! Stand-in for the rating service: it rates responses of cheap models to hard prompts low.

use std::net;
use std::sync::Arc;
use std::sync::atomic;

use poem::web;
use serde::Deserialize;

use crate::server;

/// A prompt that contains this word is too hard for a cheap model.
pub const HARD_WORD: &str = "hard";
/// A model whose name contains one of these words is a cheap one.
const CHEAP_MODEL_WORDS: [&str; 2] = ["small", "reader"];

#[derive(Debug)]
#[derive(Deserialize)]
struct RatingRequest {
    item: String,
    prompt: String,
}

/// Serves the rating service at an address.
///
/// # Errors
/// The address is in use or does not belong to this machine.
pub async fn serve(address: net::SocketAddr) -> std::io::Result<server::RunningServer> {
    let routes = poem::Route::new().at("/v1/rate", poem::post(rate));
    server::serve(address, routes, Arc::new(atomic::AtomicBool::new(false))).await
}

#[poem::handler]
fn rate(web::Json(request): web::Json<RatingRequest>) -> web::Json<serde_json::Value> {
    let is_cheap = CHEAP_MODEL_WORDS.iter().any(|word| request.item.contains(word));
    let is_inadequate = is_cheap && request.prompt.contains(HARD_WORD);
    let score_percent = if is_inadequate { 40 } else { 95 };
    web::Json(serde_json::json!({ "score_percent": score_percent }))
}
