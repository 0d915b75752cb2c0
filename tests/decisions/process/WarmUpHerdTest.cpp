#include "decisions/request/ReplicaChoice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

using namespace havenstair;

namespace {

/// Boxes that choose among warm engines by loads that the others report late,
/// and one engine that loses all its work at once.
class HerdSimulation {
public:
  static constexpr std::size_t Boxes = 90;
  static constexpr std::size_t Engines = 8;
  static constexpr Duration Step = 5ms;
  /// Loads are reported this often, and reports take as long to arrive.
  static constexpr Duration ReportInterval = 250ms;

  explicit HerdSimulation(double RatePerSecond)
      : m_RatePerSecond(RatePerSecond), m_Loads(Boxes) {
    for (std::size_t Each = 0; Each < Engines; ++Each) {
      UpstreamInstance Engine;
      Engine.m_Id = "e" + std::to_string(Each);
      Engine.m_Zone = "a";
      Engine.m_Slots = 48;
      m_Engines.push_back(Engine);
    }
  }

  void play(Duration Length) {
    for (const TimePoint End = m_Now + Length; m_Now < End; m_Now += Step) {
      finish();
      if ((m_Now - TimePoint{}) % ReportInterval == 0us)
        reportLoads();
      if (m_Unit(m_Random) < m_RatePerSecond * inSeconds(Step))
        send(static_cast<std::size_t>(m_Unit(m_Random) * Boxes));
    }
  }
  /// Ends all requests of the first engine.
  void empty() {
    for (Running &Each : m_Running)
      if (Each.m_Engine == 0)
        Each.m_Ends = m_Now;
    m_EmptyAt = m_Now;
  }
  /// Most requests to the first engine in one second after it was emptied.
  std::size_t worstSecond() const {
    std::size_t Most = 0;
    for (auto First = m_Arrivals.begin(); First != m_Arrivals.end(); ++First) {
      if (*First < m_EmptyAt)
        continue;
      const auto End = std::lower_bound(First, m_Arrivals.end(), *First + 1s);
      Most = std::max(Most, static_cast<std::size_t>(End - First));
    }
    return Most;
  }

private:
  struct Running {
    TimePoint m_Ends;
    std::size_t m_Box;
    std::size_t m_Engine;
  };

  void finish() {
    std::erase_if(m_Running, [&](const Running &Each) {
      if (Each.m_Ends > m_Now)
        return false;
      m_Loads[Each.m_Box].onFirstToken(m_Engines[Each.m_Engine].m_Id, WorkMs);
      m_Loads[Each.m_Box].onEnded(m_Engines[Each.m_Engine].m_Id, 1);
      return true;
    });
  }
  void reportLoads() {
    std::vector<InstanceLoads> Reports;
    for (const LoadTracker &Each : m_Loads)
      Reports.push_back(Each.own());
    m_Reports.push_back(std::move(Reports));
    if (m_Reports.size() < 2)
      return;
    for (std::size_t From = 0; From < Boxes; ++From)
      for (std::size_t To = 0; To < Boxes; ++To)
        if (From != To)
          m_Loads[To].receiveLoads(BoxName("b" + std::to_string(From)),
                                   m_Reports.front()[From], m_Now);
    m_Reports.pop_front();
  }
  void send(std::size_t Box) {
    std::vector<const UpstreamInstance *> Candidates;
    for (const UpstreamInstance &Each : m_Engines)
      Candidates.push_back(&Each);
    RequestDescriptor Request;
    Request.m_Model = "m";
    Request.m_PromptTokens = 1;
    Request.m_Prompt = {{"own", 1}};
    const auto Chosen = chooseReplica(Candidates, Request, "a",
                                      {.m_Loads = m_Loads[Box],
                                       .m_Prefixes = m_Prefixes,
                                       .m_Latency = m_Latency,
                                       .m_Failures = m_Failures,
                                       .m_DataCentres = m_DataCentres},
                                      {}, m_Unit(m_Random), m_Now);
    const auto Engine =
        static_cast<std::size_t>(Chosen->m_Instance - m_Engines.data());
    m_Loads[Box].onSent(Chosen->m_Instance->m_Id, WorkMs, 1);
    m_Running.push_back({m_Now + 600ms, Box, Engine});
    if (Engine == 0)
      m_Arrivals.push_back(m_Now);
  }

  static constexpr double WorkMs = 100;

  double m_RatePerSecond;
  std::vector<LoadTracker> m_Loads;
  std::vector<UpstreamInstance> m_Engines;
  PrefixIndex m_Prefixes{1e6};
  LatencyModel m_Latency;
  FailureTracker m_Failures;
  DataCentreMap m_DataCentres;
  std::deque<std::vector<InstanceLoads>> m_Reports;
  std::vector<Running> m_Running;
  std::vector<TimePoint> m_Arrivals;
  std::mt19937_64 m_Random{1};
  std::uniform_real_distribution<double> m_Unit{0, 1};
  TimePoint m_Now{1000s};
  TimePoint m_EmptyAt{};
};

} // namespace

TEST_CASE("Boxes rush to an engine that empties while they take it for warm",
          "[.][warmup-herd]") {
  for (const double PerEngine : {2.0, 4.0, 6.0, 10.0}) {
    HerdSimulation Boxes(PerEngine * HerdSimulation::Engines);
    Boxes.play(5s);
    Boxes.empty();
    Boxes.play(3s);
    UNSCOPED_INFO("at " << PerEngine << " a second for each engine: "
                        << Boxes.worstSecond() << " in the worst second");
  }
  SUCCEED();
}
