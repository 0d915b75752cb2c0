/// \file
/// Short names for tests.
#ifndef HAVENSTAIR_TESTS_SUPPORT_NAMES_H
#define HAVENSTAIR_TESTS_SUPPORT_NAMES_H

#include "decisions/common/Id.h"
#include "decisions/common/StoreRevision.h"
#include "decisions/common/Time.h"
#include <cstdint>
#include <string>

namespace havenstair {

inline BoxName boxName(int Number) {
  return BoxName("box-" + std::to_string(Number));
}
inline UpstreamName upstreamName(int Number) {
  return UpstreamName("engine-" + std::to_string(Number));
}
inline ArtifactName modelName(int Number) {
  return ArtifactName("model-" + std::to_string(Number));
}
inline GroupName groupName(int Number) {
  return GroupName("group-" + std::to_string(Number));
}
inline RequestId requestId(int Number) {
  return RequestId("r" + std::to_string(Number));
}
/// The revision \p Number of \p Era.
inline StoreRevision revision(std::uint64_t Number, StoreEra Era = FirstEra) {
  return {.m_Era = Era, .m_Number = Number};
}
inline TimePoint at(Duration Since) { return TimePoint(Since); }

} // namespace havenstair

#endif
