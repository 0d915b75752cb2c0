#include "soak/SoakRun.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace havenstair {

namespace {

constexpr Duration ReadyWithin = 20s;
constexpr Duration LastAnswers = 7s; ///< Beyond the callers' patience.
constexpr Duration OwnPassEvery = 10ms;
constexpr Duration OwnPause = 100ms; ///< Longer ones excuse late events.

constexpr int StreamingCallers = 12;
// Enough streams are open at a loss of all boxes to judge how many go on.
constexpr int StreamingCallersOfReleases = 48;
constexpr Duration DeadlineOfReleases = 12s;
constexpr int ManySlots = 32; ///< Room for all that callers send.

constexpr std::size_t PageSizeOfPower = 50;

const char *const DataCentres[] = {"za", "zb", "zc"};

/// Addresses of this process's boxes: 127.X.Y.N, with X and Y by its id.
std::string loopback(int Number) {
  constexpr int Range = 250;
  const int Process = getpid() % (Range * Range);
  return "127." + std::to_string(1 + Process / Range) + "." +
         std::to_string(1 + Process % Range) + "." + std::to_string(Number);
}

int bindAt(const std::string &Address, int Port, int &Socket) {
  Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Wanted{};
  Wanted.sin_family = AF_INET;
  Wanted.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Address.c_str(), &Wanted.sin_addr);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Wanted), sizeof(Wanted)) != 0)
    return 0;
  socklen_t Length = sizeof(Wanted);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Wanted), &Length);
  return ntohs(Wanted.sin_port);
}

/// Five ports in a row that are free at \p Address.
SoakPorts freePorts(const std::string &Address) {
  constexpr int Tries = 100;
  constexpr int Ports = 5;
  for (int Try = 0; Try < Tries; ++Try) {
    int Sockets[Ports];
    const int First = bindAt(Address, 0, Sockets[0]);
    bool Free = First != 0;
    for (int Next = 1; Next < Ports; ++Next)
      Free = bindAt(Address, First + Next, Sockets[Next]) != 0 && Free;
    for (int Each : Sockets)
      close(Each);
    if (Free)
      return {
          .m_Callers = First, .m_Readiness = First + 1, .m_Peers = First + 2};
  }
  throw std::runtime_error("no free ports at " + Address);
}

} // namespace

SoakPlan SoakRun::planOf(const Options &Opts) {
  SoakPlan Result =
      Opts.m_ConfigPlan
          ? makeConfigPlan(Opts.m_Seed, Opts.m_Length, Opts.m_Again)
      : Opts.m_Skew ? makeSkewPlan(Opts.m_Seed)
      : Opts.m_Returns
          ? makeReturnPlan(Opts.m_Seed, Opts.m_Power
                                            ? Opts.m_Length - PowerSettling
                                            : Opts.m_Length)
          : makePlan(Opts.m_Seed, Opts.m_Length);
  if (Opts.m_Returns && Opts.m_Absent)
    addAbsentReleases(Result, Opts.m_Seed);
  Result.m_Boxes = Opts.m_Boxes.value_or(Result.m_Boxes);
  // Each box has callers, who tell what it serves.
  if (Opts.m_Returns)
    Result.m_Callers = 2 * Result.m_Boxes;
  Result.m_Engines = Opts.m_Engines.value_or(Result.m_Engines);
  Result.m_Models = Opts.m_Models.value_or(Result.m_Models);
  Result.m_DataCentres = Opts.m_DataCentres.value_or(Result.m_DataCentres);
  if (Opts.m_Returns && Opts.m_Power)
    addPower(Result, Opts.m_Seed);
  if (Opts.m_Returns && Opts.m_Versions && !Opts.m_Absent)
    addReleases(Result, Opts.m_Seed);
  if (Opts.m_Returns && Opts.m_StoreTroubles)
    addStoreTroubles(Result, Opts.m_Seed);
  if (Opts.m_Words)
    addWords(Result, Opts.m_Seed, Opts.m_Length);
  if (Opts.m_Restores)
    addRestores(Result, Opts.m_Seed, Opts.m_Length);
  if (Opts.m_Endings)
    addEndings(Result, Opts.m_Seed, Opts.m_Length);
  if (Opts.m_Brittle)
    addBrittleness(Result, Opts.m_Seed, Opts.m_Length);
  if (Opts.m_Partitions)
    addPartitions(Result, Opts.m_Seed, Opts.m_Length);
  return Result;
}

