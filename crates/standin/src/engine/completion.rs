//! Deterministic completions, so that tests can compare the complete text.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Text in a prompt that crashes the engine when it runs the prompt.
pub const CRASH_MARKER: &str = "[crash]";

/// Text in a prompt that sets the length of its completion, as `[tokens=N]`.
const LENGTH_MARKER: &str = "[tokens=";

/// Minimum and maximum completion length for prompts without a length marker, in tokens.
const DEFAULT_LENGTH_RANGE: (u64, u64) = (8, 64);

/// Bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// The vocabulary of the completions, one token per word.
const WORDS: [&str; 16] = [
    "amber ", "birch ", "cedar ", "delta ", "ember ", "fjord ", "grove ", "harbour ", "island ",
    "juniper ", "kelp ", "larch ", "meadow ", "north ", "orchard ", "pine ",
];

/// A prompt with everything that its completion is derived from.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The message contents, joined with line feeds.
    pub text: String,
    /// The number of prompt tokens.
    pub tokens: u64,
    /// The length of the completion without a token limit, in tokens.
    pub completion_length: u64,
    seed: u64,
}

impl Prompt {
    /// Creates a prompt from its text.
    #[must_use]
    pub fn new(text: String) -> Self {
        let seed = xxh3_64_with_seed(text.as_bytes(), 0);
        Self {
            tokens: prompt_tokens(&text),
            completion_length: parse_length_marker(&text).unwrap_or_else(|| default_length(seed)),
            seed,
            text,
        }
    }

    /// Returns the hash that identifies the prompt.
    pub(crate) fn id(&self) -> u64 {
        self.seed
    }

    /// Returns the completion token at `index`, starting from 0.
    #[must_use]
    pub fn token(&self, index: u64) -> &'static str {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        WORDS[(hash % WORDS.len() as u64) as usize]
    }

    /// Returns the first `count` tokens of the completion as text.
    #[must_use]
    pub fn completion(&self, count: u64) -> String {
        (0..count).map(|index| self.token(index)).collect()
    }
}

/// Returns the completion for a prompt with the given message contents.
#[must_use]
pub fn completion_text(contents: &[&str], max_tokens: u64) -> String {
    let prompt = Prompt::new(contents.join("\n"));
    prompt.completion(prompt.completion_length.min(max_tokens))
}

/// Returns the completion length for a prompt with the given message contents, in tokens.
#[must_use]
pub fn completion_tokens(contents: &[&str], max_tokens: u64) -> u64 {
    Prompt::new(contents.join("\n"))
        .completion_length
        .min(max_tokens)
}

/// Returns the number of prompt tokens of a text.
#[must_use]
pub fn prompt_tokens(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64
}

fn default_length(seed: u64) -> u64 {
    DEFAULT_LENGTH_RANGE.0 + seed % (DEFAULT_LENGTH_RANGE.1 - DEFAULT_LENGTH_RANGE.0 + 1)
}

fn parse_length_marker(text: &str) -> Option<u64> {
    let (_, rest) = text.split_once(LENGTH_MARKER)?;
    rest.split_once(']')?.0.parse().ok()
}
