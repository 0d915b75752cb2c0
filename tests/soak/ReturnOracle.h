/// \file
/// Judges whether service is back in time after all boxes were lost.
#ifndef HAVENSTAIR_TESTS_SOAK_RETURNORACLE_H
#define HAVENSTAIR_TESTS_SOAK_RETURNORACLE_H

#include "soak/Disturbances.h"
#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace havenstair {

/// Compares what callers got from the time on at which service must be back
/// with what they got before all boxes were lost: of all boxes together, and of
/// each one, as one that refuses for good is broken also where the rest serve.
class ReturnOracle {
public:
  /// What was served after one loss, for reports.
  struct Report {
    TimePoint m_BackAt;
    /// After the last box was back; none when it did not come.
    std::optional<Duration> m_FirstServed;
    /// Served of what was sent within a second that begins so long after.
    std::map<Duration, std::pair<int, int>> m_BySecond;
  };

  ReturnOracle(const SoakBounds &Bounds, const Disturbances &Trouble,
               VerdictHook Broken)
      : m_Bounds(Bounds), m_Trouble(Trouble), m_Broken(std::move(Broken)) {}

  /// All boxes are lost at once.
  void lost(TimePoint At);
  /// The last one that is to come back runs again.
  void back(TimePoint At);
  void sent(const CallerRequest &Request);
  void answered(const CallerAnswer &Answer);
  /// The try of a stream got an event, or the end of one that was taken up.
  void brought(const std::string &Id, TimePoint At);
  /// The caller gave up by itself; its try does not count.
  void left(const std::string &Id) { m_Tries.erase(Id); }
  /// Nothing more comes: tries without an answer have failed.
  void finish(TimePoint At);

  std::vector<Report> reports() const;

private:
  struct Loss {
    TimePoint m_LostAt;
    TimePoint m_BackAt = TimePoint::max();
    TimePoint m_Until = TimePoint::max(); ///< The next loss, or the end.
  };
  struct Try {
    std::string m_Box;
    TimePoint m_At;
    bool m_Served = false;
    TimePoint m_ServedAt;
  };
  struct Count {
    int m_Tries = 0;
    int m_Served = 0;

    void add(const Try &Each);
    bool reaches(double Share) const;
    std::string str() const;
  };

  void judge(const Loss &Of) const;
  void judge(const Loss &Of, const std::string &Subject,
             const Count &Now) const;
  Count before(const Loss &Of) const;
  Count after(const Loss &Of) const;
  Report report(const Loss &Of) const;

  const SoakBounds &m_Bounds;
  const Disturbances &m_Trouble;
  VerdictHook m_Broken;
  std::vector<Loss> m_Losses;
  std::map<std::string, Try> m_Tries;
};

} // namespace havenstair

#endif
