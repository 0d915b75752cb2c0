#include "gateway/request/StreamOriginService.h"

#include <array>
#include <cstddef>

namespace havenstair {

namespace {

constexpr std::array<std::string_view, 7> SourceNames{
    "unknown",      "contradicted", "own",          "box",
    "only_version", "store",        "first_version"};

} // namespace

std::string_view originSourceName(OriginSource Source) {
  return SourceNames.at(static_cast<std::size_t>(Source));
}

} // namespace havenstair
