//! Generation requests to model engines.

/// The parameters of a generation request that routing depends on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GenerationRequest {
    /// Whether the router chooses the model.
    pub router_selects_model: bool,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub output_max_tokens: u64,
    /// The caller's estimate of the number of tokens to generate.
    pub output_hint_tokens: Option<u64>,
    /// Parts of the prompt in order; the last one belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt, which engines can cache as a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u64,
}

impl GenerationRequest {
    /// The parts that other requests may have in common with this one.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
