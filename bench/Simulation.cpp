#include "Simulation.h"

#include <algorithm>
#include <deque>

namespace havenstair::bench {

namespace {

constexpr int SlotsPerEngine = 8;
constexpr MemoryMiB EngineMemory = 120000;
constexpr int BoxesPerCentre = 2;
constexpr Duration FirstTokenTarget = 680ms;
constexpr Duration BetweenTokensTarget = 77ms;
constexpr Duration DigestEvery = 1s;
constexpr int MaxAttempts = 3;
/// The weight store: 2 loads a second, 8 at once, a gigabyte takes 0.4 s.
constexpr Duration LoadGap = 500ms;
constexpr std::size_t LoadsAtOnce = 8;
constexpr double LoadSecondsPerGiB = 0.4;
constexpr double DemandGain = 0.3;

/// One request on its way.
struct Work {
  Arrival m_Arrival;
  RequestId m_Id;
  std::set<UpstreamName> m_Tried;
  UpstreamName m_At;
  int m_Home = 0;
  int m_Attempts = 0;
  bool m_Spilled = false;
  bool m_Done = false;
};
using WorkPtr = std::shared_ptr<Work>;

/// One engine with the owner's queue for it.
struct Served {
  FakeEngine m_Engine;
  UpstreamAdmission m_Admission;
  int m_Centre = 0;
  std::map<ArtifactName, double> m_Demand;
};

/// One data centre: its engines, its boxes' knowledge, its planner.
struct Centre {
  std::vector<UpstreamName> m_Engines;
  std::array<UpstreamDirectory, BoxesPerCentre> m_Boxes;
  std::unique_ptr<PlacementPolicy> m_Placement;
  DemandByArtifact m_Smoothed;
};

class Simulation {
public:
  Simulation(const Workload &Of, const Deployment &Size, const Policy &Rules)
      : m_Workload(Of), m_Rules(Rules) {
    makeCentres(Size);
  }

