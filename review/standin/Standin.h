// Small stand-ins of the users' platform for the cases of this folder: the
// metadata store, plain runners, the machines' supervisor and HTTP clients.
// They follow the users' PROTOCOL and DEPLOY pages; where these are silent they
// behave like a sound store, runner, client or platform.
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point Began = Clock::now();

inline double seconds() {
  return std::chrono::duration<double>(Clock::now() - Began).count();
}

inline void sleepFor(double S) {
  std::this_thread::sleep_for(std::chrono::duration<double>(S));
}

/// The record of what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path) : m_File(fopen(Path.c_str(), "w")) {
    if (m_File == nullptr)
      throw std::runtime_error("no record at " + Path);
  }
  void write(const char *Format, ...) {
    std::lock_guard Lock(m_Mutex);
    fprintf(m_File, "%9.3f ", seconds());
    va_list Args;
    va_start(Args, Format);
    vfprintf(m_File, Format, Args);
    va_end(Args);
    fputc('\n', m_File);
    fflush(m_File);
  }

private:
  std::mutex m_Mutex;
  FILE *m_File;
};

inline std::string lower(std::string Text) {
  for (char &Each : Text)
    Each = static_cast<char>(tolower(Each));
  return Text;
}

/// A request or an answer of HTTP/1.1.
struct Message {
  std::string First; ///< The first line.
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  std::string header(const std::string &Name) const {
    for (const auto &[Key, Value] : Headers)
      if (lower(Key) == lower(Name))
        return Value;
    return {};
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    const auto At = First.find(' ') + 1;
    return First.substr(At, First.find(' ', At) - At);
  }
  int status() const {
    return First.size() > 12 ? atoi(First.c_str() + 9) : 0;
  }
};

/// A socket with a buffer of what was read.
class Wire {
public:
  explicit Wire(int Fd) : m_Fd(Fd) {
    int One = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  }
  Wire(const Wire &) = delete;
  ~Wire() {
    if (m_Fd >= 0)
      close(m_Fd);
  }
  int fd() const { return m_Fd; }
  /// Closes with a reset.
  void reset() {
    const linger Now{1, 0};
    setsockopt(m_Fd, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    shutdown(m_Fd, SHUT_RDWR);
  }
  bool fill(double Timeout) {
    pollfd Poll{m_Fd, POLLIN, 0};
    if (poll(&Poll, 1, static_cast<int>(Timeout * 1000)) <= 0)
      return false;
    char Buffer[65536];
    const ssize_t Got = recv(m_Fd, Buffer, sizeof(Buffer), 0);
    if (Got <= 0) {
      m_Ended = true;
      return false;
    }
    m_Read.append(Buffer, static_cast<std::size_t>(Got));
    return true;
  }
  bool line(std::string &Into, double Until) {
    for (;;) {
      const auto At = m_Read.find("\r\n");
      if (At != std::string::npos) {
        Into = m_Read.substr(0, At);
        m_Read.erase(0, At + 2);
        return true;
      }
      if (seconds() >= Until || !fill(Until - seconds()))
        return false;
    }
  }
  bool bytes(std::string &Into, std::size_t Count, double Until) {
    while (m_Read.size() < Count)
      if (seconds() >= Until || !fill(Until - seconds()))
        return false;
    Into += m_Read.substr(0, Count);
    m_Read.erase(0, Count);
    return true;
  }
  /// Reads a message whole. \returns whether one came within \p Timeout.
  bool read(Message &Into, double Timeout, bool NoBody = false) {
    const double Until = seconds() + Timeout;
    std::string Text;
    Into = {};
    if (!line(Into.First, Until))
      return false;
    for (;;) {
      if (!line(Text, Until))
        return false;
      if (Text.empty())
        break;
      const auto Colon = Text.find(':');
      if (Colon == std::string::npos)
        return false;
      auto Start = Text.find_first_not_of(' ', Colon + 1);
      Into.Headers.emplace_back(
          Text.substr(0, Colon),
          Start == std::string::npos ? "" : Text.substr(Start));
    }
    if (NoBody)
      return true;
    if (lower(Into.header("Transfer-Encoding")) == "chunked") {
      for (;;) {
        if (!line(Text, Until))
          return false;
        const std::size_t Size = strtoul(Text.c_str(), nullptr, 16);
        if (Size == 0)
          return line(Text, Until);
        if (!bytes(Into.Body, Size, Until) || !line(Text, Until))
          return false;
      }
    }
    const std::string Length = Into.header("Content-Length");
    return Length.empty() || bytes(Into.Body, strtoul(Length.c_str(), nullptr, 10),
                                   Until);
  }
  bool send(const std::string &Text) {
    std::size_t Sent = 0;
    while (Sent < Text.size()) {
      const ssize_t Now = ::send(m_Fd, Text.data() + Sent, Text.size() - Sent,
                                 MSG_NOSIGNAL);
      if (Now <= 0)
        return false;
      Sent += static_cast<std::size_t>(Now);
    }
    return true;
  }
  bool ended() const { return m_Ended; }
  /// Whether the other side has closed, or sent what was not asked for.
  bool closedByOther() const {
    pollfd Poll{m_Fd, POLLIN | POLLRDHUP, 0};
    return poll(&Poll, 1, 0) > 0;
  }

private:
  int m_Fd;
  std::string m_Read;
  bool m_Ended = false;
};

inline sockaddr_in addressOf(const std::string &Host, int Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Host.c_str(), &Result.sin_addr);
  return Result;
}

