//! The text that engine stand-ins produce, so that a caller can tell a whole answer of its own.

use sha2::{Digest, Sha256};

const WORDS: [&str; 16] = [
    "rice", "dal", "mishti", "handi", "dock", "van", "claim", "lot", "coat", "groom", "poodle",
    "kiosk", "salon", "vet", "flag", "pickup",
];

/// Bytes of a prompt that make one token.
const TOKEN_BYTES: usize = 4;

/// The word at a place of the answer to a prompt.
pub fn expected_token(prompt: &str, place: usize) -> String {
    let mut hasher = Sha256::new();
    hasher.update(prompt.as_bytes());
    hasher.update((place as u64).to_le_bytes());
    let digest = hasher.finalize();
    let pick = usize::from(digest[0]) % WORDS.len();
    format!("{}{:02x} ", WORDS[pick], digest[1])
}

/// The whole answer of `tokens` tokens to a prompt.
pub fn expected_text(prompt: &str, tokens: usize) -> String {
    (0..tokens)
        .map(|place| expected_token(prompt, place))
        .collect()
}

/// Tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(TOKEN_BYTES).max(1) as u32
}
