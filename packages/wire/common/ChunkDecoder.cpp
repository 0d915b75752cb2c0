#include "wire/common/ChunkDecoder.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <system_error>

namespace havenstair {

namespace {

/// Longest line of a chunk's size or of the trailer.
constexpr std::size_t MaxLine = 4 << 10;

/// Most bytes of the trailer.
constexpr std::size_t MaxTrailer = 16 << 10;

constexpr int Hexadecimal = 16;

} // namespace

std::size_t ChunkDecoder::feed(std::string_view Bytes, const Sink &Pass) {
  std::size_t Read = 0;
  while (Read < Bytes.size() && !whole() && !failed()) {
    const std::string_view Rest = Bytes.substr(Read);
    Read += m_State == State::Data ? readData(Rest, Pass) : readLine(Rest);
  }
  return Read;
}

std::size_t ChunkDecoder::readData(std::string_view Bytes, const Sink &Pass) {
  const std::string_view Piece = Bytes.substr(0, m_Left);
  m_Left -= Piece.size();
  if (m_Left == 0)
    m_State = State::DataEnd;
  Pass(Piece);
  return Piece.size();
}

std::size_t ChunkDecoder::readLine(std::string_view Bytes) {
  const std::size_t End = Bytes.find('\n');
  const std::size_t Length = std::min(End, Bytes.size());
  if (m_Line.size() + Length > MaxLine) {
    m_State = State::Failed;
    return Length;
  }
  m_Line.append(Bytes.substr(0, Length));
  if (End == std::string_view::npos)
    return Length;
  if (m_Line.ends_with('\r'))
    m_Line.pop_back();
  onLine();
  m_Line.clear();
  return Length + 1;
}

void ChunkDecoder::onLine() {
  switch (m_State) {
  case State::Size:
    return onSize();
  case State::DataEnd:
    m_State = m_Line.empty() ? State::Size : State::Failed;
    return;
  case State::Trailer:
    return onTrailer();
  case State::Data:
  case State::Whole:
  case State::Failed:
    return;
  }
}

void ChunkDecoder::onSize() {
  const std::size_t Extension = m_Line.find_first_of("; \t");
  const char *End = m_Line.data() + std::min(Extension, m_Line.size());
  const auto Read = std::from_chars(m_Line.data(), End, m_Left, Hexadecimal);
  // Sums of sizes must not overflow.
  constexpr std::size_t MaxSize = std::numeric_limits<std::size_t>::max() / 4;
  if (Read.ec != std::errc() || Read.ptr != End || m_Left > MaxSize)
    m_State = State::Failed;
  else
    m_State = m_Left == 0 ? State::Trailer : State::Data;
}

void ChunkDecoder::onTrailer() {
  m_TrailerBytes += m_Line.size();
  if (m_Line.empty())
    m_State = State::Whole;
  else if (m_TrailerBytes > MaxTrailer)
    m_State = State::Failed;
}

} // namespace havenstair
