use acacia_wire::control::MAX_FRAME;
use tokio_util::codec::LengthDelimitedCodec;

/// Bytes before each frame that tell its length, big-endian.
pub(crate) const LENGTH: usize = 8;
/// Longest frame that a sender may announce. Somewhat more than a legal one, so that a frame that is
/// just too long is counted as such; whoever announces more loses the connection.
const MAX_ANNOUNCED: usize = MAX_FRAME + 4096;

/// How frames follow each other on a connection.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH)
        .max_frame_length(MAX_ANNOUNCED)
        .new_codec()
}
