//! The keywords of the platform's settings, in whichever form the settings come.

use linenhall::{DedupScope, Effect, ValueDecay, WeightMeaning};

/// Effect of a repeat. There is no default.
pub const EFFECTS: [(&str, Effect); 3] =
    [("retryable", Effect::Safe), ("dedup", Effect::Keyed), ("fragile", Effect::Unsafe)];
/// Which endpoints drop a repeat. The first is the default.
pub const DEDUP_SCOPES: [(&str, DedupScope); 3] =
    [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Endpoint)];
/// How the value of a message decays after its aim. The first is the default.
pub const VALUE_DECAYS: [(&str, ValueDecay); 2] =
    [("even", ValueDecay::Linear), ("by_half", ValueDecay::Halving)];
/// What the weights of endpoints mean. The first is the default.
pub const WEIGHTS: [(&str, WeightMeaning); 4] = [
    ("none", WeightMeaning::Ignored),
    ("nominal", WeightMeaning::Rate),
    ("rough", WeightMeaning::RoughRate),
    ("live", WeightMeaning::Ignored),
];
/// Whether the list has to be polled, where each poll costs the discovery service something. Where it is
/// pushed, an agent on the relay's machine holds it and answers at no cost. The first is the default.
pub const DISCOVERY: [(&str, bool); 2] = [("push", false), ("ask", true)];
