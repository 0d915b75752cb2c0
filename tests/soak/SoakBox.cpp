#include "soak/SoakBox.h"

#include "wire/common/Json.h"

#include <csignal>
#include <fstream>
#include <utility>

namespace havenstair {

namespace {

constexpr Duration LookEvery = 20ms;
constexpr double GraceSeconds = 8;

} // namespace

SoakBox::SoakBox(EventLoop &Loop, SoakOracle &Oracle, Options Opts)
    : m_Loop(Loop), m_Oracle(Oracle), m_Opts(std::move(Opts)),
      m_StoreLink(Loop, {"127.0.0.1", 0}, m_Opts.m_Store),
      m_PeerLink(Loop, {m_Opts.m_SeedAddress, m_Opts.m_Ports.m_Peers},
                 {m_Opts.m_Address, m_Opts.m_Ports.m_Peers}),
      m_Look(Loop.every(LookEvery, [this] { look(); })) {}

void SoakBox::writeSettings() const {
  const SoakBounds &Bounds = m_Opts.m_Bounds;
  const int Peers = m_Opts.m_Ports.m_Peers;
  Json Seeds = Json::array();
  for (const std::string &Address : m_Opts.m_Seeds)
    Seeds.push_back(Endpoint{Address, Peers}.str());
  const Json File{
      {"nodeName", m_Renamed ? m_Opts.m_Name + "-" + std::to_string(m_Life)
                             : m_Opts.m_Name},
      {"ipAddress", m_Opts.m_Address},
      {"zone", m_Opts.m_DataCentre},
      {"zones", {{"za", "ra"}, {"zb", "rb"}, {"zc", "rb"}}},
      {"listenAddresses",
       {{"frontend", callers().str()}, {"ready", readiness().str()}}},
      {"internalPortRange", {Peers, Peers + 2}},
      {"seedNodes", std::move(Seeds)},
      {"firstStart", m_Life == 1},
      {"limits",
       {{"cpuFraction", m_Opts.m_Capacity},
        {"memoryMb", m_Opts.m_MemoryMb},
        {"fileDescriptors", m_Opts.m_Descriptors}}},
      {"bounds",
       {{"gracePeriodS", GraceSeconds},
        {"drainTimeoutMs", Bounds.m_Drain / 1ms},
        {"leaseDurationMs", Bounds.m_LeaderHandover / 1ms},
        {"retryBudgetRatio", Bounds.m_RetryRatio},
        {"budgetWindowS", Bounds.m_RetryWindow / 1s},
        {"retryBudgetAllowance", Bounds.m_RetryAllowance},
        {"ceilingWindowS", Bounds.m_LoadWindow / 1s},
        {"ceilingOverage", Bounds.m_LoadOverage},
        {"coldOverage", Bounds.m_ColdOverage},
        {"coldAllowance", Bounds.m_ColdAllowance},
        {"evacuationMs", Bounds.m_Evacuate / 1ms}}},
      {"platform",
       {{"address", m_StoreLink.endpoint().str()}, {"ttl_min_ms", 1000}}}};
  std::ofstream(m_Opts.m_Folder + "/" + m_Opts.m_Name + ".json")
      << dumpJson(File);
}

void SoakBox::holdPort() {
  const std::optional<Taken> Wanted = std::exchange(m_Taken, std::nullopt);
  if (!Wanted)
    return;
  m_HeldPort =
      std::make_unique<HeldPort>(Endpoint{m_Opts.m_Address, Wanted->m_Port});
  m_PortRelease = m_Loop.after(Wanted->m_For, [this] { m_HeldPort.reset(); });
}

void SoakBox::start() {
  ++m_Life;
  holdPort();
  m_Away = m_Leaving = false;
  writeSettings();
  const std::string Base = m_Opts.m_Folder + "/" + m_Opts.m_Name;
  m_Process = std::make_unique<ChildProcess>(ChildProcess::Options{
      .m_Program = m_Opts.m_Program,
      .m_Arguments = {"serve", "--node-file", Base + ".json"},
      .m_Environment = {},
      .m_ErrorFile = Base + ".err",
      .m_OutputFile = Base + ".log"});
}

void SoakBox::signal(int Number) {
  if (!m_Away)
    m_Process->signal(Number);
}

void SoakBox::pause() {
  ++m_Paused;
  m_Oracle.trouble().begin(name(), EventLoop::now());
  signal(SIGSTOP);
}

void SoakBox::resume() {
  m_Oracle.trouble().end(name(), EventLoop::now());
  if (--m_Paused == 0)
    signal(SIGCONT);
}

void SoakBox::hold() { signal(SIGSTOP); }

void SoakBox::release() {
  if (m_Paused == 0)
    signal(SIGCONT);
}

void SoakBox::hangUp() { signal(SIGHUP); }

void SoakBox::kill(Duration Away) {
  if (m_Away)
    return;
  if (!std::exchange(m_Leaving, true))
    m_Oracle.trouble().begin(name(), EventLoop::now());
  m_AwayFor = Away;
  signal(SIGKILL);
}

void SoakBox::stop(Duration Away) {
  if (m_Away || std::exchange(m_Leaving, true))
    return;
  m_Oracle.trouble().begin(name(), EventLoop::now());
  m_AwayFor = Away;
  m_KillAt = EventLoop::now() + fromSeconds(GraceSeconds);
  signal(SIGTERM);
}

void SoakBox::look() {
  const TimePoint Now = EventLoop::now();
  if (!m_Process || m_Away)
    return;
  if (m_Process->running()) {
    if (m_Leaving && m_KillAt != TimePoint() && Now >= m_KillAt)
      signal(SIGKILL);
    return;
  }
  m_Away = true;
  if (!std::exchange(m_Leaving, true)) {
    m_Oracle.boxEnded(name(), m_Process->wait(), Now);
    m_Oracle.trouble().begin(name(), Now);
    m_AwayFor = 0us;
  }
  m_Return = m_Loop.after(m_AwayFor, [this] { startAgain(); });
}

void SoakBox::startAgain() {
  m_KillAt = TimePoint();
  start();
  // A pause that still lasts holds for the new process too.
  if (m_Paused > 0)
    signal(SIGSTOP);
  m_Oracle.trouble().end(name(), EventLoop::now());
}

} // namespace havenstair
