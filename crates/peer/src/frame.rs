use acacia_wire::control::MAX_FRAME;
use tokio_util::codec::LengthDelimitedCodec;

/// Size of the big-endian length field before each frame.
pub(crate) const LENGTH_FIELD_BYTES: usize = 8;
/// Longest frame that the length field may declare; a larger value ends the connection. Somewhat
/// longer than a legal frame, so that one slightly too long is still read and counted as oversized.
const MAX_DECLARED_LENGTH: usize = MAX_FRAME + 4096;

/// Longest frame before the first valid one on an accepted connection: several times the frame with
/// which a peer opens one. Until then the other end is not authenticated, and hundreds of such
/// connections could each make us buffer a megabyte.
const MAX_FIRST_FRAME: usize = 512;

/// The framing of an outgoing connection to a peer.
pub(crate) fn codec() -> LengthDelimitedCodec {
    codec_with_limit(MAX_DECLARED_LENGTH)
}

/// The framing of an accepted connection that has carried no valid frame yet.
pub(crate) fn pending_codec() -> LengthDelimitedCodec {
    codec_with_limit(MAX_FIRST_FRAME)
}

/// Allows frames of any legal length, once a connection has carried a valid one.
pub(crate) fn allow_long(codec: &mut LengthDelimitedCodec) {
    codec.set_max_frame_length(MAX_DECLARED_LENGTH);
}

fn codec_with_limit(max_length: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_FIELD_BYTES)
        .max_frame_length(max_length)
        .new_codec()
}
