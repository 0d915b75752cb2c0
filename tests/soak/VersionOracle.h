/// \file
/// Judges streams that callers take up again.
#ifndef HAVENSTAIR_TESTS_SOAK_VERSIONORACLE_H
#define HAVENSTAIR_TESTS_SOAK_VERSIONORACLE_H

#include "soak/SoakEvents.h"
#include "soak/StreamText.h"
#include <string>
#include <vector>

namespace havenstair {

/// The software version that a signature ends with.
std::string versionOf(const std::string &Signature);

/// Reads what callers got over all tries of a stream. All of it must be from
/// servers of one software version, and no event be missing or doubled.
class VersionOracle {
public:
  struct Counts {
    int m_Begun = 0;   ///< Streams of which an event came.
    int m_Asked = 0;   ///< First tries of streams.
    int m_TakenUp = 0; ///< Tries that took a stream up.
    int m_WentOn = 0;  ///< Those that brought an event or the end.
    int m_Whole = 0;   ///< Streams that came whole.
  };

  explicit VersionOracle(VerdictHook Broken) : m_Broken(std::move(Broken)) {}

  /// Judges the stream that began as \p Attempt.
  void judge(const std::string &Attempt, const std::vector<StreamPiece> &Got,
             TimePoint At);
  Counts &counts() { return m_Counts; }
  const Counts &counts() const { return m_Counts; }

private:
  VerdictHook m_Broken;
  Counts m_Counts;
};

} // namespace havenstair

#endif
