/// \file
/// The bytes of a frame, made once for all boxes that it goes to.
#ifndef HAVENSTAIR_WIRE_CONNECTION_ENCODEDFRAME_H
#define HAVENSTAIR_WIRE_CONNECTION_ENCODEDFRAME_H

#include "wire/connection/PeerFrames.h"
#include <string>
#include <string_view>

namespace havenstair {

/// A relay tells dozens of leaves the same: to encode and compress it for each
/// of them would take more of its processor than all else.
class EncodedFrame {
public:
  explicit EncodedFrame(const PeerFrame &Frame);

  /// Name of its kind, for metrics.
  std::string_view kind() const { return m_Kind; }
  /// The first protocol that knows this kind of frame.
  PeerProtocol since() const { return m_Since; }
  /// For a box that understands \p Protocol; large ones compressed where it
  /// does.
  const std::string &bytesFor(PeerProtocol Protocol) const;

private:
  std::string_view m_Kind;
  PeerProtocol m_Since;
  std::string m_Plain;
  mutable std::string m_Packed; ///< Made when it is first asked for.
};

} // namespace havenstair

#endif
