#include "decisions/process/Placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace havenstair {

namespace {

constexpr std::array<std::string_view, MoveReasonCount> ReasonNames{
    "coverage",  "adapter_base", "demand",
    "make_room", "not_callable", "upstream_leaves"};

std::string fixed(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.2f", Value);
  return Text.data();
}

} // namespace

std::string_view moveReasonName(MoveReason Reason) {
  return ReasonNames.at(static_cast<std::size_t>(Reason));
}

/// The state of one plan, with the engines as they are after the moves so far.
struct Placement::Working {
  const PlacementInput &m_Input;
  std::vector<EngineView> m_Engines;
  /// Copies held by engines that are not leaving.
  std::map<ArtifactName, int> m_Copies;
  /// Copies serving on engines that are not leaving.
  std::map<ArtifactName, int> m_Serving;
  /// Callable adapters by the name of their base.
  std::map<ArtifactName, std::vector<const CatalogueEntry *>> m_AdaptersOf;
  /// Indexes of the engines that hold each artifact.
  std::map<ArtifactName, std::vector<std::size_t>> m_HeldBy;
  std::vector<Move> m_Moves;
  TimePoint m_Now;
  int m_Loading = 0;

  Working(const PlacementInput &Input, TimePoint Now)
      : m_Input(Input), m_Engines(Input.m_Engines), m_Now(Now) {
    for (const ArtifactName &Name : Input.m_Callable)
      if (const CatalogueEntry *Entry = entry(Name);
          Entry != nullptr && Entry->isAdapter())
        m_AdaptersOf[Entry->m_Base].push_back(Entry);
    for (std::size_t Index = 0; Index < m_Engines.size(); ++Index) {
      count(m_Engines[Index]);
      for (const auto &[Name, Size] : m_Engines[Index].m_Held)
        m_HeldBy[Name].push_back(Index);
    }
  }

  void count(const EngineView &Engine) {
    for (const auto &[Name, Size] : Engine.m_Held) {
      const bool Serves = Engine.m_Serving.count(Name) != 0;
      if (!Serves)
        ++m_Loading;
      if (Engine.m_Leaving)
        continue;
      ++m_Copies[Name];
      if (Serves)
        ++m_Serving[Name];
    }
  }

  double demandFor(const ArtifactName &Name) const {
    const auto Found = m_Input.m_Demand.find(Name);
    return Found == m_Input.m_Demand.end() ? 0 : Found->second;
  }

  const CatalogueEntry *entry(const ArtifactName &Name) const {
    return m_Input.m_Catalogue->find(Name);
  }

  /// Whether \p Engine holds adapters that need \p Base there.
  bool hasAdaptersOf(const EngineView &Engine, const ArtifactName &Base) const {
    return std::any_of(Engine.m_Held.begin(), Engine.m_Held.end(),
                       [&](const auto &Item) {
                         const CatalogueEntry *Entry = entry(Item.first);
                         return Entry != nullptr && Entry->m_Base == Base;
                       });
  }

  /// Callable adapters of \p Base without a copy. They must share its engine.
  std::vector<const CatalogueEntry *>
  missingAdapters(const ArtifactName &Base) const {
    std::vector<const CatalogueEntry *> Result;
    const auto Range = m_AdaptersOf.find(Base);
    if (Range == m_AdaptersOf.end())
      return Result;
    for (const CatalogueEntry *Adapter : Range->second) {
      const auto Copies = m_Copies.find(Adapter->m_Name);
      if (Copies == m_Copies.end() || Copies->second == 0)
        Result.push_back(Adapter);
    }
    return Result;
  }

  /// Memory of an artifact together with its adapters that have no copy.
  MemoryMiB familySize(const CatalogueEntry &Entry) const {
    MemoryMiB Sum = Entry.m_Size;
    for (const CatalogueEntry *Adapter : missingAdapters(Entry.m_Name))
      Sum += Adapter->m_Size;
    return Sum;
  }

  /// Whether a leaving engine holds \p Name.
  bool leavesSomewhere(const ArtifactName &Name) const {
    return std::any_of(
        m_Engines.begin(), m_Engines.end(), [&](const EngineView &Engine) {
          return Engine.m_Leaving && Engine.m_Held.count(Name) != 0;
        });
  }