inline int listenAt(const std::string &Host, int Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  const sockaddr_in At = addressOf(Host, Port);
  if (bind(Fd, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) != 0 ||
      listen(Fd, 512) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

/// \returns a connected socket, or -1.
inline int connectTo(const std::string &Host, int Port, double Timeout) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in At = addressOf(Host, Port);
  int Error = 0;
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) != 0) {
    pollfd Poll{Fd, POLLOUT, 0};
    socklen_t Size = sizeof(Error);
    if (errno != EINPROGRESS ||
        poll(&Poll, 1, static_cast<int>(Timeout * 1000)) <= 0 ||
        getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 || Error != 0) {
      close(Fd);
      return -1;
    }
  }
  fcntl(Fd, F_SETFL, fcntl(Fd, F_GETFL) & ~O_NONBLOCK);
  return Fd;
}

/// Serves each connection in a thread of its own. The handler reads one request
/// at a time and answers on the wire; false closes the connection.
class Server {
public:
  using Handler = std::function<bool(const Message &, Wire &)>;

  Server(std::string Host, int Port, Handler Handle)
      : m_Host(std::move(Host)), m_Port(Port), m_Handle(std::move(Handle)) {}
  ~Server() { stop(); }

  bool start() {
    m_Listener = listenAt(m_Host, m_Port);
    if (m_Listener < 0)
      return false;
    m_Running = true;
    m_Accepting = std::thread([this] { accept(); });
    return true;
  }
  /// Ends as a killed process does: the port refuses, connections are reset.
  void stop() {
    if (!m_Running.exchange(false))
      return;
    shutdown(m_Listener, SHUT_RDWR);
    m_Accepting.join();
    close(m_Listener);
    {
      std::lock_guard Lock(m_Mutex);
      for (Wire *Each : m_Open)
        Each->reset();
    }
    while (m_Threads > 0)
      sleepFor(0.001);
  }
  bool running() const { return m_Running; }

private:
  void accept() {
    while (m_Running) {
      const int Fd = accept4(m_Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      ++m_Threads;
      std::thread([this, Fd] {
        serve(Fd);
        --m_Threads;
      }).detach();
    }
  }
  void serve(int Fd) {
    Wire Connection(Fd);
    {
      std::lock_guard Lock(m_Mutex);
      m_Open.insert(&Connection);
    }
    Message Request;
    while (m_Running && Connection.read(Request, 60) && m_Running &&
           m_Handle(Request, Connection))
      ;
    std::lock_guard Lock(m_Mutex);
    m_Open.erase(&Connection);
  }

  std::string m_Host;
  int m_Port;
  Handler m_Handle;
  int m_Listener = -1;
  std::atomic<bool> m_Running{false};
  std::atomic<int> m_Threads{0};
  std::thread m_Accepting;
  std::mutex m_Mutex;
  std::set<Wire *> m_Open;
};

inline std::string answer(int Status, const std::string &Body,
                          const std::string &MoreHeaders = "") {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + MoreHeaders + "\r\n" + Body;
}

inline std::string base64(const std::string &Text) {
  static const char *Signs =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); At += 3) {
    unsigned Block = 0;
    for (std::size_t Each = 0; Each < 3; ++Each)
      Block = Block << 8 |
              (At + Each < Text.size()
                   ? static_cast<unsigned char>(Text[At + Each])
                   : 0);
    for (int Each = 0; Each < 4; ++Each)
      Result += At + static_cast<std::size_t>(Each) > Text.size()
                    ? '='
                    : Signs[Block >> (18 - 6 * Each) & 63];
  }
  return Result;
}

