#include "wire/common/Json.h"

#include <vector>

namespace havenstair {

namespace {

/// No valid document is nested more deeply; much deeper ones overflow the
/// stack.
constexpr int MaxDepth = 32;

/// No box sends a longer duration, so a larger number is an error.
constexpr Duration MaxDuration = std::chrono::hours(24);

/// Whether brackets in \p Text, which may not be JSON, are nested no deeper
/// than MaxDepth. The parser reports the depth only by a callback for each
/// value, which costs more than parsing itself.
bool shallow(std::string_view Text) {
  int Depth = 0;
  bool InString = false;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    const char Each = Text[At];
    if (InString && Each == '\\')
      ++At;
    else if (Each == '"')
      InString = !InString;
    else if (!InString && (Each == '{' || Each == '['))
      ++Depth;
    else if (!InString && (Each == '}' || Each == ']'))
      --Depth;
    if (Depth > MaxDepth)
      return false;
  }
  return true;
}

/// The major types of CBOR (RFC 8949, section 3.1).
enum class CborType {
  Unsigned,
  Negative,
  Binary,
  Text,
  List,
  Object,
  Tag,
  Simple
};

/// The head of one CBOR item; the argument is the value, the length in bytes
/// or the number of items.
struct CborHead {
  CborType m_Type = CborType::Unsigned;
  std::uint64_t m_Argument = 0;
};

/// Reads the head at \p At and moves \p At behind it. \returns none when it is
/// cut off, or the item states no length.
std::optional<CborHead> readHead(std::string_view Bytes, std::size_t &At) {
  constexpr unsigned OneByteArgument = 24;
  constexpr unsigned EightByteArgument = 27;
  if (At >= Bytes.size())
    return std::nullopt;
  const auto First = static_cast<unsigned char>(Bytes[At++]);
  const unsigned Info = First & 0x1FU;
  CborHead Result{.m_Type = static_cast<CborType>(First >> 5U),
                  .m_Argument = Info};
  if (Info < OneByteArgument)
    return Result;
  if (Info > EightByteArgument)
    return std::nullopt;
  Result.m_Argument = 0;
  for (unsigned Left = 1U << (Info - OneByteArgument); Left > 0; --Left) {
    if (At >= Bytes.size())
      return std::nullopt;
    Result.m_Argument =
        Result.m_Argument << 8U | static_cast<unsigned char>(Bytes[At++]);
  }
  return Result;
}

/// Whether \p Bytes are items that state their lengths and are nested no deeper
/// than MaxDepth. The library's reader calls itself for each level, and for
/// each piece of a text or binary without a length.
bool shallowCbor(std::string_view Bytes) {
  std::vector<std::uint64_t> ItemsLeft{1}; // Of each level that is open.
  std::size_t At = 0;
  while (!ItemsLeft.empty()) {
    if (ItemsLeft.back() == 0) {
      ItemsLeft.pop_back();
      continue;
    }
    --ItemsLeft.back();
    const std::optional<CborHead> Head = readHead(Bytes, At);
    if (!Head || Head->m_Type == CborType::Tag)
      return false;
    if (Head->m_Type < CborType::Binary || Head->m_Type > CborType::Object)
      continue;
    // Each item takes a byte at least.
    if (Head->m_Argument > Bytes.size() - At)
      return false;
    if (Head->m_Type < CborType::List)
      At += Head->m_Argument;
    else
      ItemsLeft.push_back(Head->m_Type == CborType::List
                              ? Head->m_Argument
                              : 2 * Head->m_Argument);
    if (ItemsLeft.size() > MaxDepth + 1)
      return false;
  }
  return At == Bytes.size();
}

} // namespace

Json parseCbor(std::string_view Bytes) {
  if (!shallowCbor(Bytes))
    throw DecodeError("CBOR is nested too deeply, or cut off");
  try {
    return Json::from_cbor(Bytes.begin(), Bytes.end());
  } catch (const Json::exception &) {
    throw DecodeError("not valid CBOR");
  }
}

Json parseJson(std::string_view Text) {
  if (!shallow(Text))
    throw DecodeError("JSON is nested too deeply");
  try {
    return Json::parse(Text);
  } catch (const Json::exception &) {
    throw DecodeError("not valid JSON");
  }
}

std::string dumpJson(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Duration micros(const Json &Object, const char *Name) {
  return Duration(field<Duration::rep>(Object, Name));
}

Duration durationField(const Json &Object, const char *Name) {
  const auto Micros = field<std::uint64_t>(Object, Name);
  if (Micros > static_cast<std::uint64_t>(MaxDuration.count()))
    throw DecodeError(std::string("field ") + Name + " is longer than a day");
  return Duration(static_cast<Duration::rep>(Micros));
}

} // namespace havenstair
