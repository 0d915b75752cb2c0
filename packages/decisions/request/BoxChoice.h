/// \file
/// Chooses the box through which a request is passed on.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_BOXCHOICE_H
#define HAVENSTAIR_DECISIONS_REQUEST_BOXCHOICE_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace havenstair {

/// Keeps what this box has passed on to others. Prefers boxes of its own data
/// centre until one of them has declined a request, then all are alike: the
/// whole data centre may be partitioned. Of two random boxes it takes the one
/// with fewer open requests of this box.
class BoxChoice {
public:
  struct Options {
    /// How long a box that declined a request is not asked again.
    Duration m_DeclinedFor = 1s;
    /// Open requests that are passed on to one box.
    std::size_t m_MaxOpen = 256;
  };
  /// A box that may be asked.
  struct Candidate {
    BoxName m_Box;
    DataCentreName m_DataCentre;
  };
  /// Two random numbers from 0 to 1.
  struct Draws {
    double m_First = 0;
    double m_Second = 0;
  };

  explicit BoxChoice(DataCentreName Own) : BoxChoice(std::move(Own), {}) {}
  BoxChoice(DataCentreName Own, Options Opts)
      : m_Own(std::move(Own)), m_Opts(Opts) {}

  /// \returns the box to ask, without those in \p Tried; empty if there is
  /// none.
  std::optional<BoxName> choose(const std::vector<Candidate> &Candidates,
                                const std::set<BoxName> &Tried, Draws Random,
                                TimePoint Now) const;
  /// \returns the box that declined longest ago, for a request that no other
  /// box is left for; without those in \p Tried, empty if there is none.
  std::optional<BoxName>
  chooseDeclined(const std::vector<Candidate> &Candidates,
                 const std::set<BoxName> &Tried) const;
  /// Records that a request was passed on to \p Box.
  void onOpened(const BoxName &Box) { ++m_Open[Box]; }
  /// Records that a request that was passed on to \p Box has ended.
  void onEnded(const BoxName &Box);
  /// Records that \p Box, of \p DataCentre, declined a request or was not
  /// reached.
  void onDeclined(const BoxName &Box, const DataCentreName &DataCentre,
                  TimePoint Now);

private:
  std::size_t open(const BoxName &Box) const;
  bool mayAsk(const BoxName &Box, TimePoint Now) const;

  DataCentreName m_Own;
  Options m_Opts;
  std::map<BoxName, std::size_t> m_Open;
  std::map<BoxName, TimePoint> m_DeclinedUntil;
  TimePoint m_OwnDeclinedUntil{}; ///< Until when all data centres are alike.
};

} // namespace havenstair

#endif
