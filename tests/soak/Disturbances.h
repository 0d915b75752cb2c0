/// \file
/// When the parts of the system were disturbed from outside.
#ifndef HAVENSTAIR_TESTS_SOAK_DISTURBANCES_H
#define HAVENSTAIR_TESTS_SOAK_DISTURBANCES_H

#include "decisions/common/Time.h"
#include <map>
#include <string>
#include <vector>

namespace havenstair {

/// Spans of trouble by subject: a box, an engine's link, the store, or the
/// soak's own process, which may be held up on a busy machine.
class Disturbances {
public:
  inline static const std::string Store = "store";
  inline static const std::string Harness = "harness";
  inline static const std::string Reach = "reach"; ///< Of boxes to engines.

  /// Trouble of \p Subject begins; several may overlap.
  void begin(const std::string &Subject, TimePoint At);
  /// One of its troubles ends.
  void end(const std::string &Subject, TimePoint At);
  /// Trouble that is over already.
  void add(const std::string &Subject, TimePoint From, TimePoint To);

  /// Whether \p Subject had no trouble from \p From to \p To.
  bool calm(const std::string &Subject, TimePoint From, TimePoint To) const;

  /// Whether trouble of \p Subject ended from \p From to \p To.
  bool healed(const std::string &Subject, TimePoint From, TimePoint To) const;

private:
  struct Span {
    TimePoint m_From;
    TimePoint m_To;
  };
  struct History {
    std::vector<Span> m_Past;
    TimePoint m_Since;
    int m_Open = 0;
  };

  std::map<std::string, History> m_Subjects;
};

} // namespace havenstair

#endif
