//! Retry budget of a kind of work.

/// Maximum number of tokens in a budget.
const MAX_TOKENS: f64 = 10.0;

/// Token budget for retries and hedged attempts: each first attempt adds a fraction of a token,
/// each further attempt takes a whole token.
///
/// It starts empty, so that further attempts never exceed that fraction of the first attempts.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Records a first attempt; `share` is the allowed ratio of further attempts, from 0 to 1.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(MAX_TOKENS);
    }

    /// Whether the budget covers one further attempt.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token for one further attempt; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let has_token = self.has_token();
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Number of further attempts that the budget covers.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
