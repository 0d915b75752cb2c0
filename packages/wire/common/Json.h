/// \file
/// Checked decoding of JSON and CBOR that comes from outside the process.
#ifndef HAVENSTAIR_WIRE_COMMON_JSON_H
#define HAVENSTAIR_WIRE_COMMON_JSON_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace havenstair {

using Json = nlohmann::json;

/// Thrown for input that does not have the expected form.
class DecodeError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Parses \p Text. \throws DecodeError unless it is exactly one JSON value.
Json parseJson(std::string_view Text);

/// Decodes \p Bytes. \throws DecodeError unless they are exactly one CBOR value
/// in which each list, object, text and binary states its length.
Json parseCbor(std::string_view Bytes);

/// Serialises \p Value. Invalid UTF-8 is replaced and does not throw.
std::string dumpJson(const Json &Value);

/// Returns \p Value as a whole number of type T. \throws DecodeError when it is
/// no whole number or out of range, where a plain conversion would be
/// undefined.
template <typename T> T wholeNumber(const Json &Value) {
  if (Value.is_number_unsigned()) {
    const auto Number = Value.get<std::uint64_t>();
    if (std::in_range<T>(Number))
      return static_cast<T>(Number);
  } else if (Value.is_number_integer()) {
    const auto Number = Value.get<std::int64_t>();
    if (std::in_range<T>(Number))
      return static_cast<T>(Number);
  } else if (Value.is_number_float()) {
    // Spreadsheets write whole numbers as 3.0. Beyond 2^53 a double does not
    // hold every whole number.
    constexpr double MaxExact = 9007199254740992.0;
    const auto Number = Value.get<double>();
    if (std::trunc(Number) == Number && std::abs(Number) <= MaxExact &&
        std::in_range<T>(static_cast<std::int64_t>(Number)))
      return static_cast<T>(Number);
  }
  throw DecodeError("expected a whole number");
}

/// Returns the field \p Name of \p Object. \throws DecodeError when it is
/// missing or of another type.
template <typename T> T field(const Json &Object, const char *Name) {
  try {
    if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>)
      return wholeNumber<T>(Object.at(Name));
    else
      return Object.at(Name).template get<T>();
  } catch (const std::exception &) {
    throw DecodeError(std::string("field ") + Name +
                      " is missing or has the wrong type");
  }
}

/// Like field(), but returns \p Default when the field is absent or null.
template <typename T>
T fieldOr(const Json &Object, const char *Name, T Default) {
  if (!Object.is_object())
    throw DecodeError("expected a JSON object");
  const auto Found = Object.find(Name);
  if (Found == Object.end() || Found->is_null())
    return Default;
  return field<T>(Object, Name);
}

/// Returns a field that holds a name; an empty name when it is absent.
template <typename IdType>
IdType idField(const Json &Object, const char *Name) {
  return IdType(fieldOr<std::string>(Object, Name, ""));
}

/// Returns a field that holds a duration in whole microseconds.
Duration micros(const Json &Object, const char *Name);

/// The same for a duration that is neither negative nor longer than a day.
/// \throws DecodeError for any other.
Duration durationField(const Json &Object, const char *Name);

} // namespace havenstair

#endif
