#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

namespace havenstair::bench {

namespace {

constexpr Duration RunTime = 300s;
/// Requests a second that the engines can decode, for each engine: eight in
/// a batch, 96 tokens each at 55 ms.
constexpr double RatePerEngine = 8.0 / (96 * 0.055);
constexpr MemoryMiB SmallestModel = 6000;
constexpr MemoryMiB ModelSpread = 9000;
constexpr MemoryMiB AdapterSize = 200;
/// Conversations that a group has open with a model; the calls of one share a
/// growing prompt.
constexpr std::uint64_t OpenConversations = 2;

ArtifactName modelName(int Number) {
  return ArtifactName("model-" + std::to_string(Number));
}

Catalogue makeCatalogue(const Deployment &Of, std::mt19937_64 &Random) {
  Catalogue Models;
  std::uniform_int_distribution<MemoryMiB> Extra(0, ModelSpread);
  for (int Number = 0; Number < Of.m_Models; ++Number)
    Models.m_Entries[modelName(Number)] = {
        .m_Name = modelName(Number), .m_Size = SmallestModel + Extra(Random)};
  for (int Number = 0; Number < Of.m_Adapters; ++Number) {
    const ArtifactName Name("adapter-" + std::to_string(Number));
    Models.m_Entries[Name] = {.m_Name = Name,
                              .m_Size = AdapterSize,
                              .m_Base = modelName(Number % Of.m_Models)};
  }
  return Models;
}

/// How a workload differs from the steady one.
struct Shape {
  double m_Load = 0.45; ///< Part of what the engines can decode.
  /// Factor of a model's share of the demand at a time.
  std::function<double(int Model, TimePoint)> m_ModelFactor;
  double m_GreedyFactor = 1; ///< Factor of the first group's rate.
  /// Factor of the whole rate at a time.
  std::function<double(TimePoint)> m_RateFactor;
};

bool within(TimePoint Now, Duration From, Duration To) {
  return TimePoint(From) <= Now && Now < TimePoint(To);
}

Shape shapeOf(const std::string &Name) {
  Shape Result;
  Result.m_ModelFactor = [](int, TimePoint) { return 1.0; };
  Result.m_RateFactor = [](TimePoint) { return 1.0; };
  if (Name == "quiet")
    Result.m_Load = 0.1;
  const bool Burst = Name == "burst" || Name == "platform-down";
  if (Burst)
    Result.m_ModelFactor = [](int Model, TimePoint Now) {
      return Model < 3 && within(Now, 60s, 240s) ? 10.0 : 1.0;
    };
  if (Name == "moving-burst")
    Result.m_ModelFactor = [](int Model, TimePoint Now) {
      const auto Turn = Now.time_since_epoch() / 60s;
      return Model / 2 == static_cast<int>(Turn) + 2 ? 15.0 : 1.0;
    };
  if (Name == "greedy")
    Result.m_GreedyFactor = 12;
  if (Name == "engine-lost" || Name == "centre-cut")
    Result.m_Load = 0.6;
  return Result;
}

/// The share of each model: a few are asked for often, most rarely (Zipf).
double popularity(int Model) { return 1.0 / std::pow(Model + 1, 0.8); }

class Maker {
public:
  Maker(const Deployment &Of, Shape Form, std::uint64_t Seed)
      : m_Of(Of), m_Form(std::move(Form)), m_Random(Seed) {}

  Workload make(const std::string &Name) {
    Workload Made;
    Made.m_Name = Name;
    Made.m_Models = makeCatalogue(m_Of, m_Random);
    Made.m_End = TimePoint(RunTime);
    double Usual = 0;
    for (int Model = 0; Model < m_Of.m_Models; ++Model)
      Usual += popularity(Model);
    const double Base = m_Form.m_Load * RatePerEngine * m_Of.m_Engines;
    TimePoint Now{};
    while (true) {
      const double Factor = demandAt(Now) / Usual;
      std::exponential_distribution<double> Gap(Base * Factor);
      Now += Duration(static_cast<Duration::rep>(Gap(m_Random) * 1e6));
      if (Now >= Made.m_End)
        return Made;
      Made.m_Arrivals.push_back(arrival(Now));
    }
  }

private:
  double demandAt(TimePoint Now) const {
    double Sum = 0;
    for (int Model = 0; Model < m_Of.m_Models; ++Model)
      Sum += popularity(Model) * m_Form.m_ModelFactor(Model, Now);
    const double Groups = m_Of.m_Groups - 1 + m_Form.m_GreedyFactor;
    return Sum * m_Form.m_RateFactor(Now) * Groups / m_Of.m_Groups;
  }

