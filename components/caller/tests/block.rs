//! The notation of blocks.

use caller::{format_block, parse_block};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_formatted_block_parses_to_the_same_number(block in 0..1u32 << 24) {
        prop_assert_eq!(parse_block(&format_block(block)), Some(block));
    }

    #[test]
    fn no_text_makes_the_parser_panic(text in ".*") {
        let _ = parse_block(&text);
    }
}

#[test]
fn only_networks_of_24_bits_are_blocks() {
    assert_eq!(parse_block("10.0.3.0/24"), Some(0x000a_0003));
    for text in ["10.0.3.0", "10.0.3.1/24", "10.0.0.0/16", "10.0.3.0/024", "::/24", ""] {
        assert_eq!(parse_block(text), None, "{text}");
    }
}