  /// Loads an artifact that has no copy, and selects the reason.
  void loadMissing(EngineView &Engine, const CatalogueEntry &Entry) {
    if (m_Input.m_Callable.count(Entry.m_Name) == 0)
      return load(Engine, Entry, MoveReason::AdapterBase,
                  "Base of a callable adapter, without a copy.");
    if (leavesSomewhere(Entry.m_Name))
      return load(Engine, Entry, MoveReason::UpstreamLeaves,
                  "Its only copies are on upstreams that leave.");
    load(Engine, Entry, MoveReason::Coverage,
         "Callable, but there was no copy.");
  }

  void load(EngineView &Engine, const CatalogueEntry &Entry, MoveReason Reason,
            std::string Why) {
    Engine.m_Available -= Entry.m_Size;
    Engine.m_Held[Entry.m_Name] = Entry.m_Size;
    ++m_Copies[Entry.m_Name];
    ++m_Loading;
    m_Moves.push_back({.m_Upstream = Engine.m_Upstream,
                       .m_Verb = MoveVerb::Load,
                       .m_Artifact = Entry.m_Name,
                       .m_Size = Entry.m_Size,
                       .m_Reason = Reason,
                       .m_Explanation = std::move(Why)});
  }

  /// Does not count the memory as available. The owner frees it when the unload
  /// is confirmed, and the load that needs it follows in a later plan.
  void unload(EngineView &Engine, const ArtifactName &Name, MoveReason Reason,
              std::string Why) {
    const MemoryMiB Size = Engine.m_Held.at(Name);
    Engine.m_Serving.erase(Name);
    --m_Copies[Name];
    --m_Serving[Name];
    m_Moves.push_back({.m_Upstream = Engine.m_Upstream,
                       .m_Verb = MoveVerb::Unload,
                       .m_Artifact = Name,
                       .m_Size = Size,
                       .m_Reason = Reason,
                       .m_Explanation = std::move(Why)});
  }
};

Placement::Options Placement::forPreference(double FewMoves) {
  const double Part = std::clamp(FewMoves, 0.0, 1.0);
  const auto Between = [Part](double Attainment, double Moves) {
    return Attainment + Part * (Moves - Attainment);
  };
  Options Opts;
  Opts.m_BusyPressure = Between(0.8, 1.3);
  Opts.m_SparePressure = Between(0.7, 0.4);
  Opts.m_BusyFor = Duration(static_cast<Duration::rep>(Between(1e6, 8e6)));
  Opts.m_MinResidence =
      Duration(static_cast<Duration::rep>(Between(20e6, 180e6)));
  Opts.m_DemandMovesPerMinute = Between(40, 6);
  return Opts;
}

std::vector<Move> Placement::plan(const PlacementInput &Input, TimePoint Now) {
  const double PerMinute = m_Opts.m_DemandMovesPerMinute;
  if (m_LastPlan) {
    const double Minutes =
        static_cast<double>((Now - *m_LastPlan).count()) / 60e6;
    m_MovesLeft = std::min(std::max(2.0, PerMinute / 4),
                           m_MovesLeft + Minutes * PerMinute);
  } else {
    m_MovesLeft = std::max(2.0, PerMinute / 4);
  }
  m_LastPlan = Now;
  Working State(Input, Now);
  recordHeld(State);
  cover(State);
  dropNotCallable(State);
  addCopies(State);
  return std::move(State.m_Moves);
}

void Placement::recordHeld(const Working &State) {
  std::map<std::pair<UpstreamName, ArtifactName>, TimePoint> Held;
  for (const EngineView &Engine : State.m_Engines)
    for (const auto &[Name, Size] : Engine.m_Held) {
      const auto Key = std::make_pair(Engine.m_Upstream, Name);
      const auto Known = m_HeldSince.find(Key);
      Held[Key] = Known == m_HeldSince.end() ? State.m_Now : Known->second;
    }
  m_HeldSince = std::move(Held);
}

