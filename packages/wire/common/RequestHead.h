/// \file
/// What the head of a request tells of its body (RFC 9112, section 6.3).
#ifndef HAVENSTAIR_WIRE_COMMON_REQUESTHEAD_H
#define HAVENSTAIR_WIRE_COMMON_REQUESTHEAD_H

#include <cstddef>
#include <string>
#include <string_view>

namespace havenstair {

/// The head of one request.
struct RequestHead {
  /// The head up to its end, without the fields that tell of its body and of
  /// its connection, and with no bytes that a reader could take for its end.
  std::string m_Text;
  std::string m_Connection; ///< The fields that tell of the connection.
  /// Whether the body has one reading only. If not, what follows may be part of
  /// it, so the connection must be closed.
  bool m_Unambiguous = true;
  bool m_Chunked = false;
  std::size_t m_Length = 0;      ///< Bytes of the body; 0 for one in chunks.
  bool m_AwaitsContinue = false; ///< Its sender waits for an interim answer.

  /// \returns the head as a whole, for a connection that is closed when its
  /// caller asks for it, or for one that is not.
  std::string whole(bool MayClose) const {
    return m_Text + (MayClose ? m_Connection : "") + "\r\n";
  }
  bool hasBody() const { return m_Chunked || m_Length > 0; }
};

/// \returns the length of the head that \p Bytes begin with, with the empty
/// line that ends it; 0 while that has not come.
std::size_t findHeadEnd(std::string_view Bytes);

/// Reads a whole head.
RequestHead readRequestHead(std::string_view Text);

} // namespace havenstair

#endif
