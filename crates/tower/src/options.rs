//! Options of a call, and the table of options by path.

use std::collections::HashMap;
use std::time::Duration;

/// Options of a call. They are set in the request's extensions or in [`Methods`] for the request's path; a
/// field that is `None` in the extensions is taken from [`Methods`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallOptions {
    /// Name of the call's class. Required.
    pub class: Option<String>,
    /// Name of the tenant. Defaults to the first tenant.
    pub tenant: Option<String>,
    /// Number of the destination. Required.
    pub destination: Option<u64>,
    /// Time within which the call can be delivered. Defaults to the deadline of the class and is limited by
    /// it.
    pub budget: Option<Duration>,
    /// Idempotency key by which partners recognise repeats. Required for classes with the effect keyed.
    pub key: Option<String>,
    /// Order key: in classes that keep the order, calls with the same key are sent one at a time.
    pub order_key: Option<String>,
    /// The caller's id for the call, at most 256 bytes. Generated if `None`. While a call with this id is
    /// open, a second call with the same id joins it and gets the same answer. A call that may have run and must
    /// not run again is remembered for a minute after its end; a second one with its id then fails.
    pub call_id: Option<String>,
}

impl CallOptions {
    /// Returns options with the given class and destination.
    pub fn new(class: impl Into<String>, destination: u64) -> CallOptions {
        CallOptions { class: Some(class.into()), destination: Some(destination), ..CallOptions::default() }
    }

    /// Sets the tenant.
    pub fn tenant(mut self, tenant: impl Into<String>) -> CallOptions {
        self.tenant = Some(tenant.into());
        self
    }

    /// Sets the budget.
    pub fn budget(mut self, budget: Duration) -> CallOptions {
        self.budget = Some(budget);
        self
    }

    /// Sets the idempotency key.
    pub fn key(mut self, key: impl Into<String>) -> CallOptions {
        self.key = Some(key.into());
        self
    }

    /// Sets the order key.
    pub fn order_key(mut self, key: impl Into<String>) -> CallOptions {
        self.order_key = Some(key.into());
        self
    }

    /// Sets the call id.
    pub fn call_id(mut self, id: impl Into<String>) -> CallOptions {
        self.call_id = Some(id.into());
        self
    }

    /// Fills the fields that are `None` from `defaults`.
    pub(crate) fn with_defaults(self, defaults: Option<&CallOptions>) -> CallOptions {
        let Some(defaults) = defaults else { return self };
        CallOptions {
            class: self.class.or_else(|| defaults.class.clone()),
            tenant: self.tenant.or_else(|| defaults.tenant.clone()),
            destination: self.destination.or(defaults.destination),
            budget: self.budget.or(defaults.budget),
            key: self.key.or_else(|| defaults.key.clone()),
            order_key: self.order_key.or_else(|| defaults.order_key.clone()),
            call_id: self.call_id.or_else(|| defaults.call_id.clone()),
        }
    }
}

/// Table of options by path, such as `/orders.Orders/Place`. A path that ends in `/` applies to all paths
/// that begin with it; the longest match wins.
#[derive(Clone, Debug, Default)]
pub struct Methods(HashMap<String, CallOptions>);

impl Methods {
    /// Sets the options for a path.
    pub fn with(mut self, path: impl Into<String>, options: CallOptions) -> Methods {
        self.0.insert(path.into(), options);
        self
    }

    /// Returns the options that apply to a path.
    pub fn of(&self, path: &str) -> Option<&CallOptions> {
        if let Some(found) = self.0.get(path) {
            return Some(found);
        }
        let prefix = path.rmatch_indices('/').find_map(|(at, _)| self.0.get(&path[..=at]));
        prefix.or_else(|| self.0.get("/"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against options of a shorter matching path, or of the table, replacing more specific ones.
    #[test]
    fn longest_path_wins_and_extensions_override_table() {
        let methods = Methods::default()
            .with("/", CallOptions::new("safe", 1))
            .with("/orders.Orders/", CallOptions::new("keyed", 2).tenant("acme"))
            .with("/orders.Orders/Place", CallOptions::new("unsafe", 3));
        let class = |path: &str| methods.of(path).and_then(|o| o.class.clone());
        assert_eq!(class("/orders.Orders/Place").as_deref(), Some("unsafe"));
        assert_eq!(class("/orders.Orders/List").as_deref(), Some("keyed"));
        assert_eq!(class("/stock.Stock/Set").as_deref(), Some("safe"));
        let own = CallOptions { destination: Some(9), ..CallOptions::default() };
        let merged = own.with_defaults(methods.of("/orders.Orders/List"));
        assert_eq!((merged.class.as_deref(), merged.destination), (Some("keyed"), Some(9)));
        assert_eq!(merged.tenant.as_deref(), Some("acme"));
    }
}
