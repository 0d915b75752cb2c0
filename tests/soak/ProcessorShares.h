/// \file
/// Holds processes to their share of a core, from outside.
#ifndef HAVENSTAIR_TESTS_SOAK_PROCESSORSHARES_H
#define HAVENSTAIR_TESTS_SOAK_PROCESSORSHARES_H

#include "soak/SoakBox.h"
#include "wire/common/EventLoop.h"
#include <optional>
#include <vector>

namespace havenstair {

/// Stops a box that has used its part of the current period, and continues it
/// in the next one. What it took beyond is missing from that one.
class ProcessorShares {
public:
  explicit ProcessorShares(EventLoop &Loop);

  /// \p Box gets at most \p Share of a core from now on, in all its lives.
  void hold(SoakBox &Box, double Share);

private:
  struct Held {
    SoakBox *m_Box = nullptr;
    double m_Share = 1;
    int m_Life = 0;
    Duration m_Used{};   ///< Processor time of this life, as last read.
    Duration m_Credit{}; ///< Below zero when it took more than its part.
    bool m_Stopped = false;
  };

  void look();
  static void charge(Held &Of);
  static void refill(Held &Of);

  std::vector<Held> m_Held;
  TimePoint m_NextPeriod;
  Timer m_Timer;
};

} // namespace havenstair

#endif
