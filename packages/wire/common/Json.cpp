#include "wire/common/Json.h"

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

} // namespace

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
