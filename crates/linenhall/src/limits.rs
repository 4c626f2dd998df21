//! Rate limits: the token bucket of an endpoint group, and the rules by which each of many relays keeps to
//! its share of a limit that all of them share. Rates are in calls a second, times in milliseconds.
//! docs/fleet.md compares alternatives.

use crate::fleet::EndpointGroup;

/// Capacity of the bucket, as the time in which the rate limit fills it; the bursts of all relays together
/// fit a short queue.
const BURST_MS: f64 = 300.0;
/// The rate limit where many relays share a reported limit, in even shares of it: least, initial and greatest
/// value.
const RATE_RANGE_IN_SHARES: (f64, f64, f64) = (0.9, 1.0, 2.0);
/// Change of the rate limit at a delivery: with much of the limit remaining, the increase in even shares;
/// with little remaining, the factor on the rate limit.
const RATE_STEP_FACTORS: (f64, f64) = (0.15, 0.9);
/// The remaining share of the limit above which much remains, and below which little remains.
const REMAINING_SHARE_BOUNDS: (f64, f64) = (0.7, 0.15);
/// Time constant of the mean that says how often this group has messages queued.
const QUEUED_SHARE_WINDOW_MS: f64 = 4000.0;
/// After a refusal nothing goes out for a time between the first two values, multiplied by the third from the
/// second consecutive refusal on.
const REFUSAL_BACKOFF_MS: (f64, f64, f64) = (100.0, 500.0, 1.5);
/// All refusals within this time reduce the rate limit only once.
pub(crate) const RATE_CUT_INTERVAL_MS: f64 = 500.0;

impl EndpointGroup {
    /// Adds the tokens for the time since the last refill.
    pub(crate) fn refill(&mut self, now: f64) {
        // Without a rate limit the bucket stays full: sends must not run up a debt that a later rate limit
        // would have to pay.
        self.tokens = self.rate_limit.map_or(1.0, |rate_limit| {
            // With many relays a full bucket holds one call, since the bursts of all relays come at the same
            // time in a rush.
            let max_tokens =
                (if self.shared_by_many { 0.0 } else { rate_limit * BURST_MS / 1000.0 }).max(1.0);
            (self.tokens + rate_limit * (now - self.refilled_at).max(0.0) / 1000.0).min(max_tokens)
        });
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns when the bucket holds a token for a call.
    pub(crate) fn token_ready_at(&self, now: f64) -> f64 {
        let Some(rate_limit) = self.rate_limit else { return now };
        let tokens = self.tokens + rate_limit * (now - self.refilled_at).max(0.0) / 1000.0;
        let wait_ms = (1.0 - tokens) / rate_limit.max(1e-6) * 1000.0;
        if wait_ms > 0.0 {
            now.max(self.refilled_at) + wait_ms
        } else {
            now
        }
    }

    /// Many relays: a limit was reported, and `even_share` is this relay's share of it; `previous` is the
    /// share of the limit reported before. The rate limit keeps its ratio to the share.
    pub(crate) fn rescale_rate_limit(&mut self, previous: Option<f64>, even_share: f64) {
        let ratio = self
            .rate_limit
            .zip(previous)
            .map_or(RATE_RANGE_IN_SHARES.1, |(rate_limit, previous)| rate_limit / previous);
        (self.rate_limit, self.shared_by_many) = (Some(ratio * even_share), true);
    }

    /// Many relays: a call was delivered. With much of the limit remaining the rate limit rises above the
    /// even share, but only as far as this relay seldom has messages queued. All relays get similar traffic,
    /// so the share of time in which this relay has a queue stands for the share of relays that need more at
    /// the moment. Without this bound all relays rise together while all have a backlog, and are refused
    /// together. The cost: one relay that alone has much to send gets less than it could.
    pub(crate) fn adjust_rate_limit(&mut self, now: f64, even_share: f64, has_queued: bool) {
        let weight = 1.0 - (-(now - self.queued_share_at).max(0.0) / QUEUED_SHARE_WINDOW_MS).exp();
        self.queued_share += (f64::from(u8::from(has_queued)) - self.queued_share) * weight;
        self.queued_share_at = now;
        let max_rate = even_share
            * (1.0 / self.queued_share.max(0.01)).clamp(RATE_RANGE_IN_SHARES.1, RATE_RANGE_IN_SHARES.2);
        self.rate_limit = self.rate_limit.map(|rate_limit| match self.remaining_share {
            _ if rate_limit > max_rate => max_rate,
            remaining if remaining > REMAINING_SHARE_BOUNDS.0 => {
                (rate_limit + RATE_STEP_FACTORS.0 * even_share).min(max_rate)
            }
            remaining if remaining < REMAINING_SHARE_BOUNDS.1 => {
                (rate_limit * RATE_STEP_FACTORS.1).max(RATE_RANGE_IN_SHARES.0 * even_share)
            }
            _ => rate_limit,
        });
    }

    /// Many relays: a call was refused. Other relays were refused at the same moment, and a Retry-After ends
    /// for all of them at the same time. So each relay resumes at a time of its own, spread over the time
    /// that one call takes at its share of the limit. `random` and `random_tokens` lie between 0 and 1.
    pub(crate) fn cut_rate_limit(&mut self, now: f64, even_share: f64, random: f64, random_tokens: [f64; 2]) {
        let previous = self.rate_limit.unwrap_or(even_share)
            * if now - self.rate_cut_at > RATE_CUT_INTERVAL_MS { 0.5 } else { 1.0 };
        let rate_limit =
            previous.clamp(RATE_RANGE_IN_SHARES.0 * even_share, RATE_RANGE_IN_SHARES.1 * even_share);
        let backoff_ms = REFUSAL_BACKOFF_MS.0 + (REFUSAL_BACKOFF_MS.1 - REFUSAL_BACKOFF_MS.0) * random;
        let backoff_ms = backoff_ms * if self.consecutive_refusals > 1 { REFUSAL_BACKOFF_MS.2 } else { 1.0 };
        self.refill(now);
        let previous_tokens = self.tokens;
        let retry_after_received = self.retry_after_until > now;
        self.tokens =
            if retry_after_received { random_tokens[0] } else { previous_tokens.min(0.0) - random_tokens[1] };
        (self.rate_limit, self.rate_cut_at) = (Some(rate_limit), now);
        self.backoff_until = self.retry_after_until.max(now) + backoff_ms;
        self.refilled_at = self.refilled_at.max(self.retry_after_until);
        self.bucket_emptied_until =
            self.refilled_at + (previous_tokens - self.tokens).max(0.0) / rate_limit.max(1e-6) * 1000.0;
    }
}