/// More engines load more models in the same time.
SoakRun::Options SoakRun::withBounds(Options Opts) {
  constexpr double LoadsPerSecondOfEngine = 1.0 / 7;
  double &Loads = Opts.m_Bounds.m_LoadsPerSecond;
  Loads = std::max(Loads, planOf(Opts).m_Engines * LoadsPerSecondOfEngine);
  return Opts;
}

SoakRun::SoakRun(Options Opts)
    : m_Opts(withBounds(std::move(Opts))), m_Plan(planOf(m_Opts)),
      m_Oracle(m_Opts.m_Bounds), m_Store(m_Loop),
      m_Config(m_Store, m_Oracle, m_Opts.m_Bounds),
      m_Callers(m_Loop, m_Oracle, m_Config, m_Boxes),
      m_Crashing(m_Loop, m_Oracle, m_Boxes),
      m_Skewed(m_Loop, m_Oracle, m_Boxes), m_Streams(m_Loop, m_Oracle, m_Boxes),
      m_Faults({.m_Loop = m_Loop,
                .m_Oracle = m_Oracle,
                .m_Store = m_Store,
                .m_Config = m_Config,
                .m_Boxes = m_Boxes,
                .m_Engines = m_Engines}),
      m_Shares(m_Loop), m_Http(m_Loop) {
  m_Config.setModels(m_Plan.m_Models);
  if (m_Plan.m_Power)
    m_Store.setPageSize(PageSizeOfPower);
  if (m_Plan.m_Power)
    m_Faults.returns().loseServersToo();
  if (m_Opts.m_TakenPorts)
    m_Faults.returns().takePorts();
  // Of the two regions, the route may use the one with data centre za only.
  m_Oracle.routing().allowed("/near/x", {"za"});
  makeEngines();
  makeBoxes();
  if (m_Opts.m_Renamed)
    for (const auto &Each : m_Boxes)
      Each->renameAtStarts();
  if (m_Opts.m_ConfigPlan)
    linkThroughProxies();
  if (m_Opts.m_Returns)
    m_Callers.stayAtBox();
  if (m_Opts.m_Endings)
    playEndings();
  if (m_Opts.m_Partitions)
    m_Faults.partitions().prepare();
  if (m_Opts.m_Versions && !m_Plan.m_Releases)
    for (const auto &Each : m_Engines)
      Each->playVersions();
  mutate();
}

void SoakRun::playEndings() {
  for (const auto &Each : m_Engines) {
    Each->playEndings();
    Each->endings()->setClaimingWhole(m_Opts.m_Mutation ==
                                      Mutation::ClaimWhole);
  }
  m_Callers.readRaw();
}

/// Boxes enter the addresses of their own proxies in the store, so that each
/// link between them passes one.
void SoakRun::linkThroughProxies() {
  m_Store.setRewrite([this](const std::string &, const std::string &Value) {
    for (const auto &Box : m_Boxes) {
      const std::string Own = Box->peers().str();
      const auto At = Value.find("\"" + Own + "\"");
      if (At == std::string::npos)
        continue;
      std::string Result = Value;
      return Result.replace(At + 1, Own.size(),
                            Box->peerLink().endpoint().str());
    }
    return Value;
  });
}

void SoakRun::makeEngines() {
  constexpr Duration StoreLoadOfPower = 3s;
  ModelShelf::Options Shelf{.m_LimitMb = SoakConfig::EngineMb,
                            .m_AdapterLimit = SoakConfig::AdapterLimit,
                            .m_ModelMb = SoakConfig::ModelMb,
                            .m_AdapterMb = SoakConfig::AdapterMb,
                            .m_ChecksTokens = m_Plan.m_FencingEnforced};
  if (m_Plan.m_Power)
    Shelf.m_StoreLoad = StoreLoadOfPower;
  const int Started = m_Plan.m_Plain + m_Plan.m_Engines;
  // With releases, as many more may start.
  const int All = m_Plan.m_Releases ? 2 * Started : Started;
  for (int Number = 0; Number < All; ++Number) {
    const bool Plain = Number % Started < m_Plan.m_Plain;
    SoakEngine::Options Opts{
        .m_Name = (Plain ? "s" : "e") + std::to_string(Number),
        .m_Service =
            Plain ? SoakConfig::PlainService : SoakConfig::EngineService,
        .m_DataCentre = DataCentres[Number % m_Plan.m_DataCentres],
        .m_Shelf = std::nullopt,
        .m_Seed = m_Opts.m_Seed + static_cast<std::uint64_t>(Number),
        .m_Starts = Number < Started};
    if (m_Plan.m_Releases || m_Opts.m_Skew)
      Opts.m_Slots = ManySlots;
    if (!Plain)
      Opts.m_Shelf = Shelf;
    m_Engines.push_back(
        std::make_unique<SoakEngine>(m_Loop, m_Store, m_Oracle, Opts));
  }
}

