#include "gateway/process/ListFingerprint.h"

#include "decisions/common/StableHash.h"
#include <string>

namespace havenstair {

void ListFingerprint::add(std::string_view Key, const StoreRevision &At) {
  m_Sum += stableHash(Key, std::to_string(At.m_Era) + "/" +
                               std::to_string(At.m_Number));
}

} // namespace havenstair
