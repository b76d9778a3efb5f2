//! A macro for closed sets of reasons, so that each has a stable name for answers and counters.

/// Declares an enum of reasons with `ALL` and `as_str`.
macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident => $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub(crate) enum $name {
            $($(#[$doc])* $variant,)+
        }

        impl $name {
            /// Every reason, in the order of declaration.
            #[allow(dead_code)]
            pub(crate) const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// The name used in answers, logs and counters.
            pub(crate) const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }
    };
}

pub(crate) use reasons;
