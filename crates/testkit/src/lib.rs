//! The one macro that the tests of this workspace share.

/// Names each case of a table test, so that a failure reports the case and not the loop.
///
/// `cases! { check; name: args => expected, ... }` expands to one `#[test]` per line
/// that asserts `check(args) == expected`.
#[macro_export]
macro_rules! cases {
    ($check:path; $($name:ident: $arg:expr => $want:expr),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                assert_eq!($check($arg), $want);
            }
        )+
    };
}
