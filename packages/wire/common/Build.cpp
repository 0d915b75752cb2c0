#include "wire/common/Build.h"

namespace havenstair {

std::string buildName() {
  const std::string Commit = HAVENSTAIR_COMMIT;
  return std::string(HAVENSTAIR_VERSION) + (Commit.empty() ? "" : "+" + Commit);
}

} // namespace havenstair
