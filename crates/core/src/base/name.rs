//! Names, stored as shared immutable strings.

use std::{borrow::Borrow, fmt, ops::Deref, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! define_name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text`.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, formatter)
            }
        }
    };
}

define_name! {
    /// Name of a prepaid token budget.
    BudgetName
}
define_name! {
    /// Name of a customer, who owns budgets and API keys.
    CustomerName
}
define_name! {
    /// Name of a failure domain.
    DomainName
}
define_name! {
    /// Name of an environment, such as `trial` or `production`.
    EnvironmentName
}
define_name! {
    /// Name of a router instance.
    InstanceName
}
define_name! {
    /// Name of a model that engines serve.
    ModelName
}
define_name! {
    /// Name of a region, which consists of failure domains.
    RegionName
}
define_name! {
    /// Name of a non-model service behind the router.
    ServiceName
}
define_name! {
    /// Name of an upstream: one model engine or one instance of a service.
    UpstreamName
}