  Outcome run() {
    plan();
    // Models are placed before the first request, outside the measure.
    for (int Count = 0; Count < 200; ++Count)
      settleLoads();
    m_Outcome = {};
    sendDigests();
    at(TimePoint(m_Rules.m_PlanEvery), [this] { planLater(); });
    at(TimePoint(DigestEvery), [this] { digestLater(); });
    for (const Arrival &Each : m_Workload.m_Arrivals)
      at(Each.m_At, [this, &Each] { arrive(Each); });
    if (m_Workload.m_EngineLostAt)
      at(*m_Workload.m_EngineLostAt, [this] { loseEngine(); });
    while (!m_Events.empty()) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Call();
    }
    return std::move(m_Outcome);
  }

private:
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Order;
    std::function<void()> m_Call;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_At, Other.m_Order) < std::tie(m_At, m_Order);
    }
  };

  void at(TimePoint When, std::function<void()> Call) {
    m_Events.push({When, ++m_LastEvent, std::move(Call)});
  }

  void makeCentres(const Deployment &Size) {
    m_Centres.resize(static_cast<std::size_t>(Size.m_DataCentres));
    for (Centre &Each : m_Centres)
      Each.m_Placement = m_Rules.m_Placement();
    for (int Number = 0; Number < Size.m_Engines; ++Number) {
      const UpstreamName Name("engine-" + std::to_string(Number));
      const int Where = Number % Size.m_DataCentres;
      FairQueue::WeightOf WeightOf = [](const GroupName &) { return 1.0; };
      m_Engines.emplace(
          Name,
          Served{.m_Engine = FakeEngine(Name, EngineMemory, Number % 2 == 0),
                 .m_Admission = UpstreamAdmission({.m_Slots = SlotsPerEngine,
                                                   .m_WeightOf = WeightOf,
                                                   .m_InitialServiceTime = 4s}),
                 .m_Centre = Where});
      m_Centres[static_cast<std::size_t>(Where)].m_Engines.push_back(Name);
    }
    for (Centre &Each : m_Centres) {
      UpstreamList List{.m_Index = 1, .m_Upstreams = {}};
      for (const UpstreamName &Name : Each.m_Engines)
        List.m_Upstreams.push_back({.m_Name = Name, .m_Slots = SlotsPerEngine});
      for (UpstreamDirectory &Box : Each.m_Boxes)
        Box.apply(List);
    }
  }

  // Knowledge.

  void digestLater() {
    sendDigests();
    if (m_Now < m_Workload.m_End)
      at(m_Now + DigestEvery, [this] { digestLater(); });
  }

  void sendDigests() {
    ++m_Sequence;
    for (Centre &Each : m_Centres)
      for (const UpstreamName &Name : Each.m_Engines)
        sendDigest(Each, Name);
  }

  void sendDigest(Centre &Where, const UpstreamName &Name) {
    const Served &Of = m_Engines.at(Name);
    UpstreamDigest Digest;
    Digest.m_Upstream = Name;
    Digest.m_Assignment = 1;
    Digest.m_Sequence = m_Sequence;
    Digest.m_Ready = true;
    Digest.m_Load = Of.m_Admission.load(m_Now);
    if (!Of.m_Engine.m_Lost)
      Digest.m_Serving = Of.m_Engine.m_Serving;
    for (UpstreamDirectory &Box : Where.m_Boxes)
      Box.apply(Digest);
  }

  // Requests.

  void arrive(const Arrival &Of) {
    auto Item = std::make_shared<Work>();
    Item->m_Arrival = Of;
    Item->m_Id = RequestId(std::to_string(++m_LastRequest));
    Item->m_Home = Of.m_DataCentre;
    m_Work[Item->m_Id] = Item;
    ++m_Outcome.m_Requests;
    ++m_Outcome.m_RequestsOf[Of.m_Group];
    tryNext(Item, Of.m_DataCentre);
  }

  /// As in the product: local candidates by the routing hook, then one hop.
  void tryNext(const WorkPtr &Item, int Where) {
    const auto Box = static_cast<std::size_t>(m_LastRequest) % BoxesPerCentre;
    UpstreamDirectory &Known =
        m_Centres[static_cast<std::size_t>(Where)].m_Boxes[Box];
    const std::vector<Candidate> Left =
        Known.serving(Item->m_Arrival.m_Artifact, Item->m_Tried);
    if (!Left.empty() && Item->m_Attempts < MaxAttempts) {
      const UpstreamName Chosen =
          *m_Rules.m_Routing(Left, Item->m_Arrival.m_Conversation);
      Known.recordSent(Chosen);
      return offer(Item, Chosen);
    }
    if (Left.empty() && m_Rules.m_LoadOnDemand)
      return loadOnDemand(Item, Where);
    if (m_Rules.m_Spill && !Item->m_Spilled)
      return spill(Item);
    refuse(Item);
  }

  void spill(const WorkPtr &Item) {
    Item->m_Spilled = true;
    Item->m_Attempts = 0;
    const int Count = static_cast<int>(m_Centres.size());
    for (int Step = 1; Step < Count; ++Step) {
      const int Where = (Item->m_Home + Step) % Count;
      if (cut(Where) || cut(Item->m_Home))
        continue;
      const UpstreamDirectory &Known =
          m_Centres[static_cast<std::size_t>(Where)].m_Boxes[0];
      if (!Known.serving(Item->m_Arrival.m_Artifact, Item->m_Tried).empty())
        return tryNext(Item, Where);
    }
    refuse(Item);
  }

  bool cut(int Where) const {
    return m_Workload.m_DataCentreCut && Where == 0 &&
           m_Workload.m_DataCentreCut->at(m_Now);
  }

  void offer(const WorkPtr &Item, const UpstreamName &To) {
    Served &Of = m_Engines.at(To);
    ++Item->m_Attempts;
    Item->m_Tried.insert(To);
    const bool Able =
        !Of.m_Engine.m_Lost &&
        Of.m_Engine.m_Serving.count(Item->m_Arrival.m_Artifact) != 0;
    if (!Able)
      return tryNext(Item, Of.m_Centre);
    Item->m_At = To;
    Of.m_Demand[Item->m_Arrival.m_Artifact] += 1;
    const Duration Wait(static_cast<Duration::rep>(
        static_cast<double>(FirstTokenTarget.count()) * m_Rules.m_Deadline));
    const GroupName Group =
        m_Rules.m_Fair ? Item->m_Arrival.m_Group : GroupName("all");
    perform(Of, Of.m_Admission.offer(
                    {.m_Id = Item->m_Id,
                     .m_Group = Group,
                     .m_Cost = static_cast<double>(Item->m_Arrival.m_Tokens),
                     .m_Deadline = Item->m_Arrival.m_At + Wait},
                    m_Now));
  }

  void perform(Served &Of, const AdmissionActions &Actions) {
    for (const AdmissionAction &Action : Actions) {
      if (const auto *Start = std::get_if<StartRequest>(&Action)) {
        start(Of, m_Work.at(Start->m_Id));
        continue;
      }
      const WorkPtr Item = m_Work.at(std::get<RefuseRequest>(Action).m_Id);
      Of.m_Demand[Item->m_Arrival.m_Artifact] -= 1;
      tryNext(Item, Of.m_Centre);
    }
  }

  void start(Served &Of, const WorkPtr &Item) {
    const Arrival &Wanted = Item->m_Arrival;
    Of.m_Engine.m_LastUsed[Wanted.m_Artifact] = m_Now;
    const ServiceTimes Times =
        Of.m_Engine.begin(Wanted.m_Conversation, Wanted.m_PromptTokens,
                          Of.m_Admission.load(m_Now).m_Running - 1);
    m_Outcome.m_Cached += Times.m_Cached ? 1 : 0;
    const Duration First = m_Now - Wanted.m_At + Times.m_Prefill;
    const bool Met = First <= FirstTokenTarget &&
                     Times.m_BetweenTokens <= BetweenTokensTarget;
    at(m_Now + Times.whole(Wanted.m_Tokens),
       [this, Item, Met, To = Item->m_At] { finish(Item, To, Met); });
  }

  void finish(const WorkPtr &Item, const UpstreamName &To, bool Met) {
    if (Item->m_Done || Item->m_At != To)
      return;
    Served &Of = m_Engines.at(To);
    Of.m_Demand[Item->m_Arrival.m_Artifact] -= 1;
    if (Met) {
      ++m_Outcome.m_Met;
      ++m_Outcome.m_MetOf[Item->m_Arrival.m_Group];
    }
    end(Item);
    perform(Of, Of.m_Admission.finished(Item->m_Id, Item->m_Arrival.m_Tokens,
                                        m_Now));
  }

  void refuse(const WorkPtr &Item) {
    ++m_Outcome.m_Refused;
    m_Outcome.m_RefusedAfterMs.push_back(
        static_cast<double>((m_Now - Item->m_Arrival.m_At).count()) / 1000);
    end(Item);
  }

  void end(const WorkPtr &Item) {
    Item->m_Done = true;
    m_Work.erase(Item->m_Id);
  }

  void loseEngine() {
    Served &Of = m_Engines.begin()->second;
    Of.m_Engine.m_Lost = true;
    Of.m_Engine.m_Held.clear();
    Of.m_Engine.m_Serving.clear();
    // What ran there is lost; callers see an error.
    std::vector<WorkPtr> Lost;
    for (const auto &[Id, Item] : m_Work)
      if (Item->m_At == Of.m_Engine.m_Name)
        Lost.push_back(Item);
    for (const WorkPtr &Item : Lost) {
      Of.m_Admission.cancelled(Item->m_Id, m_Now);
      refuse(Item);
    }
    Of.m_Demand.clear();
  }

  // Placement.

  void planLater() {
    for (auto &[Name, Of] : m_Engines)
      perform(Of, Of.m_Admission.sweep(m_Now));
    plan();
    if (m_Now < m_Workload.m_End)
      at(m_Now + m_Rules.m_PlanEvery, [this] { planLater(); });
  }

  void plan() {
    for (Centre &Each : m_Centres) {
      smoothDemand(Each);
      PlacementInput Input;
      for (const UpstreamName &Name : Each.m_Engines)
        Input.m_Engines.push_back(view(m_Engines.at(Name)));
      Input.m_Demand = Each.m_Smoothed;
      for (const auto &[Name, Entry] : m_Workload.m_Models.m_Entries)
        Input.m_Callable.insert(Name);
      Input.m_Catalogue = &m_Workload.m_Models;
      for (const Move &Wanted : Each.m_Placement->plan(Input, m_Now))
        carryOut(Wanted);
    }
  }

  void smoothDemand(Centre &Of) {
    for (auto &[Name, Mean] : Of.m_Smoothed)
      Mean *= 1 - DemandGain;
    for (const UpstreamName &Name : Of.m_Engines)
      for (const auto &[Artifact, Count] : m_Engines.at(Name).m_Demand)
        Of.m_Smoothed[Artifact] += DemandGain * Count;
  }

  EngineView view(const Served &Of) const {
    EngineView Result;
    Result.m_Upstream = Of.m_Engine.m_Name;
    Result.m_Ready = !Of.m_Engine.m_Lost && mayOrder(Of.m_Engine);
    Result.m_Leaving = Of.m_Engine.m_Lost;
    Result.m_Available = Of.m_Engine.available();
    Result.m_Held = Of.m_Engine.m_Held;
    Result.m_Serving = Of.m_Engine.m_Serving;
    Result.m_Pressure = m_Rules.m_OfferedLoad
                            ? Of.m_Admission.load(m_Now).offered()
                            : Of.m_Admission.load(m_Now).pressure();
    return Result;
  }

  /// Without the platform there is no journal for engines without tokens.
  bool mayOrder(const FakeEngine &Of) const {
    const bool Down =
        m_Workload.m_PlatformDown && m_Workload.m_PlatformDown->at(m_Now);
    return Of.m_ChecksTokens || !Down;
  }

  void carryOut(const Move &Wanted) {
    FakeEngine &Engine = m_Engines.at(Wanted.m_Upstream).m_Engine;
    if (!mayOrder(Engine) || Engine.m_Lost)
      return;
    if (Wanted.m_Verb == MoveVerb::Unload) {
      if (Engine.m_Held.erase(Wanted.m_Artifact) != 0)
        ++m_Outcome.m_Moves[Wanted.m_Reason];
      Engine.m_Serving.erase(Wanted.m_Artifact);
      return;
    }
    if (Engine.available() < Wanted.m_Size ||
        !Engine.m_Held.emplace(Wanted.m_Artifact, Wanted.m_Size).second)
      return;
    ++m_Outcome.m_Moves[Wanted.m_Reason];
    m_LoadQueue.push_back(Wanted);
    startLoads();
  }

  void startLoads() {
    while (!m_LoadQueue.empty() && m_Loading < LoadsAtOnce) {
      const Move Next = m_LoadQueue.front();
      m_LoadQueue.pop_front();
      ++m_Loading;
      m_NextLoad = std::max(m_NextLoad, m_Now) + LoadGap;
      const double Seconds =
          static_cast<double>(Next.m_Size) / 1024 * LoadSecondsPerGiB;
      at(m_NextLoad + Duration(static_cast<Duration::rep>(Seconds * 1e6)),
         [this, Next] { loaded(Next); });
    }
  }

  void loaded(const Move &Done) {
    --m_Loading;
    FakeEngine &Engine = m_Engines.at(Done.m_Upstream).m_Engine;
    if (!Engine.m_Lost && Engine.m_Held.count(Done.m_Artifact) != 0) {
      Engine.m_Serving.insert(Done.m_Artifact);
      ++m_Sequence;
      const auto Where =
          static_cast<std::size_t>(m_Engines.at(Done.m_Upstream).m_Centre);
      sendDigest(m_Centres[Where], Done.m_Upstream);
      retryWaiting(Done.m_Artifact);
    }
    startLoads();
  }

  /// Before the run: everything that was planned is there.
  void settleLoads() {
    m_LoadQueue.clear();
    m_Loading = 0;
    m_Events = {};
    for (auto &[Name, Of] : m_Engines)
      for (const auto &[Artifact, Size] : Of.m_Engine.m_Held)
        Of.m_Engine.m_Serving.insert(Artifact);
    plan();
  }

  // The baseline that loads on demand.

  void loadOnDemand(const WorkPtr &Item, int Where) {
    m_WaitingFor[Item->m_Arrival.m_Artifact].push_back(Item);
    const ArtifactName &Name = Item->m_Arrival.m_Artifact;
    const CatalogueEntry *Entry = m_Workload.m_Models.find(Name);
    requestLoad(*Entry, Where);
  }

  void requestLoad(const CatalogueEntry &Entry, int Where) {
    Centre &At = m_Centres[static_cast<std::size_t>(Where)];
    for (const UpstreamName &Name : At.m_Engines)
      if (m_Engines.at(Name).m_Engine.m_Held.count(Entry.m_Name) != 0)
        return;
    UpstreamName Best;
    for (const UpstreamName &Name : At.m_Engines) {
      const Served &Of = m_Engines.at(Name);
      if (Of.m_Engine.m_Lost)
        continue;
      if (Best.empty() ||
          Of.m_Admission.load(m_Now).pressure() <
              m_Engines.at(Best).m_Admission.load(m_Now).pressure())
        Best = Name;
    }
    FakeEngine &Engine = m_Engines.at(Best).m_Engine;
    evictLeastRecent(Engine, Entry.m_Size);
    carryOut({.m_Upstream = Best,
              .m_Verb = MoveVerb::Load,
              .m_Artifact = Entry.m_Name,
              .m_Size = Entry.m_Size,
              .m_Reason = MoveReason::Demand});
  }

  void evictLeastRecent(FakeEngine &Engine, MemoryMiB Need) {
    while (Engine.available() < Need && !Engine.m_Serving.empty()) {
      const ArtifactName Oldest = *std::min_element(
          Engine.m_Serving.begin(), Engine.m_Serving.end(),
          [&](const auto &A, const auto &B) {
            return Engine.m_LastUsed[A] < Engine.m_LastUsed[B];
          });
      carryOut({.m_Upstream = Engine.m_Name,
                .m_Verb = MoveVerb::Unload,
                .m_Artifact = Oldest,
                .m_Size = Engine.m_Held[Oldest],
                .m_Reason = MoveReason::MakeRoom});
    }
  }

  void retryWaiting(const ArtifactName &Name) {
    std::vector<WorkPtr> Ready;
    std::swap(Ready, m_WaitingFor[Name]);
    for (const WorkPtr &Item : Ready)
      if (!Item->m_Done)
        tryNext(Item, Item->m_Home);
  }

  const Workload &m_Workload;
  const Policy &m_Rules;
  std::map<UpstreamName, Served> m_Engines;
  std::vector<Centre> m_Centres;
  std::priority_queue<Event> m_Events;
  std::map<RequestId, WorkPtr> m_Work;
  std::map<ArtifactName, std::vector<WorkPtr>> m_WaitingFor;
  std::deque<Move> m_LoadQueue;
  std::size_t m_Loading = 0;
  TimePoint m_NextLoad{};
  TimePoint m_Now{};
  std::uint64_t m_LastEvent = 0;
  std::uint64_t m_LastRequest = 0;
  std::uint64_t m_Sequence = 0;
  Outcome m_Outcome;
};

} // namespace

int Outcome::moves() const {
  int Sum = 0;
  for (const auto &[Reason, Count] : m_Moves)
    Sum += Count;
  return Sum;
}

double Outcome::attainment() const {
  return m_Requests == 0
             ? 0
             : static_cast<double>(m_Met) / static_cast<double>(m_Requests);
}

double Outcome::leastPolite() const {
  double Least = 1;
  for (const auto &[Group, Count] : m_RequestsOf) {
    if (Group == GroupName("group-0"))
      continue;
    const auto Met = m_MetOf.find(Group);
    const double Part =
        Met == m_MetOf.end()
            ? 0
            : static_cast<double>(Met->second) / static_cast<double>(Count);
    Least = std::min(Least, Part);
  }
  return Least;
}

Outcome simulate(const Workload &Of, const Deployment &Size,
                 const Policy &Rules) {
  return Simulation(Of, Size, Rules).run();
}

} // namespace havenstair::bench
