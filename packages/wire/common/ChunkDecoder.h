/// \file
/// Reads bodies that come in chunks (RFC 9112, section 7.1).
#ifndef HAVENSTAIR_WIRE_COMMON_CHUNKDECODER_H
#define HAVENSTAIR_WIRE_COMMON_CHUNKDECODER_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace havenstair {

/// Decodes one body as its bytes come. Extensions of chunks and the fields of
/// the trailer are dropped.
class ChunkDecoder {
public:
  /// Called with each piece of the body.
  using Sink = std::function<void(std::string_view)>;

  /// Reads from \p Bytes up to the end of the body. \returns the number of
  /// bytes read.
  std::size_t feed(std::string_view Bytes, const Sink &Pass);
  bool whole() const { return m_State == State::Whole; }
  /// Whether the bytes are not chunks. Nothing is read after them.
  bool failed() const { return m_State == State::Failed; }

private:
  enum class State { Size, Data, DataEnd, Trailer, Whole, Failed };

  std::size_t readData(std::string_view Bytes, const Sink &Pass);
  std::size_t readLine(std::string_view Bytes);
  void onLine();
  void onSize();
  void onTrailer();

  State m_State = State::Size;
  std::size_t m_Left = 0; ///< Bytes of the chunk that have not come.
  std::string m_Line;
  std::size_t m_TrailerBytes = 0;
};

} // namespace havenstair

#endif
