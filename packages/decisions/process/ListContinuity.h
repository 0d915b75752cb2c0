/// \file
/// For how long a box has known the list of upstreams without a gap.
/// See docs/design/stream-versions.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LISTCONTINUITY_H
#define HAVENSTAIR_DECISIONS_PROCESS_LISTCONTINUITY_H

#include "decisions/common/Time.h"
#include <optional>

namespace havenstair {

/// Tells since when a box would have noticed each change of the list. While it
/// is frozen or cut off, upstreams may come and go unnoticed.
class ListContinuity {
public:
  /// Oldest list that counts as known. A list is younger while a relay takes
  /// over the reading of the store from another one, too.
  static constexpr Duration MaxAge = 3s;

  /// The box's list was the state of the store at \p At; the beginning of time
  /// stands for never.
  void confirm(TimePoint At);
  /// \returns since when the list has been known without a gap; empty if it is
  /// too old now.
  std::optional<TimePoint> since(TimePoint Now) const;

private:
  TimePoint m_ConfirmedAt{};
  TimePoint m_Since{};
};

} // namespace havenstair

#endif
