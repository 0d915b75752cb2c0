/// \file
/// A real process with a limit of memory, before servers of two services.
#ifndef HAVENSTAIR_TESTS_PROCESS_MEMORYTEST_H
#define HAVENSTAIR_TESTS_PROCESS_MEMORYTEST_H

#include "standin/StandinRunner.h"
#include "standin/StandinStore.h"
#include "support/ChildProcess.h"
#include "wire/common/HttpClient.h"
#include "wire/common/HttpServer.h"
#include "wire/common/Json.h"

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace havenstair {

constexpr std::size_t BodyBytes = 4 << 20;

/// The first of \p Count ports in a row that were free at \p Address.
inline int freePorts(const std::string &Address, int Count) {
  for (int Try = 0; Try < 100; ++Try) {
    std::vector<int> Sockets;
    int First = 0;
    bool Free = true;
    for (int Next = 0; Next < Count && Free; ++Next) {
      sockaddr_in Wanted{};
      Wanted.sin_family = AF_INET;
      Wanted.sin_port =
          htons(static_cast<std::uint16_t>(First == 0 ? 0 : First + Next));
      inet_pton(AF_INET, Address.c_str(), &Wanted.sin_addr);
      socklen_t Length = sizeof(Wanted);
      Sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
      Free = bind(Sockets.back(), reinterpret_cast<sockaddr *>(&Wanted),
                  Length) == 0;
      getsockname(Sockets.back(), reinterpret_cast<sockaddr *>(&Wanted),
                  &Length);
      First = First == 0 ? ntohs(Wanted.sin_port) : First;
    }
    for (int Each : Sockets)
      close(Each);
    if (Free)
      return First;
  }
  throw std::runtime_error("no free ports at " + Address);
}

/// A real process before a stand-in store, and one upstream that answers when
/// it is told to.
class MemoryTest {
public:
  /// When the settings are written.
  enum class Settings { BeforeStart, HalfAtStart };

  explicit MemoryTest(int MemoryMb, Settings Written = Settings::BeforeStart)
      : m_MemoryMb(MemoryMb), m_Written(Written),
        m_Ports(freePorts(Address, 5)), m_Store(m_Loop),
        m_Upstream(m_Loop,
                   {.m_Listen = {"127.0.0.1", 0},
                    .m_Limits = {.m_MaxBody = BodyBytes}},
                   [this](const HttpExchangePtr &Exchange) { take(Exchange); }),
        m_Faulty(m_Loop,
                 [this](const StandinRunner::Request &Received,
                        const StandinRunner::ConnectionPtr &To) {
                   if (m_FaultyBehaviour)
                     m_FaultyBehaviour(Received, To);
                 }),
        m_Client(m_Loop), m_Folder(std::filesystem::temp_directory_path() /
                                   ("memory-test-" + std::to_string(getpid()))),
        m_Look(m_Loop.every(5ms, [this] { look(); })) {
    std::filesystem::create_directories(m_Folder);
    configure();
    start();
  }
  ~MemoryTest() { std::filesystem::remove_all(m_Folder); }
  MemoryTest(const MemoryTest &) = delete;
  MemoryTest &operator=(const MemoryTest &) = delete;

  bool until(const std::function<bool()> &Done) {
    return m_Loop.runUntil(Done, Limit);
  }
  void post(const std::string &Path, const SharedBytes &Body) {
    HttpCall Call;
    Call.m_To = {Address, m_Ports};
    Call.m_Method = HttpMethod::Post;
    Call.m_Target = Path;
    Call.m_Body = Body;
    Call.m_IdleTimeout = Limit;
    Call.m_Headers = {
        {"Host", "test.example"},
        {"X-Attempt-Id", "r" + std::to_string(++m_Sent)},
        {"X-Deadline-Remaining-Ms", std::to_string(m_Deadline / 1ms)}};
    m_Client.fetch(std::move(Call), [this, Path](const HttpAnswer &Answer) {
      ++m_Answers[Path][Answer.m_Status];
      if (Answer.m_Status == 503)
        m_AllTellWhen = m_AllTellWhen &&
                        !findHeader(Answer.m_Headers, "Retry-After").empty();
    });
  }
  int answers(const std::string &Path, int Status) {
    return m_Answers[Path][Status];
  }
  int answered(const std::string &Path) {
    int Sum = 0;
    for (const auto &[Status, Count] : m_Answers[Path])
      Sum += Count;
    return Sum;
  }
  /// Answers what has come, and from now on all that comes.
  void answerAll() {
    m_Answering = true;
    for (const HttpExchangePtr &Each : std::exchange(m_Held, {}))
      answer(Each);
  }
  /// What the server of the routes `faulty` and `events` does.
  void setFaulty(StandinRunner::Behaviour Behave) {
    m_FaultyBehaviour = std::move(Behave);
  }
  EventLoop &loop() { return m_Loop; }
  /// Of requests that are sent from now on.
  void setDeadline(Duration Deadline) { m_Deadline = Deadline; }
  /// How often each status was the answer to a request for \p Path.
  std::string statuses(const std::string &Path) {
    std::string Result;
    for (const auto &[Status, Count] : m_Answers[Path])
      Result += std::to_string(Status) + ": " + std::to_string(Count) + "; ";
    return Result;
  }
  void answerWith(std::size_t Bytes) { m_AnswerBytes = Bytes; }

  double mostMb() const { return m_MostMb; }
  int memoryMb() const { return m_MemoryMb; }
  bool allTellWhen() const { return m_AllTellWhen; }
  bool running() { return m_Process->running(); }

private:
  static constexpr const char *Address = "127.0.83.1";
  static constexpr Duration Limit = 60s;
  static constexpr double Megabyte = 1e6;

  static void answer(const HttpExchangePtr &Exchange, std::size_t Bytes) {
    Exchange->reply(200,
                    {{"X-Attempt-Id", Exchange->header("X-Attempt-Id")},
                     {"X-Server-Signature", "s"}},
                    std::string(Bytes, 'a'));
  }
  void answer(const HttpExchangePtr &Exchange) const {
    answer(Exchange, m_AnswerBytes);
  }
  void take(const HttpExchangePtr &Exchange) {
    if (m_Answering || Exchange->path().starts_with("/small/"))
      answer(Exchange,
             Exchange->path().starts_with("/small/") ? 1 : m_AnswerBytes);
    else
      m_Held.push_back(Exchange);
  }

  Json route(const std::string &Name, const std::string &Kind,
             const std::string &Service = "s") const {
    return {{"name", Name},       {"host", "test.example"},
            {"priority", 1},      {"pathPrefix", "/" + Name + "/"},
            {"routeKind", Kind},  {"timeoutMs", 60000},
            {"service", Service}, {"targetLatencyMs", 5000},
            {"maxAttempts", 2},   {"resumable", false}};
  }

  void configure() {
    m_Store.put(
        "op/config",
        dumpJson({{"version", 1},
                  {"routes",
                   Json::array({route("small", "safe"), route("safe", "safe"),
                                route("unsafe", "unsafe"),
                                route("faulty", "safe", "f"),
                                route("events", "streaming", "f")})},
                  {"services", Json::array({{{"name", "s"}}, {{"name", "f"}}})},
                  {"limits", {{"maxBodyBytes", BodyBytes}}}}));
    list("i-1", "s", m_Upstream.endpoint());
    list("i-2", "f", m_Faulty.endpoint());
  }

  void list(const std::string &Id, const std::string &Service,
            const Endpoint &At) {
    m_Store.put("servers/" + Id, dumpJson({{"service", Service},
                                           {"address", At.str()},
                                           {"zone", "a"},
                                           {"slots", 2000},
                                           {"state", "ready"},
                                           {"version", "v1"},
                                           {"coldRemainingMs", 0},
                                           {"sequenceNumber", 1}}));
  }

  void start() {
    const std::string File = m_Folder / "node.json";
    const auto At = [&](int Port) {
      return Endpoint{Address, m_Ports + Port}.str();
    };
    const std::string Text = dumpJson(
        {{"nodeName", "box-1"},
         {"ipAddress", Address},
         {"zone", "a"},
         {"zones", {{"a", "r"}}},
         {"listenAddresses", {{"frontend", At(0)}, {"ready", At(1)}}},
         {"internalPortRange", {m_Ports + 2, m_Ports + 4}},
         {"seedNodes", Json::array()},
         {"firstStart", true},
         {"limits", {{"cpuFraction", 1}, {"memoryMb", m_MemoryMb}}},
         {"bounds", Json::object()},
         {"platform",
          {{"address", m_Store.endpoint().str()}, {"ttl_min_ms", 1000}}}});
    const bool Half = m_Written == Settings::HalfAtStart;
    std::ofstream(File) << (Half ? Text.substr(0, Text.size() / 2) : Text);
    const char *Programs = std::getenv("HAVENSTAIR_TEST_PROGRAMS");
    REQUIRE(Programs != nullptr);
    m_Process = std::make_unique<ChildProcess>(ChildProcess::Options{
        .m_Program = std::string(Programs) + "/havenstaird",
        .m_Arguments = {"serve", "--node-file", File},
        .m_ErrorFile = m_Folder / "err",
        .m_OutputFile = m_Folder / "log"});
    if (Half) {
      REQUIRE(until(
          [&] { return errorOutput().find("waits") != std::string::npos; }));
      std::ofstream(File) << Text;
    }
    bool Ready = false;
    const Timer Ask = m_Loop.every(50ms, [&] {
      HttpCall Call;
      Call.m_To = {Address, m_Ports + 1};
      Call.m_Target = "/v1/readiness";
      m_Client.fetch(std::move(Call), [&](const HttpAnswer &Answer) {
        Ready = Ready || Answer.m_Status == 200;
      });
    });
    REQUIRE(until([&] { return Ready; }));
  }

  std::string errorOutput() const {
    std::ifstream Output(m_Folder / "err");
    return {std::istreambuf_iterator<char>(Output), {}};
  }

  /// Ends the process as the platform does once it holds too much.
  void look() {
    if (!m_Process || !m_Process->running())
      return;
    std::ifstream File("/proc/" + std::to_string(m_Process->id()) + "/statm");
    double Size = 0;
    double Resident = 0;
    File >> Size >> Resident;
    const double Now =
        Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / Megabyte;
    m_MostMb = std::max(m_MostMb, Now);
    if (Now > m_MemoryMb)
      m_Process->signal(SIGKILL);
  }

  const int m_MemoryMb;
  const Settings m_Written;
  const int m_Ports;
  EventLoop m_Loop;
  StandinStore m_Store;
  HttpServer m_Upstream;
  StandinRunner m_Faulty;
  StandinRunner::Behaviour m_FaultyBehaviour;
  HttpClient m_Client;
  std::filesystem::path m_Folder;
  std::unique_ptr<ChildProcess> m_Process;
  std::vector<HttpExchangePtr> m_Held;
  std::map<std::string, std::map<int, int>> m_Answers;
  int m_Sent = 0;
  Duration m_Deadline = 60s;
  std::size_t m_AnswerBytes = 1;
  bool m_Answering = false;
  bool m_AllTellWhen = true;
  double m_MostMb = 0;
  Timer m_Look;
};

} // namespace havenstair

#endif
