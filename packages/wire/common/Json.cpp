#include "wire/common/Json.h"

namespace havenstair {

namespace {

/// Deeper documents are not ours, and would use up the stack.
constexpr int MaxDepth = 32;

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

} // namespace havenstair