void Placement::cover(Working &State) {
  std::vector<const CatalogueEntry *> Missing;
  for (const ArtifactName &Name : State.m_Input.m_Callable) {
    const CatalogueEntry *Entry = State.entry(Name);
    if (Entry == nullptr)
      continue;
    if (State.m_Copies[Name] == 0)
      Missing.push_back(Entry);
  }
  // The largest first, with their adapters, while there is room for them;
  // single adapters last.
  std::sort(Missing.begin(), Missing.end(), [&](const auto *A, const auto *B) {
    if (A->isAdapter() != B->isAdapter())
      return B->isAdapter();
    return State.familySize(*A) > State.familySize(*B);
  });
  for (const CatalogueEntry *Entry : Missing)
    if (State.m_Copies[Entry->m_Name] == 0)
      coverOne(State, *Entry);
}

void Placement::coverOne(Working &State, const CatalogueEntry &Entry) {
  std::vector<EngineView *> Places;
  bool BaseHeld = false;
  for (EngineView &Engine : State.m_Engines) {
    const bool HasBase =
        !Entry.isAdapter() || Engine.m_Held.count(Entry.m_Base) != 0;
    const bool Usable = Engine.m_Ready && !Engine.m_Leaving &&
                        Engine.m_Held.count(Entry.m_Name) == 0;
    BaseHeld = BaseHeld || (HasBase && !Engine.m_Leaving);
    if (Usable && HasBase)
      Places.push_back(&Engine);
  }
  if (Entry.isAdapter() && !BaseHeld) {
    const CatalogueEntry *Base = State.entry(Entry.m_Base);
    if (Base != nullptr && State.m_Copies[Base->m_Name] == 0)
      coverOne(State, *Base);
    return;
  }
  std::sort(Places.begin(), Places.end(),
            [](auto *A, auto *B) { return A->m_Available > B->m_Available; });
  // Prefers an engine with room for its adapters, which can go nowhere else.
  for (const MemoryMiB Need : {State.familySize(Entry), Entry.m_Size})
    for (EngineView *Engine : Places)
      if (Engine->m_Available >= Need)
        return loadFamily(State, *Engine, Entry);
  // It fits nowhere: tries the engine with the most available memory first, as
  // the least has to be unloaded there.
  for (EngineView *Engine : Places)
    if (makeRoom(State, *Engine, Entry.m_Size, Entry.m_Name, true))
      return;
}

void Placement::loadFamily(Working &State, EngineView &Engine,
                           const CatalogueEntry &Entry) {
  State.loadMissing(Engine, Entry);
  for (const CatalogueEntry *Adapter : State.missingAdapters(Entry.m_Name))
    if (Engine.m_Available >= Adapter->m_Size)
      State.loadMissing(Engine, *Adapter);
}

bool Placement::makeRoom(Working &State, EngineView &Engine, MemoryMiB Need,
                         const ArtifactName &For, bool ForCoverage) {
  struct Victim {
    double m_Demand;
    ArtifactName m_Name;
    MemoryMiB m_Size;
  };
  std::vector<Victim> Victims;
  for (const auto &[Name, Size] : Engine.m_Held) {
    const CatalogueEntry *Entry = State.entry(Name);
    const bool Callable = State.m_Input.m_Callable.count(Name) != 0;
    const bool Surplus = !Callable || State.m_Serving[Name] >= 2;
    if (Engine.m_Serving.count(Name) == 0 || !Surplus || Name == For)
      continue;
    if (Entry != nullptr && State.hasAdaptersOf(Engine, Name))
      continue;
    const TimePoint Since = m_HeldSince[{Engine.m_Upstream, Name}];
    if (!ForCoverage && State.m_Now < Since + m_Opts.m_MinResidence)
      continue;
    // The demand for each remaining copy.
    const double Left = std::max(1, State.m_Serving[Name] - 1);
    Victims.push_back({State.demandFor(Name) / Left, Name, Size});
  }
  std::sort(Victims.begin(), Victims.end(), [](const auto &A, const auto &B) {
    return A.m_Demand < B.m_Demand;
  });
  MemoryMiB Room = Engine.m_Available;
  std::size_t Count = 0;
  while (Room < Need && Count < Victims.size())
    Room += Victims[Count++].m_Size;
  if (Room < Need)
    return false;
  if (!ForCoverage && Count > 0 &&
      Victims[Count - 1].m_Demand * 2 > State.demandFor(For))
    return false;
  for (std::size_t Index = 0; Index < Count; ++Index)
    State.unload(Engine, Victims[Index].m_Name, MoveReason::MakeRoom,
                 "Room for " + For.str() + "; demand for each copy left " +
                     fixed(Victims[Index].m_Demand) + ".");
  return true;
}

