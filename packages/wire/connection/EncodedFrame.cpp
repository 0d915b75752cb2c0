#include "wire/connection/EncodedFrame.h"

#include "wire/common/Deflate.h"

namespace havenstair {

namespace {

/// Smaller frames gain little by it.
constexpr std::size_t PackFromBytes = 4096;

} // namespace

EncodedFrame::EncodedFrame(const PeerFrame &Frame)
    : m_Kind(frameName(Frame)), m_Since(protocolOf(Frame)),
      m_Plain(encodeFrame(Frame)) {}

const std::string &EncodedFrame::bytesFor(PeerProtocol Protocol) const {
  if (Protocol < PackingProtocol || m_Plain.size() < PackFromBytes)
    return m_Plain;
  if (m_Packed.empty())
    m_Packed = encodeFrame(PackedFrame{.m_Size = m_Plain.size(),
                                       .m_Bytes = deflateBytes(m_Plain)});
  return m_Packed;
}

} // namespace havenstair