  int drawModel(TimePoint Now) {
    std::vector<double> Weights;
    for (int Model = 0; Model < m_Of.m_Models; ++Model)
      Weights.push_back(popularity(Model) * m_Form.m_ModelFactor(Model, Now));
    return std::discrete_distribution<int>(Weights.begin(),
                                           Weights.end())(m_Random);
  }

  int drawGroup() {
    std::vector<double> Weights(static_cast<std::size_t>(m_Of.m_Groups), 1);
    Weights[0] = m_Form.m_GreedyFactor;
    return std::discrete_distribution<int>(Weights.begin(),
                                           Weights.end())(m_Random);
  }

  Arrival arrival(TimePoint Now) {
    const int Model = drawModel(Now);
    const int Group = drawGroup();
    std::uniform_int_distribution<int> Centre(0, m_Of.m_DataCentres - 1);
    std::uniform_int_distribution<std::uint64_t> Conversation(
        0, OpenConversations - 1);
    std::uniform_int_distribution<int> Prompt(400, 3200);
    std::uniform_int_distribution<int> Tokens(32, 160);
    std::uniform_int_distribution<int> Kind(0, 3);
    Arrival Made;
    Made.m_At = Now;
    Made.m_DataCentre = Centre(m_Random);
    Made.m_Group = GroupName("group-" + std::to_string(Group));
    Made.m_Artifact = modelName(Model);
    // One call in four goes to an adapter of the model, where it has one.
    const bool HasAdapter = Model < m_Of.m_Adapters;
    if (Kind(m_Random) == 0 && HasAdapter)
      Made.m_Artifact = ArtifactName("adapter-" + std::to_string(Model));
    Made.m_Conversation = Conversation(m_Random) +
                          static_cast<std::uint64_t>(Group) * 1000 +
                          static_cast<std::uint64_t>(Model) * 100000;
    Made.m_PromptTokens = Prompt(m_Random);
    Made.m_Tokens = Tokens(m_Random);
    return Made;
  }

  const Deployment &m_Of;
  Shape m_Form;
  std::mt19937_64 m_Random;
};

} // namespace

Deployment cooperative() {
  return {.m_Name = "co-operative",
          .m_DataCentres = 4,
          .m_Engines = 20,
          .m_Models = 40,
          .m_Adapters = 90,
          .m_FewMoves = 0};
}

Deployment consortium() {
  return {.m_Name = "consortium",
          .m_DataCentres = 3,
          .m_Engines = 20,
          .m_Models = 35,
          .m_Adapters = 100,
          .m_Groups = 3,
          .m_FewMoves = 1};
}

const std::vector<std::string> &workloadNames() {
  static const std::vector<std::string> Names{
      "quiet",  "steady",      "burst",      "moving-burst",
      "greedy", "engine-lost", "centre-cut", "platform-down"};
  return Names;
}

Workload makeWorkload(const std::string &Name, const Deployment &Of,
                      std::uint64_t Seed) {
  Workload Made = Maker(Of, shapeOf(Name), Seed).make(Name);
  if (Name == "engine-lost")
    Made.m_EngineLostAt = TimePoint(100s);
  if (Name == "centre-cut")
    Made.m_DataCentreCut = Trouble{TimePoint(80s), TimePoint(200s)};
  if (Name == "platform-down")
    Made.m_PlatformDown = Trouble{TimePoint(50s), TimePoint(200s)};
  return Made;
}

} // namespace havenstair::bench
