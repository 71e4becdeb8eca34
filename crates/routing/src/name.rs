//! Name types: immutable strings that are cheap to clone, with a distinct type for each kind of
//! name.

use std::borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl<T> From<T> for $name
        where
            T: Into<Arc<str>>,
        {
            fn from(text: T) -> Self {
                Self(text.into())
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name!(
    /// A data centre.
    DataCentre
);
name!(
    /// A region of data centres.
    Region
);
name!(
    /// A router host; a process that replaces another on the same host keeps the name.
    HostName
);
name!(
    /// One run of a backend server.
    ServerId
);
name!(
    /// A service: a group of backend servers that differ only in their software version.
    ServiceName
);
name!(
    /// A version of a service's software.
    Version
);
name!(
    /// A model that engines serve.
    ModelName
);
name!(
    /// An organisation that sends requests.
    OrganisationName
);
name!(
    /// A route of the configuration.
    RouteName
);
