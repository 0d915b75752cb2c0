/// \file
/// Which other boxes have confirmed this box's copies of the store's lists.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_PEERCONFIRMATIONS_H
#define HAVENSTAIR_GATEWAY_PROCESS_PEERCONFIRMATIONS_H

#include "gateway/process/ListCopies.h"
#include "wire/connection/FleetFrames.h"
#include <functional>
#include <map>

namespace havenstair {

/// Tracks what the boxes whose lists this one could follow last reported of
/// them. A report confirms this box's copies once they are as new as those of
/// the sender.
class PeerConfirmations {
public:
  /// \p Copies must outlive this object.
  explicit PeerConfirmations(const ListCopies &Copies) : m_Copies(Copies) {}

  /// Records that the lists of \p From, of the revisions in \p Newest, were the
  /// store's state at \p At or later.
  void record(const BoxName &From, const FleetWantFrame &Newest, TimePoint At);
  /// Drops the report of \p Box.
  void forget(const BoxName &Box) { m_Reports.erase(Box); }
  /// When \p Box confirmed this box's copies; the beginning of time when it has
  /// not.
  TimePoint confirmedAt(const BoxName &Box) const;
  /// The first box by name that has reported and for which \p Accepts returns
  /// true; empty when there is none.
  BoxName firstOf(const std::function<bool(const BoxName &)> &Accepts) const;

private:
  struct Report {
    /// The sender's lists were the store's state then, or later.
    TimePoint m_At{};
    FleetWantFrame m_Newest; ///< The revisions of its lists.
    /// When this box's copies were last confirmed by it before this report.
    TimePoint m_ConfirmedBefore{};
  };

  const ListCopies &m_Copies;
  std::map<BoxName, Report> m_Reports;
};

} // namespace havenstair

#endif
