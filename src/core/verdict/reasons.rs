//! Macro for enums of reasons with stable names.

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
            /// All reasons in declaration order.
            #[allow(dead_code)]
            pub(crate) const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// The stable name used in responses, logs and metrics.
            pub(crate) const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }
    };
}

pub(crate) use reasons;
