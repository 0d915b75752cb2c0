#include "gateway/process/ConnectionGate.h"
#include "gateway/common/DecisionLog.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr int NoDescriptor = -1;
constexpr double Capacity = 0.01;

/// A gate of a weak process, at times that the test chooses.
class Gate {
public:
  /// The timer runs each \p Interval for a second, in which the process uses
  /// \p Use of its capacity.
  void run(Duration Interval, double Use = 1) {
    for (const TimePoint End = m_Now + 1s; m_Now < End; m_Now += Interval) {
      m_Lateness.onTimer(m_Now);
      m_Used += Use * Capacity * inSeconds(Interval);
      m_Of.sample(m_Now, {.m_ProcessorTime = fromSeconds(m_Used)});
    }
  }
  /// \returns how many connections were taken before the first pause.
  int connect(int Count) {
    for (int Taken = 1; Taken <= Count; ++Taken)
      if (m_Of.onConnection(m_Now) > 0us)
        return Taken;
    return Count;
  }

  EventLoop m_Loop;
  DecisionLog m_Log{m_Loop, {.m_Descriptor = NoDescriptor}};
  LoopLateness m_Lateness;
  ConnectionGate m_Of{m_Log, Capacity, m_Lateness};
  TimePoint m_Now{100s};
  double m_Used = 0; ///< Seconds.
};

} // namespace

TEST_CASE("A box that keeps up refuses no connection", "[gate]") {
  Gate Test;
  Test.run(LoopLateness::Interval);
  REQUIRE(Test.connect(1000) == 1000);
  REQUIRE(Test.m_Of.pauses() == 0);
}

TEST_CASE("A box that most connections go to leaves to others what it cannot "
          "do",
          "[gate]") {
  Gate Test;
  Test.run(100ms);
  REQUIRE(Test.connect(1000) < 10);
  REQUIRE(Test.m_Of.pauses() == 1);
  REQUIRE(Test.m_Of.paused() > 0us);
}

TEST_CASE("A box that was behind refuses no connection once it keeps up",
          "[gate]") {
  Gate Test;
  Test.run(100ms);
  Test.run(LoopLateness::Interval);
  Test.run(LoopLateness::Interval);
  Test.run(LoopLateness::Interval);
  REQUIRE(Test.connect(1000) == 1000);
}

TEST_CASE("A box that is late on a busy machine refuses no connection",
          "[gate]") {
  Gate Test;
  Test.run(100ms, 0.3);
  REQUIRE(Test.connect(1000) == 1000);
}