double SoakRun::capacity(int Number) const {
  constexpr double Strong = 0.5;
  if (m_Plan.m_Strong == 0)
    return 1;
  return Number <= m_Plan.m_Strong ? Strong : m_Opts.m_WeakShare;
}

void SoakRun::makeBoxes() {
  constexpr int FirstSeedAddress = 100;
  constexpr int MemoryMb = 160;
  constexpr int MemoryMbOfStrong = 512;
  constexpr int Descriptors = 4100;
  constexpr int SeedBoxes = 3;
  const SoakPorts Ports = freePorts(loopback(1));
  std::vector<std::string> Seeds;
  for (int Number = 1; Number <= std::min(m_Plan.m_Boxes, SeedBoxes); ++Number)
    Seeds.push_back(loopback(FirstSeedAddress + Number));
  for (int Number = 1; Number <= m_Plan.m_Boxes; ++Number)
    m_Boxes.push_back(std::make_unique<SoakBox>(
        m_Loop, m_Oracle,
        SoakBox::Options{
            .m_Name = "box-" + std::to_string(Number),
            .m_DataCentre = DataCentres[Number % m_Plan.m_DataCentres],
            .m_Capacity = capacity(Number),
            .m_MemoryMb = m_Plan.m_Strong == 0        ? 0
                          : Number <= m_Plan.m_Strong ? MemoryMbOfStrong
                                                      : MemoryMb,
            .m_Descriptors = m_Plan.m_Strong == 0 ? 0 : Descriptors,
            .m_Address = loopback(Number),
            .m_SeedAddress = loopback(FirstSeedAddress + Number),
            .m_Ports = Ports,
            .m_Seeds = Seeds,
            .m_Store = m_Store.endpoint(),
            .m_Program = m_Opts.m_Program,
            .m_Folder = m_Opts.m_Folder,
            .m_Bounds = m_Opts.m_Bounds}));
}

void SoakRun::mutate() {
  m_Config.setMoreRoutes(m_Opts.m_MoreRoutes);
  if (m_Opts.m_Mutation == Mutation::HideEra)
    m_Store.setEra(std::nullopt);
  m_Config.setWithholding(m_Opts.m_Mutation == Mutation::WithholdConfig);
  for (const auto &Each : m_Engines) {
    Each->setWithholding(m_Opts.m_Mutation == Mutation::WithholdLeaving);
    Each->setSilent(m_Opts.m_Mutation == Mutation::SilenceWords);
    if (m_Opts.m_Mutation == Mutation::SpoilAnswer)
      Each->setSpoiling(true);
    if (m_Opts.m_Mutation == Mutation::DoubleUnsafe)
      Each->link().setDoubled([](const std::string &Bytes) {
        return Bytes.starts_with("POST /unsafe/");
      });
  }
}

/// Upgrades the boxes one after the other, then rolls back in the same order.
void SoakRun::replaceBoxes() {
  const std::size_t Steps = 2 * m_Boxes.size();
  for (std::size_t Step = 0; Step < Steps; ++Step) {
    const bool Upgrade = Step < m_Boxes.size();
    SoakBox &Box = *m_Boxes[Step % m_Boxes.size()];
    const Duration At = m_Opts.m_Length * (Step + 1) / (Steps + 1);
    m_Timers.push_back(m_Loop.after(At, [this, &Box, Upgrade] {
      Box.setProgram(Upgrade ? m_Opts.m_Program : m_Opts.m_Previous);
      Box.stop(0us);
    }));
  }
}

/// No server takes anything any more once the boxes were lost.
void SoakRun::refuseAfterLoss() {
  for (const ScheduledFault &Each : m_Plan.m_Faults)
    if (Each.m_Kind == SoakFault::LoseBoxes)
      m_Timers.push_back(m_Loop.after(Each.m_At, [this] {
        for (const auto &Engine : m_Engines)
          Engine->link().setRefusing(true);
      }));
}

