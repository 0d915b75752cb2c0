/// \file
/// Tells whether two copies of a list hold the same.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LISTFINGERPRINT_H
#define HAVENSTAIR_GATEWAY_PROCESS_LISTFINGERPRINT_H

#include "decisions/common/StoreRevision.h"
#include <cstdint>
#include <string_view>

namespace havenstair {

/// Sums up keys with their revisions, in any order. Copies of the same revision
/// may differ, when one was made of messages that did not belong together.
class ListFingerprint {
public:
  void add(std::string_view Key, const StoreRevision &At);
  /// Equal for equal copies; never 0, which stands for one that is not known.
  std::uint64_t value() const { return m_Sum == 0 ? 1 : m_Sum; }

private:
  std::uint64_t m_Sum = 0;
};

} // namespace havenstair

#endif
