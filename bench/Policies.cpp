#include "Policies.h"

namespace havenstair::bench {

namespace {

/// A deadline so far off that nothing is refused for waiting.
constexpr double NeverRefuse = 1000;
/// The first default deadline of the product, 5 s, against 680 ms.
constexpr double FirstDeadline = 5.0 / 0.68;

RoutingHook leastOutstanding() {
  return [](const std::vector<Candidate> &All, std::uint64_t Prefix) {
    return leastPressure(All, Prefix);
  };
}

/// Loads each model once, evenly, then as many copies as there is room for.
class StaticPlacement : public PlacementPolicy {
public:
  std::vector<Move> plan(const PlacementInput &Input, TimePoint Now) override {
    Placement::Options Once;
    Once.m_DemandMovesPerMinute = 0;
    if (!m_Cover)
      m_Cover = std::make_unique<Placement>(Once);
    std::vector<Move> Moves = m_Cover->plan(Input, Now);
    if (Moves.empty() && Now == TimePoint{})
      spread(Input, Moves);
    return Moves;
  }

private:
  /// Second copies, model by model, on the engine with the most room.
  static void spread(const PlacementInput &Input, std::vector<Move> &Moves) {
    for (const auto &[Name, Entry] : Input.m_Catalogue->m_Entries) {
      const EngineView *Best = nullptr;
      for (const EngineView &Engine : Input.m_Engines) {
        const bool Able =
            Engine.m_Held.count(Name) == 0 &&
            Engine.m_Available >= Entry.m_Size &&
            (!Entry.isAdapter() || Engine.m_Held.count(Entry.m_Base) != 0);
        if (Able && (Best == nullptr || Engine.m_Available > Best->m_Available))
          Best = &Engine;
      }
      if (Best == nullptr)
        continue;
      Moves.push_back({.m_Upstream = Best->m_Upstream,
                       .m_Verb = MoveVerb::Load,
                       .m_Artifact = Name,
                       .m_Size = Entry.m_Size,
                       .m_Reason = MoveReason::Demand});
      return;
    }
  }

  std::unique_ptr<Placement> m_Cover;
};

/// Plans nothing: loads come from requests.
class NoPlacement : public PlacementPolicy {
public:
  std::vector<Move> plan(const PlacementInput &, TimePoint) override {
    return {};
  }
};

/// The settings with which Placement was first written.
Placement::Options firstOptions(double FewMoves) {
  const auto Between = [FewMoves](double Attainment, double Moves) {
    return Attainment + FewMoves * (Moves - Attainment);
  };
  Placement::Options Opts;
  Opts.m_BusyPressure = Between(0.8, 1.3);
  Opts.m_SparePressure = Between(0.7, 0.4);
  Opts.m_BusyFor = Duration(static_cast<Duration::rep>(Between(1e6, 8e6)));
  Opts.m_MinResidence =
      Duration(static_cast<Duration::rep>(Between(20e6, 180e6)));
  Opts.m_DemandMovesPerMinute = Between(40, 6);
  return Opts;
}

} // namespace

Policy staticPlacement() {
  return {.m_Name = "static",
          .m_Routing = leastOutstanding(),
          .m_Placement = [] { return std::make_unique<StaticPlacement>(); },
          .m_Fair = false,
          .m_Deadline = NeverRefuse,
          .m_Spill = true};
}

Policy loadOnDemand() {
  return {.m_Name = "on-demand",
          .m_Routing = leastOutstanding(),
          .m_Placement = [] { return std::make_unique<NoPlacement>(); },
          .m_Fair = false,
          .m_Deadline = NeverRefuse,
          .m_LoadOnDemand = true,
          .m_Spill = false};
}

Policy firstVersion(double FewMoves) {
  return {.m_Name = "first-version",
          .m_Routing = leastOutstanding(),
          .m_Placement =
              [FewMoves] {
                return std::make_unique<Placement>(firstOptions(FewMoves));
              },
          .m_Deadline = FirstDeadline};
}

Policy current(double FewMoves) {
  return {.m_Name = "current",
          .m_Routing = defaultRouting(),
          .m_Placement =
              [FewMoves] {
                return std::make_unique<Placement>(
                    Placement::forPreference(FewMoves));
              },
          .m_Deadline = 1,
          .m_OfferedLoad = true};
}

} // namespace havenstair::bench