void SoakRun::watchOwnPauses() {
  m_LastPass = EventLoop::now();
  m_Timers.push_back(m_Loop.every(OwnPassEvery, [this] {
    const TimePoint Now = EventLoop::now();
    const Duration Pause = Now - m_LastPass;
    m_LongestPause = std::max(m_LongestPause, Pause);
    if (Pause > OwnPause)
      m_Oracle.trouble().add(Disturbances::Harness, m_LastPass, Now);
    m_LastPass = Now;
  }));
}

void SoakRun::waitReady() {
  for (const auto &Box : m_Boxes) {
    bool Ready = false;
    const TimePoint End = EventLoop::now() + ReadyWithin;
    while (!Ready && !m_Interrupted) {
      if (EventLoop::now() > End)
        throw std::runtime_error(Box->name() + " is not ready");
      bool Answered = false;
      HttpCall Call;
      Call.m_To = Box->readiness();
      Call.m_Target = "/v1/readiness";
      m_Http.fetch(std::move(Call), [&](const HttpAnswer &Answer) {
        Ready = Answer.ok();
        Answered = true;
      });
      m_Loop.runUntil([&] { return Answered; }, ReadyWithin);
      m_Loop.runUntil([] { return false; }, Ready ? 0ms : 50ms);
    }
  }
}

void SoakRun::startStreams() {
  StreamCallers::Options Opts{.m_Seed = m_Opts.m_Seed};
  if (m_Opts.m_Versions)
    Opts.m_Callers = StreamingCallers;
  if (m_Plan.m_Releases) {
    Opts.m_Callers = StreamingCallersOfReleases;
    Opts.m_Deadline = DeadlineOfReleases;
    Opts.m_WaitLong = true;
    Opts.m_KeepConnections = true;
    Opts.m_OnlyPlain = m_Plan.m_Engines == 0;
  }
  m_Streams.start(Opts);
}

/// Before the end, connections go to all boxes again for a while.
void SoakRun::startSkewed() {
  constexpr Duration SkewedFor = 12s;
  constexpr Duration CalmAtEnd = 4s;
  if (!m_Opts.m_Skew)
    return;
  m_Skewed.start(
      {.m_Seed = m_Opts.m_Seed,
       .m_PerSecond = static_cast<double>(m_Opts.m_PerSecond),
       .m_PerSecondSkewed = static_cast<double>(m_Opts.m_PerSecondSkewed),
       .m_Models = m_Plan.m_Engines > 0 ? m_Plan.m_Models : 0,
       .m_From = m_Opts.m_Length - CalmAtEnd - SkewedFor,
       .m_For = SkewedFor});
}

bool SoakRun::play() {
  const auto Interrupt = [this] { m_Interrupted = true; };
  m_Timers.push_back(m_Loop.onSignal(SIGINT, Interrupt));
  m_Timers.push_back(m_Loop.onSignal(SIGTERM, Interrupt));
  watchOwnPauses();
  m_Config.next();
  for (const auto &Box : m_Boxes) {
    if (!m_Opts.m_Previous.empty())
      Box->setProgram(m_Opts.m_Previous);
    Box->start();
  }
  waitReady();
  if (m_Opts.m_Held)
    for (std::size_t Index = 0; Index < m_Boxes.size(); ++Index)
      m_Shares.hold(*m_Boxes[Index], capacity(static_cast<int>(Index) + 1));
  m_Started = EventLoop::now();
  for (const ScheduledFault &Each : m_Plan.m_Faults)
    m_Timers.push_back(
        m_Loop.after(Each.m_At, [this, Each] { m_Faults.strike(Each); }));
  if (m_Opts.m_Mutation == Mutation::RefuseAfterLoss)
    refuseAfterLoss();
  if (!m_Opts.m_Previous.empty())
    replaceBoxes();
  m_Callers.start(m_Plan.m_Callers, m_Opts.m_Seed);
  m_Crashing.start(m_Opts.m_Crashing, m_Opts.m_Parts, m_Opts.m_Seed);
  startStreams();
  startSkewed();
  m_Loop.runUntil([this] { return m_Interrupted; }, m_Opts.m_Length);
  m_Callers.stop();
  m_Crashing.stop();
  m_Streams.stop();
  m_Skewed.stop();
  m_Loop.runUntil(
      [this] {
        return m_Interrupted || m_Callers.open() + m_Skewed.open() == 0;
      },
      LastAnswers);
  m_Oracle.finish(EventLoop::now());
  return !m_Interrupted;
}

} // namespace havenstair
