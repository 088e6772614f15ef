//! A body is checked against its declared length, whatever its chunks are.

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use proptest::prelude::*;
use upstream::{Failure, check_length};

fn read(chunks: Vec<Bytes>, declared: u64) -> Result<Vec<u8>, Failure> {
    let body = Box::pin(stream::iter(chunks.into_iter().map(Ok)));
    let mut checked = check_length(body, declared);
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let mut body_bytes = Vec::new();
        while let Some(chunk) = checked.next().await {
            body_bytes.extend_from_slice(&chunk?);
        }
        Ok(body_bytes)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_body_ends_cleanly_only_if_its_length_is_as_declared(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20), 0..8),
        declared in 0..100u64,
    ) {
        let body_bytes: Vec<u8> = chunks.concat();
        let chunks = chunks.into_iter().map(Bytes::from).collect();
        let result = read(chunks, declared);
        prop_assert_eq!(result.is_ok(), body_bytes.len() as u64 == declared);
        if let Ok(read) = result {
            prop_assert_eq!(read, body_bytes);
        }
    }
}
