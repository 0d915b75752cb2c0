/// \file
/// A fleet with runners that report signals in their answers.
#ifndef HAVENSTAIR_TESTS_GATEWAY_UPSTREAMSIGNALSFLEET_H
#define HAVENSTAIR_TESTS_GATEWAY_UPSTREAMSIGNALSFLEET_H

#include "gateway/GatewayTest.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace havenstair {

/// Counts how requests ended.
struct FleetOutcome {
  int m_Served = 0;
  int m_RetryLater = 0; ///< Refused with a time to retry after.
  int m_Other = 0;

  int all() const { return m_Served + m_RetryLater + m_Other; }
};

/// A fleet with runners that report signals in their answers.
class UpstreamSignalsFleet : public GatewayTest {
public:
  /// Time after the first signal by which all boxes have received it.
  static constexpr Duration SettlingTime = 3s;
  static constexpr Duration Span = 4s;
  static constexpr Duration BetweenRequests = 50ms;

  explicit UpstreamSignalsFleet(std::size_t Boxes) {
    configure(1);
    for (std::size_t Number = 0; Number < Boxes; ++Number)
      addBox();
  }

  void addBox() {
    const std::size_t Number = m_Boxes.size();
    GatewayOptions Options = options();
    Options.m_Box = BoxName("box-" + std::to_string(10 + Number));
    Options.m_Capacity = Number < 3 ? 0.5 : 0.12;
    m_Boxes.push_back(makeGateway(Options, [] {}));
  }

  bool allKnowLimit(const InstanceId &Id, double PerS) const {
    return std::all_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
      const AdvertisedLimit *Limit = Box->state().m_Signals.limit(Id);
      return Limit != nullptr && Limit->m_RatePerSecond == PerS;
    });
  }
  bool noneKnowsLimit(const InstanceId &Id) const {
    return std::none_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
      return Box->state().m_Signals.limit(Id) != nullptr;
    });
  }

  /// Sends requests one by one until one is served.
  FleetOutcome sendOne() {
    FleetOutcome Result;
    while (Result.m_Served == 0)
      Result = sendFor(BetweenRequests + BetweenRequests / 2, 1);
    return Result;
  }

  /// Adds a runner that answers with success and the header fields \p Headers.
  void addRunnerSending(const std::string &Id,
                        const std::string &Headers = "") {
    m_SignalHeaders[Id] = Headers;
    addRunner(Id, [this, Id](const Request &Of, const ConnectionPtr &To) {
      if (Of.m_Method != "POST")
        return;
      m_Arrived[Id].push_back(EventLoop::now());
      To->write(
          StandinRunner::answer(Of, m_Status[Id], "body", m_SignalHeaders[Id]));
    });
    m_Status[Id] = 200;
  }

  void untilAllReady() {
    REQUIRE(until([&] {
      return std::all_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
        return Box->state().ready() &&
               Box->state().m_Upstreams.current().size() == m_Runners.size();
      });
    }));
  }

  /// Sends requests through all boxes in turn for \p For, \p AtMost of them,
  /// and waits for all answers.
  FleetOutcome sendFor(Duration For,
                       int AtMost = std::numeric_limits<int>::max()) {
    FleetOutcome Result;
    int Done = 0;
    int Sent = 0;
    const auto Send = [&] {
      if (Sent == AtMost)
        return;
      const Gateway &Box =
          *m_Boxes[static_cast<std::size_t>(Sent) % m_Boxes.size()];
      ++Sent;
      m_Http.fetch(
          callTo(Box, "/safe/x", "id-" + std::to_string(++m_Ids)),
          [&](const HttpAnswer &Answer) {
            ++Done;
            if (Answer.m_Status == 200)
              ++Result.m_Served;
            else if (Answer.m_Status == 503 &&
                     !findHeader(Answer.m_Headers, "Retry-After").empty())
              ++Result.m_RetryLater;
            else
              ++Result.m_Other;
          });
    };
    {
      const Timer Ticker = m_Loop.every(BetweenRequests, Send);
      wait(For);
    }
    REQUIRE(until([&] { return Done == Sent; }));
    return Result;
  }

  /// \returns the most arrivals in any span after the limit has become known.
  std::size_t maxArrivalsInSpan(const std::string &Id) {
    const std::vector<TimePoint> &At = m_Arrived[Id];
    std::size_t Most = 0;
    for (std::size_t First = 0, Next = 0; Next < At.size(); ++Next) {
      while (At[Next] - At[First] >= Span || At[First] < At[0] + SettlingTime) {
        if (First == Next)
          break;
        ++First;
      }
      if (At[First] >= At[0] + SettlingTime)
        Most = std::max(Most, Next - First + 1);
    }
    return Most;
  }
  static std::size_t allowed(double PerS) {
    return static_cast<std::size_t>(1.5 * PerS * inSeconds(Span)) + 5;
  }

  std::vector<std::unique_ptr<Gateway>> m_Boxes;
  /// Header fields of answers, by runner.
  std::map<std::string, std::string> m_SignalHeaders;
  std::map<std::string, int> m_Status;
  std::map<std::string, std::vector<TimePoint>> m_Arrived;
  int m_Ids = 0;
};

} // namespace havenstair

#endif
