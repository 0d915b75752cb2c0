#include "decisions/common/SoftwareVersion.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <cstddef>

namespace havenstair {

namespace {

constexpr std::size_t MaxVersionBytes = 64;

/// Begins the replacement of a text, so that no stated text equals one.
constexpr char HashMark = '#';

bool isPlain(const std::string &Text) {
  return Text.size() <= MaxVersionBytes && Text.front() != HashMark &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character > ' ' && Character <= '~';
         });
}

} // namespace

SoftwareVersion softwareVersionOf(const std::string &Text) {
  if (Text.empty() || isPlain(Text))
    return SoftwareVersion(Text);
  return SoftwareVersion(HashMark + std::to_string(stableHash(Text)) + "-" +
                         std::to_string(Text.size()));
}

} // namespace havenstair
