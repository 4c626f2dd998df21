//! Limits and paces: the bucket of a lane, and the law by which each of many relays keeps to its part of a
//! limit that all share. Rates in calls a second, times in milliseconds. What was compared: docs/fleet.md.

use crate::fleet::EndpointGroup;

/// What the bucket holds, at the pace: those of all relays fit a short queue.
const BURST_MS: f64 = 300.0;
/// Of the even part of a told limit: the least pace, the first, the most.
const SHARE: (f64, f64, f64) = (0.9, 1.0, 2.0);
/// For a delivery, in even parts, with much left of the limit; of the pace, with little.
const RISE: (f64, f64) = (0.15, 0.9);
/// Of the limit that is left: much, little.
const LEFT: (f64, f64) = (0.7, 0.15);
/// How long it is remembered how often this lane had something held.
const BUSY_MS: f64 = 4000.0;
/// After a refusal nothing goes out for a time between these; so many times it from the second in a row on.
const QUIET_MS: (f64, f64, f64) = (100.0, 500.0, 1.5);
/// Refusals within this time cut the pace once.
pub(crate) const CUT_MS: f64 = 500.0;

impl EndpointGroup {
    pub(crate) fn refill(&mut self, now: f64) {
        // With no pace set the bucket stays full: sends must not run up a debt that a later pace would pay.
        self.tokens = self.pace.map_or(1.0, |pace| {
            // Among many a full bucket holds one call: what all hold together comes at once in a rush.
            let most = (if self.crowd { 0.0 } else { pace * BURST_MS / 1000.0 }).max(1.0);
            (self.tokens + pace * (now - self.filled).max(0.0) / 1000.0).min(most)
        });
        self.filled = self.filled.max(now);
    }

    /// When the bucket has a call in it.
    pub(crate) fn ready(&self, now: f64) -> f64 {
        let Some(pace) = self.pace else { return now };
        let have = self.tokens + pace * (now - self.filled).max(0.0) / 1000.0;
        let need = (1.0 - have) / pace.max(1e-6) * 1000.0;
        if need > 0.0 {
            now.max(self.filled) + need
        } else {
            now
        }
    }

    /// Among many relays: a limit was told, of which this is the even part; `had` was that of the one before.
    /// The pace keeps its relation to it.
    pub(crate) fn share_told(&mut self, had: Option<f64>, part: f64) {
        let relation = self.pace.zip(had).map_or(SHARE.1, |(pace, had)| pace / had);
        (self.pace, self.crowd) = (Some(relation * part), true);
    }

    /// Among many relays: a call was delivered. With much of the limit left the pace rises above the even
    /// part, but only as far as this relay seldom has anything held: all get their messages alike, so the
    /// share of its time stands for the share of the relays that ask for more just now. Without that, all
    /// rise together while all have a backlog, and are refused together. One relay that alone has much to
    /// send gets less than it could.
    pub(crate) fn share_delivered(&mut self, now: f64, part: f64, held: bool) {
        let weight = 1.0 - (-(now - self.heard_at).max(0.0) / BUSY_MS).exp();
        self.busy += (f64::from(u8::from(held)) - self.busy) * weight;
        self.heard_at = now;
        let most = part * (1.0 / self.busy.max(0.01)).clamp(SHARE.1, SHARE.2);
        self.pace = self.pace.map(|pace| match self.left {
            _ if pace > most => most,
            left if left > LEFT.0 => (pace + RISE.0 * part).min(most),
            left if left < LEFT.1 => (pace * RISE.1).max(SHARE.0 * part),
            _ => pace,
        });
    }

    /// Among many relays: a call was refused. Others were at the same moment, and a told wait ends for all of
    /// them at the same: so each comes back at a time of its own, spread over what its part of the limit
    /// takes for a call. `random` and `more` lie in 0 to 1.
    pub(crate) fn share_refused(&mut self, now: f64, part: f64, random: f64, more: [f64; 2]) {
        let had = self.pace.unwrap_or(part) * if now - self.cut_at > CUT_MS { 0.5 } else { 1.0 };
        let pace = had.clamp(SHARE.0 * part, SHARE.1 * part);
        let quiet = QUIET_MS.0 + (QUIET_MS.1 - QUIET_MS.0) * random;
        let quiet = quiet * if self.fulls > 1 { QUIET_MS.2 } else { 1.0 };
        self.refill(now);
        let had = self.tokens;
        let told = self.wait_until > now;
        self.tokens = if told { more[0] } else { had.min(0.0) - more[1] };
        (self.pace, self.cut_at) = (Some(pace), now);
        self.quiet_until = self.wait_until.max(now) + quiet;
        self.filled = self.filled.max(self.wait_until);
        self.emptied_until = self.filled + (had - self.tokens).max(0.0) / pace.max(1e-6) * 1000.0;
    }
}
