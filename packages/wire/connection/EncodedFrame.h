/// \file
/// A frame that is encoded once for all boxes that it is sent to.
#ifndef HAVENSTAIR_WIRE_CONNECTION_ENCODEDFRAME_H
#define HAVENSTAIR_WIRE_CONNECTION_ENCODEDFRAME_H

#include "wire/connection/PeerFrames.h"
#include <string>
#include <string_view>

namespace havenstair {

/// Holds the bytes of a frame, plain and compressed. A relay sends the same
/// frame to dozens of leaves; to encode and compress it for each of them would
/// take more processor time than all its other work.
class EncodedFrame {
public:
  explicit EncodedFrame(const PeerFrame &Frame);

  /// Name of the kind of frame, for metrics.
  std::string_view kind() const { return m_Kind; }
  /// The first protocol that knows this kind of frame.
  PeerProtocol since() const { return m_Since; }
  /// The bytes for a box that understands \p Protocol. Large frames are
  /// compressed if that protocol allows it.
  const std::string &bytesFor(PeerProtocol Protocol) const;

private:
  std::string_view m_Kind;
  PeerProtocol m_Since;
  std::string m_Plain;
  /// The compressed form; empty until it is first needed.
  mutable std::string m_Compressed;
};

} // namespace havenstair

#endif