inline std::string unescape(const std::string &Text) {
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); ++At)
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Result += static_cast<char>(
          strtol(Text.substr(At + 1, 2).c_str(), nullptr, 16));
      At += 2;
    } else
      Result += Text[At];
  return Result;
}

inline std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Result;
  const auto At = Target.find('?');
  std::stringstream Parts(At == std::string::npos ? "" : Target.substr(At + 1));
  for (std::string Part; std::getline(Parts, Part, '&');)
    Result[Part.substr(0, Part.find('='))] =
        unescape(Part.substr(std::min(Part.size(), Part.find('=') + 1)));
  return Result;
}

/// The platform's metadata store, in memory, linearizable.
class Store {
public:
  Store(const std::string &Host, int Port)
      : m_Server(Host, Port, [this](const Message &Request, Wire &Connection) {
          return handle(Request, Connection);
        }) {}
  ~Store() { stop(); }

  bool start() {
    m_Expiring = std::thread([this] {
      while (!m_Stop) {
        sleepFor(0.01);
        expire();
      }
    });
    return m_Server.start();
  }
  void stop() {
    if (m_Stop.exchange(true))
      return;
    m_Changed.notify_all();
    m_Server.stop();
    m_Expiring.join();
  }
  /// Writes as the operator or a runner does.
  void put(const std::string &Key, const std::string &Value) {
    std::lock_guard Lock(m_Mutex);
    set(Key, base64(Value), 0);
    m_Changed.notify_all();
  }
  void remove(const std::string &Key) {
    std::lock_guard Lock(m_Mutex);
    erase(Key);
    m_Changed.notify_all();
  }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0, Made = 0, Lease = 0;
  };
  struct Change {
    std::string Key;
    Item Now;
    bool Gone = false;
  };
  struct Lease {
    int TtlMs = 0;
    Clock::time_point Ends;
  };

  void set(const std::string &Key, const std::string &Value,
           std::uint64_t Lease) {
    Item &At = m_Items[Key];
    At.Value = Value;
    At.Revision = ++m_Revision;
    if (At.Made == 0)
      At.Made = At.Revision;
    At.Lease = Lease;
    m_History.push_back({Key, At, false});
  }
  void erase(const std::string &Key) {
    if (m_Items.erase(Key) > 0)
      m_History.push_back({Key, {"", ++m_Revision, 0, 0}, true});
  }
  void end(std::uint64_t Id) {
    std::vector<std::string> Keys;
    for (const auto &[Key, Each] : m_Items)
      if (Each.Lease == Id)
        Keys.push_back(Key);
    for (const std::string &Key : Keys)
      erase(Key);
    m_Leases.erase(Id);
  }
  void expire() {
    std::lock_guard Lock(m_Mutex);
    std::vector<std::uint64_t> Over;
    for (const auto &[Id, Each] : m_Leases)
      if (Clock::now() >= Each.Ends)
        Over.push_back(Id);
    for (const auto Id : Over)
      end(Id);
    if (!Over.empty())
      m_Changed.notify_all();
  }
  static Json itemJson(const std::string &Key, const Item &From) {
    return {{"privateKey", Key},
            {"value", From.Value},
            {"revision", From.Revision},
            {"made", From.Made},
            {"lease", From.Lease}};
  }
  bool reply(Wire &To, int Status, const Json &Body) {
    return To.send(
        answer(Status, Body.dump(), "Content-Type: application/json\r\n"));
  }
  bool handle(const Message &Request, Wire &Connection) {
    const std::string Target = Request.target();
    const std::string Path = Target.substr(0, Target.find('?'));
    auto Query = queryOf(Target);
    std::unique_lock Lock(m_Mutex);
    if (Path == "/v1/kv-key") {
      const auto Found = m_Items.find(Query["privateKey"]);
      if (Found == m_Items.end())
        return reply(Connection, 404, {{"at", m_Revision}});
      Json Body = itemJson(Found->first, Found->second);
      Body["at"] = m_Revision;
      return reply(Connection, 200, Body);
    }
    if (Path == "/v1/kv-range") {
      Json Items = Json::array();
      for (const auto &[Key, Each] : m_Items)
        if (Key.starts_with(Query["pathPrefix"]) && Key > Query["after"])
          Items.push_back(itemJson(Key, Each));
      return reply(Connection, 200,
                   {{"items", Items}, {"more", false}, {"at", m_Revision}});
    }
    if (Path == "/v1/kv-watch") {
      const std::uint64_t After = strtoull(Query["after"].c_str(), nullptr, 10);
      const auto Until =
          Clock::now() + std::chrono::milliseconds(atoi(Query["waitMs"].c_str()));
      Json Events = Json::array();
      const auto Look = [&] {
        for (const Change &Each : m_History)
          if (Each.Now.Revision > After &&
              Each.Key.starts_with(Query["pathPrefix"]))
            Events.push_back(Each.Gone ? Json{{"privateKey", Each.Key},
                                              {"revision", Each.Now.Revision},
                                              {"gone", true}}
                                       : itemJson(Each.Key, Each.Now));
        return !Events.empty() || m_Stop;
      };
      m_Changed.wait_until(Lock, Until, Look);
      const Json Body{{"events", Events}, {"at", m_Revision}};
      Lock.unlock();
      return reply(Connection, 200, Body);
    }
    const Json Body =
        Request.Body.empty() ? Json::object() : Json::parse(Request.Body);
    if (Path == "/v1/kv-txn")
      return transact(Body, Connection);
    if (Path == "/v1/kv-lease") {
      const std::uint64_t Id = ++m_NextLease;
      const int Ttl = std::max(1000, Body.at("ttl_ms").get<int>());
      m_Leases[Id] = {Ttl, Clock::now() + std::chrono::milliseconds(Ttl)};
      return reply(Connection, 200, {{"lease", Id}, {"ttl_ms", Ttl}});
    }
    const std::uint64_t Id =
        strtoull(Path.substr(Path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto Found = m_Leases.find(Id);
    if (Found == m_Leases.end())
      return reply(Connection, 404, Json::object());
    if (Path.starts_with("/v1/kv-keep/")) {
      Found->second.Ends =
          Clock::now() + std::chrono::milliseconds(Found->second.TtlMs);
      return reply(Connection, 200, {{"ttl_ms", Found->second.TtlMs}});
    }
    end(Id);
    m_Changed.notify_all();
    return reply(Connection, 200, Json::object());
  }
  bool transact(const Json &Body, Wire &Connection) {
    Json Items = Json::array();
    bool Holds = true;
    for (const Json &Each : Body.value("expectedCount", Json::array())) {
      const std::string Key = Each.at("privateKey");
      const auto Found = m_Items.find(Key);
      const std::uint64_t Now =
          Found == m_Items.end() ? 0 : Found->second.Revision;
      Holds = Holds && Now == Each.at("revision").get<std::uint64_t>();
      if (Found != m_Items.end())
        Items.push_back(itemJson(Key, Found->second));
    }
    if (!Holds)
      return reply(Connection, 412, {{"items", Items}});
    for (const Json &Each : Body.value("put", Json::array()))
      if (const std::uint64_t Lease = Each.value("lease", 0);
          Lease != 0 && !m_Leases.contains(Lease))
        return reply(Connection, 404, Json::object());
    for (const Json &Each : Body.value("put", Json::array()))
      set(Each.at("privateKey"), Each.at("value"), Each.value("lease", 0));
    for (const Json &Each : Body.value("removals", Json::array()))
      erase(Each.get<std::string>());
    m_Changed.notify_all();
    return reply(Connection, 200, {{"revision", m_Revision}});
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, Item> m_Items;
  std::list<Change> m_History;
  std::map<std::uint64_t, Lease> m_Leases;
  std::uint64_t m_Revision = 1, m_NextLease = 100;
  std::atomic<bool> m_Stop{false};
  std::thread m_Expiring;
  Server m_Server;
};

/// One machine of the system with its process, as the platform runs it.
class Machine {
public:
  struct Options {
    std::string Name, Zone, Address, Folder, Store;
    int FirstPort = 0; ///< Six ports from here on are used.
    std::vector<std::string> Seeds;
    Json Zones, Bounds;
    int MemoryMb = 260;
    double Cpu = 0.25;
  };
  explicit Machine(Options Opts) : m_Opts(std::move(Opts)) {}
  ~Machine() { kill(SIGKILL); }

  const std::string &name() const { return m_Opts.Name; }
  const std::string &address() const { return m_Opts.Address; }
  int clients() const { return m_Opts.FirstPort; }
  pid_t pid() const { return m_Pid; }

  void start() {
    const int Port = m_Opts.FirstPort;
    const std::string At = m_Opts.Address + ":";
    const Json File{
        {"nodeName", m_Opts.Name},
        {"role", "my-frontend"},
        {"machineClass", "frontend"},
        {"servedRoles", {"frontend", "control_plane"}},
        {"ipAddress", m_Opts.Address},
        {"zone", m_Opts.Zone},
        {"region", "my-central"},
        {"zones", m_Opts.Zones},
        {"listenAddresses",
         {{"frontend", At + std::to_string(Port)},
          {"ready", At + std::to_string(Port + 1)},
          {"controlPlane", At + std::to_string(Port + 2)}}},
        {"internalPortRange", {Port + 3, Port + 8}},
        {"seedNodes", m_Opts.Seeds},
        {"firstStart", m_Starts == 0},
        {"limits",
         {{"cpuFraction", m_Opts.Cpu},
          {"cpuCores", 1},
          {"memoryMb", m_Opts.MemoryMb},
          {"fileDescriptors", 4100},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"discovery", "platform"},
        {"entryPoint", "virtual_ip"},
        {"heartbeatIntervalMs", 1200},
        {"bounds", m_Opts.Bounds},
        {"platform",
         {{"address", m_Opts.Store},
          {"form", "kv"},
          {"writes_per_s", 400},
          {"reads_per_s", 2000},
          {"historyRetentionS", 20},
          {"value_bytes", 1048576},
          {"ttl_min_ms", 1000}}}};
    const std::string Base = m_Opts.Folder + "/" + m_Opts.Name;
    std::ofstream(Base + ".json") << File.dump(1);
    ++m_Starts;
    const pid_t Child = fork();
    if (Child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Log =
          open((Base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Log, 1);
      dup2(Log, 2);
      setenv("HAVENSTAIR_NODE_FILE", (Base + ".json").c_str(), 1);
      setenv("HAVENSTAIR_METRICS_PORT", std::to_string(Port + 9).c_str(), 1);
      execl("target/bin/havenstaird", "target/bin/havenstaird", "serve",
            static_cast<char *>(nullptr));
      _exit(127);
    }
    m_Pid = Child;
  }
  void signal(int Number) {
    if (m_Pid > 0)
      ::kill(m_Pid, Number);
  }
  void kill(int Number) {
    if (m_Pid <= 0)
      return;
    ::kill(m_Pid, Number);
    waitpid(m_Pid, nullptr, 0);
    m_Pid = -1;
  }
  /// \returns whether the process has ended by itself.
  bool ended() {
    int Status = 0;
    if (m_Pid <= 0 || waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
      return false;
    m_Pid = -1;
    return true;
  }
  /// Resident memory in MB.
  double memoryMb() const {
    std::ifstream File("/proc/" + std::to_string(m_Pid) + "/statm");
    long Size = 0, Resident = 0;
    File >> Size >> Resident;
    return static_cast<double>(Resident) * 4096 / 1e6;
  }
  bool ready() const {
    const int Fd = connectTo(m_Opts.Address, m_Opts.FirstPort + 1, 0.2);
    if (Fd < 0)
      return false;
    Wire Connection(Fd);
    Message Answer;
    return Connection.send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n"
                           "Connection: close\r\n\r\n") &&
           Connection.read(Answer, 1) && Answer.status() == 200;
  }

private:
  Options m_Opts;
  pid_t m_Pid = -1;
  int m_Starts = 0;
};

/// The bounds of the small site `kpc-ci`.
inline Json smallBounds() {
  return {{"seedPropagationS", 3},      {"addressReuseS", 2},
          {"contactThresholdMs", 3000}, {"acknowledgmentMs", 4000},
          {"catchUpS", 4},              {"drainTimeoutMs", 2000},
          {"gracePeriodS", 8},          {"lossToleranceMs", 200},
          {"configApplyMs", 2000},      {"rollbackToleranceMs", 250},
          {"partitionBoundMs", 5000},   {"retryBudgetRatio", 0.2},
          {"budgetWindowS", 10},        {"retryBudgetAllowance", 56},
          {"recoveryS", 12},            {"forwardPassMs", 120},
          {"retryAfterS", 0},           {"fencingEnforced", false},
          {"leaseDurationMs", 3000},    {"thawToleranceMs", 300},
          {"ceilingWindowS", 5},        {"ceilingOverage", 1.1}};
}

/// \returns the first of ten free ports at each of \p Hosts.
inline int freePorts(const std::vector<std::string> &Hosts) {
  for (int Try = 0; Try < 200; ++Try) {
    const int Port = 20000 + (getpid() * 37 + Try * 211) % 12000;
    bool Free = true;
    for (const std::string &Host : Hosts)
      for (int Each = Port; Free && Each < Port + 10; ++Each) {
        const int Fd = listenAt(Host, Each);
        Free = Fd >= 0;
        if (Fd >= 0)
          close(Fd);
      }
    if (Free)
      return Port;
  }
  throw std::runtime_error("no free ports");
}

} // namespace review

#endif
