//! Deterministic answers of the engine stand-ins.
//!
//! A caller can compute the expected answer to its prompt, and so detect an answer that is
//! incomplete or belongs to another request.

use sha2::{Digest, Sha256};

const WORDS: [&str; 16] = [
    "rice", "dal", "mishti", "handi", "dock", "van", "claim", "lot", "coat", "groom", "poodle",
    "kiosk", "salon", "vet", "flag", "pickup",
];

/// Number of prompt bytes that count as one token.
const TOKEN_BYTES: usize = 4;

/// Returns the token at a position of the answer to a prompt.
pub fn expected_token(prompt: &str, position: usize) -> String {
    let mut hasher = Sha256::new();
    hasher.update(prompt.as_bytes());
    hasher.update((position as u64).to_le_bytes());
    let digest = hasher.finalize();
    let index = usize::from(digest[0]) % WORDS.len();
    format!("{}{:02x} ", WORDS[index], digest[1])
}

/// Returns the answer to a prompt, `tokens` tokens long.
pub fn expected_text(prompt: &str, tokens: usize) -> String {
    (0..tokens)
        .map(|position| expected_token(prompt, position))
        .collect()
}

/// Number of tokens in a prompt, at least 1.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(TOKEN_BYTES).max(1) as u32
}
