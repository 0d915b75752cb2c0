/// \file
/// Fuzz target for the decoder of frames from other boxes.
#include "wire/common/Json.h"
#include "wire/connection/PeerFrames.h"

#include <cstdint>
#include <cstdlib>

// libFuzzer prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace havenstair;
  try {
    const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
    const PeerFrame Frame = decodeFrame(Bytes);
    // A decoded frame must stay the same when it is encoded and decoded again.
    const std::string Once = encodeFrame(Frame);
    if (encodeFrame(decodeFrame(Once)) != Once)
      std::abort();
  } catch (const DecodeError &) {
    return 0;
  }
  return 0;
}
