/// \file
/// A fleet before runners that say something of themselves in their answers.
#ifndef HAVENSTAIR_TESTS_GATEWAY_SERVERWORDSFLEET_H
#define HAVENSTAIR_TESTS_GATEWAY_SERVERWORDSFLEET_H

#include "gateway/GatewayTest.h"

#include <algorithm>
#include <vector>

namespace havenstair {

/// What became of requests.
struct FleetOutcome {
  int m_Served = 0;
  int m_Told = 0; ///< Refused, with when to come back.
  int m_Other = 0;

  int all() const { return m_Served + m_Told + m_Other; }
};

/// A fleet before runners that say something of themselves in their answers.
class ServerWordsFleet : public GatewayTest {
public:
  /// From the first word on; all boxes have heard of it by then.
  static constexpr Duration Grace = 3s;
  static constexpr Duration Span = 4s;
  static constexpr Duration BetweenRequests = 50ms;

  explicit ServerWordsFleet(std::size_t Boxes) {
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

  bool allBelieve(const InstanceId &Id, double PerS) const {
    return std::all_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
      const NamedLimit *Limit = Box->state().m_Signals.limit(Id);
      return Limit != nullptr && Limit->m_PerS == PerS;
    });
  }
  bool noneBelieves(const InstanceId &Id) const {
    return std::none_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
      return Box->state().m_Signals.limit(Id) != nullptr;
    });
  }

  /// One request, again until it is served.
  FleetOutcome sendOne() {
    FleetOutcome Result;
    while (Result.m_Served == 0)
      Result = play(BetweenRequests + BetweenRequests / 2);
    return Result;
  }

  /// Adds a runner that answers well, with the header fields \p Words.
  void addSaying(const std::string &Id, const std::string &Words = "") {
    m_Words[Id] = Words;
    addRunner(Id, [this, Id](const Request &Of, const ConnectionPtr &To) {
      if (Of.m_Method != "POST")
        return;
      m_Arrived[Id].push_back(EventLoop::now());
      To->write(StandinRunner::answer(Of, m_Status[Id], "body", m_Words[Id]));
    });
    m_Status[Id] = 200;
  }

  void begin() {
    REQUIRE(until([&] {
      return std::all_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
        return Box->state().ready() &&
               Box->state().m_Upstreams.current().size() == m_Runners.size();
      });
    }));
  }

  /// Requests come through all boxes in turn for \p For; all get an answer.
  FleetOutcome play(Duration For) {
    FleetOutcome Result;
    int Done = 0;
    int Sent = 0;
    const auto Send = [&] {
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
              ++Result.m_Told;
            else
              ++Result.m_Other;
          });
    };
    {
      const Timer Each = m_Loop.every(BetweenRequests, Send);
      wait(For);
    }
    REQUIRE(until([&] { return Done == Sent; }));
    return Result;
  }

  /// Most arrivals in any span, from the time on at which the limit binds.
  std::size_t worstSpan(const std::string &Id) {
    const std::vector<TimePoint> &At = m_Arrived[Id];
    std::size_t Most = 0;
    for (std::size_t First = 0, Next = 0; Next < At.size(); ++Next) {
      while (At[Next] - At[First] >= Span || At[First] < At[0] + Grace) {
        if (First == Next)
          break;
        ++First;
      }
      if (At[First] >= At[0] + Grace)
        Most = std::max(Most, Next - First + 1);
    }
    return Most;
  }
  static std::size_t allowed(double PerS) {
    return static_cast<std::size_t>(1.5 * PerS * inSeconds(Span)) + 5;
  }

  std::vector<std::unique_ptr<Gateway>> m_Boxes;
  std::map<std::string, std::string> m_Words; ///< Header fields of answers.
  std::map<std::string, int> m_Status;
  std::map<std::string, std::vector<TimePoint>> m_Arrived;
  int m_Ids = 0;
};

} // namespace havenstair

#endif
