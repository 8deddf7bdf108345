//! The test macro and the stand-ins shared by the crates of this workspace.

mod link;

pub use link::limit_link;

/// Expands each case of a table test to a test of its own, so that a failure names the case.
///
/// `cases! { check; name: args => expected, ... }` expands to one `#[test]` per case,
/// which asserts `check(args) == expected`.
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
