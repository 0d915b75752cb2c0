/// \file
/// Fuzz target for the readers of callers' requests: heads and chunks.
#include "wire/common/ChunkDecoder.h"
#include "wire/common/RequestHead.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace {

using namespace havenstair;

/// What the readers make of the bytes of one request.
struct Reading {
  std::size_t m_HeadEnd = 0;
  bool m_Unambiguous = false;
  bool m_Whole = false;
  bool m_Failed = false;
  std::size_t m_Read = 0; ///< Bytes up to the end of the body.
  std::string m_Body;

  bool operator==(const Reading &) const = default;
};

void require(bool Holds) {
  if (!Holds)
    std::abort();
}

/// Without the step after which a head that is not whole was looked at.
std::size_t headEnd(std::string_view Bytes, std::size_t Step) {
  for (std::size_t Come = Step; Come < Bytes.size(); Come += Step)
    if (const std::size_t End = findHeadEnd(Bytes.substr(0, Come)))
      return End;
  return findHeadEnd(Bytes);
}

void readChunks(std::string_view Bytes, std::size_t Step, Reading &Result) {
  ChunkDecoder Decoder;
  const auto Pass = [&](std::string_view Piece) { Result.m_Body += Piece; };
  for (std::size_t At = 0;
       At < Bytes.size() && !Decoder.whole() && !Decoder.failed(); At += Step)
    Result.m_Read += Decoder.feed(Bytes.substr(At, Step), Pass);
  Result.m_Whole = Decoder.whole();
  Result.m_Failed = Decoder.failed();
  // Where it failed depends on the pieces.
  if (Result.m_Failed)
    Result.m_Read = 0;
  require(!Result.m_Whole || Bytes.substr(0, Result.m_Read).ends_with('\n'));
  require(Result.m_Body.size() <= Bytes.size());
}

/// Reads \p Bytes, which come in pieces of \p Step.
Reading read(std::string_view Bytes, std::size_t Step) {
  Reading Result;
  Result.m_HeadEnd = headEnd(Bytes, Step);
  if (Result.m_HeadEnd == 0)
    return Result;
  const std::string_view Text = Bytes.substr(0, Result.m_HeadEnd);
  const RequestHead Head = readRequestHead(Text);
  Result.m_Unambiguous = Head.m_Unambiguous;
  // What evhttp gets is one head, also where it is refused.
  for (const bool MayClose : {false, true}) {
    const std::string Given = Head.whole(MayClose);
    require(Given.find('\0') == std::string::npos);
    if (Text.find_first_not_of("\r\n") == 0)
      require(findHeadEnd(Given) == Given.size());
    const RequestHead Again = readRequestHead(Given);
    require(!Again.hasBody() || !Head.m_Unambiguous);
  }
  if (!Head.m_Unambiguous)
    return Result;
  const std::string_view Rest = Bytes.substr(Result.m_HeadEnd);
  if (Head.m_Chunked) {
    readChunks(Rest, Step, Result);
    return Result;
  }
  Result.m_Read = std::min(Head.m_Length, Rest.size());
  Result.m_Whole = Result.m_Read == Head.m_Length;
  return Result;
}

} // namespace

// libFuzzer prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  const Reading Whole = read(Bytes, std::max<std::size_t>(Size, 1));
  require(read(Bytes, 1) == Whole);
  // What is a byte short of its end is not whole.
  const std::size_t End = Whole.m_HeadEnd + Whole.m_Read;
  if (Whole.m_Whole && End > 0) {
    const Reading Cut = read(Bytes.substr(0, End - 1), Size);
    require(!Cut.m_Whole);
  }
  Reading Chunks;
  readChunks(Bytes, std::max<std::size_t>(Size, 1), Chunks);
  Reading OneByOne;
  readChunks(Bytes, 1, OneByOne);
  require(Chunks == OneByOne);
  return 0;
}
