//! Numbered log events.

/// Defines the complete list of a crate's log events, each with its number, level and fixed text.
#[macro_export]
macro_rules! define_log_events {
    ($(#[$list_meta:meta])* $list:ident; $($(#[$meta:meta])* $name:ident => $number:literal, $level:ident, $text:literal;)*) => {
        $(#[$list_meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $list {
            $($(#[$meta])* $name,)*
        }

        impl $list {
            /// All events, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number in the log line, without the letter `E`.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the level at which the event is logged.
            #[must_use]
            pub const fn level(self) -> $crate::log::Level {
                match self { $(Self::$name => $crate::log::Level::$level,)* }
            }

            /// Returns the fixed part of the log line.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}