void Placement::dropNotCallable(Working &State) {
  for (EngineView &Engine : State.m_Engines) {
    const std::set<ArtifactName> Serving = Engine.m_Serving;
    for (const ArtifactName &Name : Serving) {
      const bool Needed = State.m_Input.m_Callable.count(Name) != 0 ||
                          State.hasAdaptersOf(Engine, Name);
      // Kept while nothing else needs its memory: one move fewer for operators
      // to understand.
      const bool Crowded = Engine.m_Available < Engine.m_Held.at(Name);
      if (!Needed && Crowded && Engine.m_Ready)
        State.unload(Engine, Name, MoveReason::NotCallable,
                     "No group may call it.");
    }
  }
}

void Placement::addCopies(Working &State) {
  struct Busy {
    double m_Gain;
    double m_Best;
    const CatalogueEntry *m_Entry;
  };
  std::vector<Busy> List;
  for (const auto &[Name, Demand] : State.m_Input.m_Demand) {
    const CatalogueEntry *Entry = State.entry(Name);
    if (Entry == nullptr || State.m_Input.m_Callable.count(Name) == 0)
      continue;
    double Best = INFINITY;
    bool Loading = false;
    for (const std::size_t Index : State.m_HeldBy[Name]) {
      const EngineView &Engine = State.m_Engines[Index];
      if (Engine.m_Serving.count(Name) != 0)
        Best = std::min(Best, Engine.m_Pressure);
      else
        Loading = true;
    }
    const bool IsBusy = Best != INFINITY && Best > m_Opts.m_BusyPressure;
    if (!IsBusy) {
      m_BusySince.erase(Name);
      continue;
    }
    const TimePoint Since =
        m_BusySince.try_emplace(Name, State.m_Now).first->second;
    if (Loading || State.m_Now < Since + m_Opts.m_BusyFor)
      continue;
    List.push_back({Demand * Best, Best, Entry});
  }
  std::sort(List.begin(), List.end(),
            [](const auto &A, const auto &B) { return A.m_Gain > B.m_Gain; });
  for (const Busy &Each : List) {
    if (m_MovesLeft < 1 || State.m_Loading >= m_Opts.m_MaxLoading)
      return;
    if (addCopy(State, *Each.m_Entry, Each.m_Best))
      m_MovesLeft -= 1;
  }
}

bool Placement::addCopy(Working &State, const CatalogueEntry &Entry,
                        double Best) {
  std::vector<EngineView *> Places;
  for (EngineView &Engine : State.m_Engines) {
    const bool HasBase =
        !Entry.isAdapter() || Engine.m_Serving.count(Entry.m_Base) != 0;
    const bool Usable = Engine.m_Ready && !Engine.m_Leaving && HasBase &&
                        Engine.m_Held.count(Entry.m_Name) == 0;
    if (Usable && Engine.m_Pressure < m_Opts.m_SparePressure)
      Places.push_back(&Engine);
  }
  std::sort(Places.begin(), Places.end(),
            [](auto *A, auto *B) { return A->m_Pressure < B->m_Pressure; });
  const std::string Why = "Its least busy copy had pressure " + fixed(Best) +
                          ", demand " + fixed(State.demandFor(Entry.m_Name)) +
                          ".";
  for (EngineView *Engine : Places) {
    if (Engine->m_Available < Entry.m_Size)
      continue;
    State.load(*Engine, Entry, MoveReason::Demand, Why);
    // Keeps further copies of this plan from going to the same engine.
    Engine->m_Pressure += 0.5;
    return true;
  }
  for (EngineView *Engine : Places)
    if (makeRoom(State, *Engine, Entry.m_Size, Entry.m_Name, false))
      return true;
  return false;
}

} // namespace havenstair
