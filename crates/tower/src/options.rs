//! What a call is.

use std::collections::HashMap;
use std::time::Duration;

/// What the relay has to know of a call. It stands in the request's extensions, or in [`Methods`] for its path;
/// what the extensions leave out is taken from there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallOptions {
    /// Name of its class. Needed.
    pub class: Option<String>,
    /// Name of its tenant; else the first.
    pub tenant: Option<String>,
    /// Where it is for. Needed.
    pub destination: Option<u64>,
    /// It may be delivered for so long; no longer than its class says, which also holds if this is left out.
    pub budget: Option<Duration>,
    /// What partners know a repeat by. Needed for classes of that kind.
    pub key: Option<String>,
    /// Calls of a class in order with the same key go one at a time.
    pub order_key: Option<String>,
    /// The caller's id for it, 256 bytes at most; else one is made. While a call under this id is open, a second
    /// one is the same call and gets the same answer.
    pub call_id: Option<String>,
}

impl CallOptions {
    /// A call of this class to this destination.
    pub fn new(class: impl Into<String>, destination: u64) -> CallOptions {
        CallOptions { class: Some(class.into()), destination: Some(destination), ..CallOptions::default() }
    }

    /// With a tenant.
    pub fn tenant(mut self, tenant: impl Into<String>) -> CallOptions {
        self.tenant = Some(tenant.into());
        self
    }

    /// With a budget.
    pub fn budget(mut self, budget: Duration) -> CallOptions {
        self.budget = Some(budget);
        self
    }

    /// With a key by which partners know a repeat.
    pub fn key(mut self, key: impl Into<String>) -> CallOptions {
        self.key = Some(key.into());
        self
    }

    /// With a key within which calls go in order.
    pub fn order_key(mut self, key: impl Into<String>) -> CallOptions {
        self.order_key = Some(key.into());
        self
    }

    /// With an id of the caller's own.
    pub fn call_id(mut self, id: impl Into<String>) -> CallOptions {
        self.call_id = Some(id.into());
        self
    }

    /// This, and what it leaves out from `other`.
    pub(crate) fn or(self, other: Option<&CallOptions>) -> CallOptions {
        let Some(other) = other else { return self };
        CallOptions {
            class: self.class.or_else(|| other.class.clone()),
            tenant: self.tenant.or_else(|| other.tenant.clone()),
            destination: self.destination.or(other.destination),
            budget: self.budget.or(other.budget),
            key: self.key.or_else(|| other.key.clone()),
            order_key: self.order_key.or_else(|| other.order_key.clone()),
            call_id: self.call_id.or_else(|| other.call_id.clone()),
        }
    }
}

/// Options by path, as in `/orders.Orders/Place`. A path that ends in `/` holds for all below it; the longest wins.
#[derive(Clone, Debug, Default)]
pub struct Methods(HashMap<String, CallOptions>);

impl Methods {
    /// With options for a path.
    pub fn with(mut self, path: impl Into<String>, options: CallOptions) -> Methods {
        self.0.insert(path.into(), options);
        self
    }

    /// What stands for a path.
    pub fn of(&self, path: &str) -> Option<&CallOptions> {
        if let Some(found) = self.0.get(path) {
            return Some(found);
        }
        let below = path.rmatch_indices('/').find_map(|(at, _)| self.0.get(&path[..=at]));
        below.or_else(|| self.0.get("/"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_path_wins_and_extensions_come_first() {
        let methods = Methods::default()
            .with("/", CallOptions::new("safe", 1))
            .with("/orders.Orders/", CallOptions::new("keyed", 2).tenant("acme"))
            .with("/orders.Orders/Place", CallOptions::new("unsafe", 3));
        let class = |path: &str| methods.of(path).and_then(|o| o.class.clone());
        assert_eq!(class("/orders.Orders/Place").as_deref(), Some("unsafe"));
        assert_eq!(class("/orders.Orders/List").as_deref(), Some("keyed"));
        assert_eq!(class("/stock.Stock/Set").as_deref(), Some("safe"));
        let own = CallOptions { destination: Some(9), ..CallOptions::default() };
        let all = own.or(methods.of("/orders.Orders/List"));
        assert_eq!((all.class.as_deref(), all.destination), (Some("keyed"), Some(9)));
        assert_eq!(all.tenant.as_deref(), Some("acme"));
    }
}
