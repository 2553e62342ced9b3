//! Tests that no decoder of on-disk data panics, whatever its input.
//!
//! Guards against a replica that panics at every start, instead of reporting the damage, because
//! one byte on its disk is corrupt.

use heatherring_server::data_folder::Identity;
use heatherring_server::log_record::segment_number;
use heatherring_server::record_codec::decode_frame;
use heatherring_server::record_codec::encode_frame;
use heatherring_server::record_codec::judge_tail;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_202;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Reads a file of frames as a replay does: decodes frame after frame, and classifies the rest
/// at the first one that fails.
fn replay(file: &[u8]) {
    let mut offset = 0;
    while offset < file.len() {
        match decode_frame(&file[offset..]) {
            Ok(frame) => offset += frame.length,
            Err(error) => {
                let _ = judge_tail(file, offset, &error);
                return;
            }
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn test_decoders_random_file(file in vec(any::<u8>(), 0..600)) {
        replay(&file);
        let _ = Identity::decode(&file);
    }

    #[test]
    fn test_decoders_damaged_file(
        bodies in vec(vec(any::<u8>(), 0..900), 1..4),
        edits in vec((any::<Index>(), prop_oneof![Just(0), any::<u8>()]), 0..4),
        cut in any::<Index>(),
    ) {
        let mut file = Vec::new();
        for (number, body) in bodies.iter().enumerate() {
            encode_frame(number as u64, body, &mut file);
        }
        for (index, byte) in edits {
            let position = index.index(file.len());
            file[position] = byte;
        }
        replay(&file);
        file.truncate(cut.index(file.len()));
        replay(&file);
    }

    #[test]
    fn test_decoders_file_name(name in ".{0,40}") {
        let _ = segment_number(&name);
    }
}
