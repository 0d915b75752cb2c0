#include "wire/connection/EncodedFrame.h"

#include "wire/common/Deflate.h"

namespace havenstair {

namespace {

/// Compression of smaller frames saves little.
constexpr std::size_t MinCompressedBytes = 4096;

} // namespace

EncodedFrame::EncodedFrame(const PeerFrame &Frame)
    : m_Kind(frameName(Frame)), m_Since(protocolOf(Frame)),
      m_Plain(encodeFrame(Frame)) {}

const std::string &EncodedFrame::bytesFor(PeerProtocol Protocol) const {
  if (Protocol < PackingProtocol || m_Plain.size() < MinCompressedBytes)
    return m_Plain;
  if (m_Compressed.empty())
    m_Compressed = encodeFrame(PackedFrame{.m_Size = m_Plain.size(),
                                           .m_Bytes = deflateBytes(m_Plain)});
  return m_Compressed;
}

} // namespace havenstair
