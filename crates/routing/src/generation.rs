//! What a model engine is asked to generate.

/// What is to be generated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GenerationRequest {
    /// Whether the router chooses the model.
    pub router_selects_model: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that are generated.
    pub output_max_tokens: u64,
    /// The caller's estimate of the tokens that are generated.
    pub output_hint_tokens: Option<u64>,
    /// Parts of the prompt in order; the last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

impl GenerationRequest {
    /// The parts that other requests may share.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
