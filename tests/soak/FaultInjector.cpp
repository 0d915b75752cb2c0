#include "soak/FaultInjector.h"

#include "wire/common/Json.h"

#include <array>

namespace havenstair {

namespace {

using Direction = LoopbackProxy::Direction;

constexpr Duration LinkDelay = 400ms;
constexpr Duration StoreDelay = 250ms;
constexpr Duration EngineDelay = 600ms;
constexpr Duration OrderDelay = 1500ms;
constexpr int AnswersHarmed = 3;

template <typename Part>
Part &pick(const std::vector<std::unique_ptr<Part>> &From, int Number) {
  return *From[static_cast<std::size_t>(Number) % From.size()];
}

/// Entries that name no server to use.
std::string rubbish(int Number) {
  const std::array<std::string, 7> Kinds{
      std::string("\xff\xfe\x00\x01", 4),
      "{",
      "[]",
      R"({"service":7,"address":[],"slots":"many"})",
      R"({"service":"plain"})",
      R"({"service":"plain","address":"nowhere","state":"ready"})",
      R"({"service":"none","address":"127.0.0.1:1","state":"dreaming",)"
      R"("born":"yesterday"})"};
  return Kinds[static_cast<std::size_t>(Number) % Kinds.size()];
}

bool watchesConfig(const std::string &Asked) {
  return Asked.starts_with("GET /v1/kv-watch") &&
         Asked.find("op%2Fconfig") != std::string::npos;
}

} // namespace

void FaultInjector::strike(const ScheduledFault &Fault) {
  SoakBox &Box = pick(m_On.m_Boxes, Fault.m_Target);
  if (Fault.m_Kind == SoakFault::RestoreStore)
    return restoreStore(Fault);
  if (Fault.m_Kind == SoakFault::CutBoxes)
    return m_Partitions.strike(Fault);
  if (Fault.m_Kind == SoakFault::LoseBoxes)
    return m_Returns.strike(Fault);
  if (Fault.m_Kind == SoakFault::ReplaceVersion ||
      Fault.m_Kind == SoakFault::JoinVersion)
    return m_Releases.strike(Fault);
  if (Fault.m_Kind == SoakFault::BrittleService)
    return strikeService(Fault);
  if (Fault.m_Kind == SoakFault::PauseServer)
    return pauseServer(Fault, pick(m_On.m_Engines, Fault.m_Target));
  if (Fault.m_Kind == SoakFault::HarmEndings) {
    SoakEngine &Engine = pick(m_On.m_Engines, Fault.m_Target);
    return hold(&Engine, Fault.m_Kind, Fault.m_For,
                [&Engine](bool On) { Engine.endings()->setHarming(On); });
  }
  if (Fault.m_Kind >= SoakFault::NameLimit)
    return strikeWords(Fault, pick(m_On.m_Engines, Fault.m_Target));
  if (Fault.m_Kind <= SoakFault::HangUpBox)
    strikeBox(Fault, Box);
  else if (Fault.m_Kind <= SoakFault::RefuseAtStore)
    strikeStoreLink(Fault, Box);
  else if (Fault.m_Kind <= SoakFault::SilencePeerLink)
    strikePeerLink(Fault, Box);
  else if (Fault.m_Kind <= SoakFault::ForgetHistory)
    strikeStore(Fault);
  else if (Fault.m_Kind <= SoakFault::SurplusAnswers)
    strikeEngine(Fault, pick(m_On.m_Engines, Fault.m_Target));
  else if (Fault.m_Kind <= SoakFault::SilenceEngineLink)
    strikeEngineLink(Fault, pick(m_On.m_Engines, Fault.m_Target));
  else if (Fault.m_Kind <= SoakFault::Evacuate)
    strikeKeys(Fault);
  else
    strikeWaysOfConfig(Fault, Box);
}

void FaultInjector::later(Duration Delay, Call Undo) {
  m_Timers.push_back(m_On.m_Loop.after(Delay, std::move(Undo)));
}

void FaultInjector::trouble(const std::string &Subject, Duration For,
                            Call Undo) {
  m_On.m_Oracle.trouble().begin(Subject, EventLoop::now());
  later(For, [this, Subject, Undo = std::move(Undo)] {
    Undo();
    m_On.m_Oracle.trouble().end(Subject, EventLoop::now());
  });
}

void FaultInjector::hold(const void *Part, SoakFault Kind, Duration For,
                         const std::function<void(bool)> &Set) {
  int &Holding = m_Holding[{Part, Kind}];
  ++Holding;
  Set(true);
  later(For, [&Holding, Set] {
    if (--Holding == 0)
      Set(false);
  });
}

void FaultInjector::strikeBox(const ScheduledFault &Fault, SoakBox &Box) {
  switch (Fault.m_Kind) {
  case SoakFault::PauseBox:
    Box.pause();
    return later(Fault.m_For, [&Box] { Box.resume(); });
  case SoakFault::KillBox:
    return Box.kill(Fault.m_For);
  case SoakFault::StopBox:
    return Box.stop(Fault.m_For);
  default:
    return Box.hangUp();
  }
}

void FaultInjector::strikeStoreLink(const ScheduledFault &Fault, SoakBox &Box) {
  LoopbackProxy &Link = Box.storeLink();
  trouble(Box.name(), Fault.m_For, [] {});
  switch (Fault.m_Kind) {
  case SoakFault::DelayStoreLink:
    return hold(&Link, Fault.m_Kind, Fault.m_For,
                [&Link](bool On) { Link.setDelay(On ? LinkDelay : 0us); });
  case SoakFault::CutToStore:
    return hold(&Link, Fault.m_Kind, Fault.m_For,
                [&Link](bool On) { Link.setCut(Direction::ToServer, On); });
  case SoakFault::CutFromStore:
    return hold(&Link, Fault.m_Kind, Fault.m_For,
                [&Link](bool On) { Link.setCut(Direction::ToClient, On); });
  case SoakFault::RefuseAtStore:
    return hold(&Link, Fault.m_Kind, Fault.m_For,
                [&Link](bool On) { Link.setRefusing(On); });
  case SoakFault::SilenceStoreLink:
    return Link.silenceOpen();
  default:
    return Link.resetOpen();
  }
}

void FaultInjector::strikePeerLink(const ScheduledFault &Fault, SoakBox &Box) {
  LoopbackProxy &Link = Box.peerLink();
  // Whoever talks to that box may have a harmed link.
  for (const auto &Each : m_On.m_Boxes)
    trouble(Each->name(), Fault.m_For, [] {});
  if (Fault.m_Kind == SoakFault::DelayPeerLink)
    return hold(&Link, Fault.m_Kind, Fault.m_For,
                [&Link](bool On) { Link.setDelay(On ? LinkDelay : 0us); });
  if (Fault.m_Kind == SoakFault::SilencePeerLink)
    return Link.silenceOpen();
  Link.resetOpen();
}

void FaultInjector::applyStoreFault() {
  using Fault = StandinStore::Fault;
  m_On.m_Store.setFault(m_Silent > 0 ? Fault::Silent
                        : m_Down > 0 ? Fault::Refuses
                                     : Fault::None);
}

void FaultInjector::strikeStore(const ScheduledFault &Fault) {
  // History may go at any time; nobody is excused for it.
  if (Fault.m_Kind == SoakFault::ForgetHistory)
    return m_On.m_Store.forgetHistory();
  trouble(Disturbances::Store, Fault.m_For, [] {});
  if (Fault.m_Kind == SoakFault::SlowStore) {
    for (const auto &Each : m_On.m_Boxes) {
      LoopbackProxy &Link = Each->storeLink();
      hold(&Link, SoakFault::DelayStoreLink, Fault.m_For,
           [&Link](bool On) { Link.setDelay(On ? StoreDelay : 0us); });
    }
    return;
  }
  if (Fault.m_Kind == SoakFault::LoseStoreAnswer) {
    if (m_Down + m_Silent == 0)
      m_On.m_Store.setFault(StandinStore::Fault::LosesAnswer);
    return;
  }
  int &Count = Fault.m_Kind == SoakFault::DownStore ? m_Down : m_Silent;
  ++Count;
  applyStoreFault();
  // Leases of those who were lost with the store outlive its absence.
  if (m_Returns.losesServers())
    m_On.m_Store.holdLeases(true);
  later(Fault.m_For, [this, &Count] {
    --Count;
    applyStoreFault();
    if (m_Returns.losesServers() && m_Down + m_Silent == 0)
      m_On.m_Store.holdLeases(false);
  });
  // Some servers lapse meanwhile, and are back soon after.
  constexpr Duration Lapses = 3s;
  constexpr Duration BackWithin = 1500ms;
  if (Fault.m_For < Lapses)
    return;
  SoakEngine &Engine = pick(m_On.m_Engines, Fault.m_Target);
  later(Lapses, [&Engine] { Engine.lapse(); });
  later(Fault.m_For + BackWithin, [&Engine] { Engine.publish(); });
}

/// Keeps a copy now; the store goes away when the copy has its age, and comes
/// back from it. Operators and servers write again soon after.
void FaultInjector::restoreStore(const ScheduledFault &Fault) {
  constexpr std::array<Duration, 5> CopyAges{20ms, 200ms, 1s, 4s, 9s};
  constexpr std::array<Duration, 3> RewriteDelays{50ms, 500ms, 1500ms};
  const auto Target = static_cast<std::size_t>(Fault.m_Target);
  const Duration RewriteAfter = RewriteDelays.at(Target % RewriteDelays.size());
  m_On.m_Store.keepCopy();
  later(CopyAges.at(Target / RewriteDelays.size() % CopyAges.size()),
        [this, For = Fault.m_For, RewriteAfter] {
          ++m_Silent;
          applyStoreFault();
          trouble(Disturbances::Store, For, [this, RewriteAfter] {
            m_On.m_Store.restore(RewriteAfter);
            --m_Silent;
            applyStoreFault();
          });
        });
}

void FaultInjector::strikeEngine(const ScheduledFault &Fault,
                                 SoakEngine &Engine) {
  switch (Fault.m_Kind) {
  case SoakFault::RestartEngine:
    return Engine.restart(0us);
  case SoakFault::RestartColdEngine:
    return Engine.restart(Fault.m_For);
  case SoakFault::DrainEngine:
  case SoakFault::VanishEngine:
    Engine.leave(Fault.m_Kind == SoakFault::DrainEngine);
    return later(Fault.m_For, [&Engine] { Engine.comeBack(); });
  case SoakFault::LateEngine:
    return hold(&Engine, Fault.m_Kind, Fault.m_For,
                [&Engine](bool On) { Engine.setLate(On ? EngineDelay : 0us); });
  case SoakFault::LateOrders:
    // Loads that begin late come in bunches.
    trouble(Engine.id(), Fault.m_For + OrderDelay, [] {});
    return hold(&Engine, Fault.m_Kind, Fault.m_For, [&Engine](bool On) {
      Engine.setOrdersLate(On ? OrderDelay : 0us);
    });
  case SoakFault::BreakAnswers:
    return Engine.breakOff(AnswersHarmed);
  default:
    return Engine.sendSurplus(AnswersHarmed);
  }
}

void FaultInjector::strikeWords(const ScheduledFault &Fault,
                                SoakEngine &Engine) {
  // Below one a second, above, and more than is sent anyhow.
  constexpr std::array<double, 5> Limits{0.5, 1, 2.5, 6, 200};
  switch (Fault.m_Kind) {
  case SoakFault::NameLimit:
    return hold(&Engine, Fault.m_Kind, Fault.m_For,
                [&Engine, Target = Fault.m_Target, Limits](bool On) {
                  const auto Number = static_cast<std::size_t>(Target);
                  Engine.nameLimit(
                      On ? std::optional(Limits.at(Number / 7 % Limits.size()))
                         : std::nullopt);
                });
  case SoakFault::SayLeaving:
    Engine.sayLeaving();
    return later(Fault.m_For, [&Engine] { Engine.comeBack(); });
  default:
    return hold(&Engine, Fault.m_Kind, Fault.m_For,
                [&Engine, For = Fault.m_For](bool On) {
                  Engine.askRetryAfter(On ? For : 0us);
                });
  }
}

void FaultInjector::strikeService(const ScheduledFault &Fault) {
  constexpr std::array<int, 4> Refusals{1, 3, 6, 12}; // In a second.
  const auto Number = static_cast<std::size_t>(Fault.m_Target);
  const std::string &Service = Fault.m_Target % 2 == 0
                                   ? SoakConfig::PlainService
                                   : SoakConfig::EngineService;
  std::vector<SoakEngine *> Servers;
  for (const auto &Each : m_On.m_Engines)
    if (Each->service() == Service)
      Servers.push_back(Each.get());
  m_On.m_Oracle.brittle().began(Service, static_cast<int>(Servers.size()));
  for (SoakEngine *Each : Servers)
    Each->sayBrittle(Refusals.at(Number / 2 % Refusals.size()));
  later(Fault.m_For, [Servers] {
    for (SoakEngine *Each : Servers)
      Each->sayBrittleNoMore();
  });
}

/// All its connections wait, and nothing is lost.
void FaultInjector::pauseServer(const ScheduledFault &Fault,
                                SoakEngine &Engine) {
  LoopbackProxy &Link = Engine.link();
  trouble(Engine.id(), Fault.m_For + LinkDelay, [] {});
  hold(&Link, SoakFault::CutToEngine, Fault.m_For,
       [&Link](bool On) { Link.setCut(Direction::ToServer, On); });
  hold(&Link, SoakFault::CutFromEngine, Fault.m_For,
       [&Link](bool On) { Link.setCut(Direction::ToClient, On); });
}

void FaultInjector::strikeEngineLink(const ScheduledFault &Fault,
                                     SoakEngine &Engine) {
  LoopbackProxy &Link = Engine.link();
  // Bytes that were delayed arrive after the end.
  trouble(Engine.id(), Fault.m_For + LinkDelay, [] {});
  switch (Fault.m_Kind) {
  case SoakFault::DelayEngineLink:
    return hold(&Link, Fault.m_Kind, Fault.m_For,
                [&Link](bool On) { Link.setDelay(On ? LinkDelay : 0us); });
  case SoakFault::CutToEngine:
    return hold(&Link, Fault.m_Kind, Fault.m_For,
                [&Link](bool On) { Link.setCut(Direction::ToServer, On); });
  case SoakFault::CutFromEngine:
    return hold(&Link, Fault.m_Kind, Fault.m_For,
                [&Link](bool On) { Link.setCut(Direction::ToClient, On); });
  case SoakFault::SilenceEngineLink:
    return Link.silenceOpen();
  default:
    return Link.resetOpen();
  }
}

void FaultInjector::strikeKeys(const ScheduledFault &Fault) {
  StandinStore &Store = m_On.m_Store;
  if (Fault.m_Kind == SoakFault::Configure)
    return m_On.m_Config.next();
  if (Fault.m_Kind == SoakFault::Rubbish) {
    const std::string Key = "servers/rubbish-" + std::to_string(m_Rubbish++);
    Store.put(Key, rubbish(Fault.m_Target));
    return later(Fault.m_For, [&Store, Key] { Store.remove(Key); });
  }
  const std::string DataCentre = Fault.m_Target % 2 == 0 ? "za" : "zb";
  hold(&Store,
       Fault.m_Target % 2 == 0 ? SoakFault::Evacuate : SoakFault::Rubbish,
       Fault.m_For, [this, DataCentre](bool On) {
         const std::string Key = "op/evacuate/" + DataCentre;
         if (On) {
           m_On.m_Store.put(Key, "{}");
           m_On.m_Oracle.routing().evacuated(DataCentre, EventLoop::now());
         } else {
           m_On.m_Store.remove(Key);
           m_On.m_Oracle.routing().readmitted(DataCentre);
         }
       });
}

void FaultInjector::strikeWaysOfConfig(const ScheduledFault &Fault,
                                       SoakBox &Box) {
  const auto Strike = [&](SoakBox &Each) {
    trouble(Each.name(), Fault.m_For, [] {});
    switch (Fault.m_Kind) {
    case SoakFault::SilenceConfigWatch:
    case SoakFault::SilenceConfigWatches:
      return Each.storeLink().silenceOpen(watchesConfig);
    case SoakFault::SilenceStoreLinks:
      return Each.storeLink().silenceOpen();
    case SoakFault::SilencePeerLinks:
      return Each.peerLink().silenceOpen();
    case SoakFault::SilenceAllLinks:
      Each.storeLink().silenceOpen();
      return Each.peerLink().silenceOpen();
    default:
      LoopbackProxy &Link = Each.storeLink();
      return hold(&Link, SoakFault::RefuseAtStore, Fault.m_For,
                  [&Link](bool On) { Link.setRefusing(On); });
    }
  };
  if (Fault.m_Kind == SoakFault::SilenceConfigWatch)
    return Strike(Box);
  for (const auto &Each : m_On.m_Boxes)
    if (Fault.m_Kind != SoakFault::TurnAwayBoxes || Each.get() != &Box)
      Strike(*Each);
}

} // namespace havenstair
