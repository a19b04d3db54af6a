//! Parsing and formatting of the W3C trace context.

use acaciaringd::trace::TraceContext;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const VALID: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[test]
fn later_versions_are_read_and_invalid_values_are_not() {
    let context = TraceContext::parse(VALID).expect("valid");
    assert_eq!(context.to_string(), VALID);
    let later = VALID.replacen("00", "cc", 1) + "-what-the-future-brings";
    assert_eq!(TraceContext::parse(&later), Some(context));
    let invalid = [
        VALID.replacen("00", "ff", 1),
        VALID.to_uppercase(),
        VALID.to_owned() + "-more",
        VALID.replace("b7ad6b7169203331", "0000000000000000"),
        VALID.replace("0af7651916cd43dd8448eb211c80319c", &"0".repeat(32)),
        VALID.replacen('-', "_", 1),
        VALID[..54].to_owned(),
    ];
    for value in invalid {
        assert_eq!(TraceContext::parse(&value), None, "{value}");
    }
}

#[test]
fn child_keeps_the_trace_alone() {
    let context = TraceContext::new();
    let child = context.child();
    assert_eq!(child.trace, context.trace);
    assert_ne!(child.span, context.span);
    assert_ne!(TraceContext::new().trace, context.trace);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn reads_what_it_writes(trace in any::<[u8; 16]>(), span in any::<[u8; 8]>(), flags: u8) {
        prop_assume!(trace != [0; 16] && span != [0; 8]);
        let context = TraceContext { trace, span, flags };
        prop_assert_eq!(TraceContext::parse(&context.to_string()), Some(context));
    }

    #[test]
    fn reads_any_text_without_panic(value in "\\PC{0,80}", at in 0..55_usize, char: char) {
        let _ = TraceContext::parse(&value);
        let corrupted = VALID[..at].to_owned() + &char.to_string() + &VALID[at + 1..];
        let written = TraceContext::parse(&corrupted).map(|context| context.to_string());
        let version = |text: &str| text.get(2..).map(str::to_owned);
        prop_assert!(written.is_none_or(|text| version(&text) == version(&corrupted)));
    }
}
