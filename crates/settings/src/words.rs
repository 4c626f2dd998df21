//! The words of the platform's settings, whichever way they come.

use linenhall::{DedupScope, Effect, ValueDecay, WeightMeaning};

/// What a repeat may do.
pub const EFFECTS: [(&str, Effect); 3] =
    [("retryable", Effect::Safe), ("dedup", Effect::Keyed), ("fragile", Effect::Unsafe)];
/// Which endpoints drop a repeat; the first where it is left out.
pub const DEDUP_SCOPES: [(&str, DedupScope); 3] =
    [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Endpoint)];
/// How worth falls; the first where it is left out.
pub const VALUE_DECAYS: [(&str, ValueDecay); 2] =
    [("even", ValueDecay::Linear), ("by_half", ValueDecay::Halving)];
/// What weights mean; the first where it is left out.
pub const WEIGHTS: [(&str, WeightMeaning); 4] = [
    ("none", WeightMeaning::Ignored),
    ("nominal", WeightMeaning::Rate),
    ("rough", WeightMeaning::RoughRate),
    ("live", WeightMeaning::Ignored),
];
/// Whether the list has to be asked for, and each call costs discovery something. Where it is pushed, an agent on the
/// relay's own machine has it and answers at no cost; the first where it is left out.
pub const DISCOVERY: [(&str, bool); 2] = [("push", false), ("ask", true)];
