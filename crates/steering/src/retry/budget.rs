//! Retry budget of a kind of work.

/// Tokens that a budget holds at most.
const MAX_TOKENS: f64 = 10.0;

/// Budget for retries and second attempts: each first attempt adds a fraction of a token, each
/// further attempt takes a whole one.
///
/// It starts empty, so that further attempts never exceed that fraction of the first attempts.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Records a first attempt; `share` is the fraction of further attempts allowed, 0 to 1.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(MAX_TOKENS);
    }

    /// Whether one further attempt is covered.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of one further attempt; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let covered = self.has_token();
        if covered {
            self.tokens -= 1.0;
        }
        covered
    }

    /// Further attempts that are covered now.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
