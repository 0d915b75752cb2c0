#include "wire/common/Json.h"

namespace havenstair {

namespace {

/// Deeper documents are not ours, and would use up the stack.
constexpr int MaxDepth = 32;

/// No box sends a longer time; a larger number is a mistake.
constexpr Duration LongestTime = std::chrono::hours(24);

bool keepShallow(int Depth, Json::parse_event_t, Json &) {
  if (Depth > MaxDepth)
    throw DecodeError("nested too deeply");
  return true;
}

} // namespace

Json parseJson(std::string_view Text) {
  try {
    return Json::parse(Text, keepShallow);
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
  if (Micros > static_cast<std::uint64_t>(LongestTime.count()))
    throw DecodeError(std::string("field ") + Name + " is too long a time");
  return Duration(static_cast<Duration::rep>(Micros));
}

} // namespace havenstair
