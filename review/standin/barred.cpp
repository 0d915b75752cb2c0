// Case: callers ask again and again for something that is not there yet. The
// service's runners crash together once and come back. From then on the read is
// refused with 400, also after the thing has come.
#include "Standin.h"

#include <random>

using namespace review;

namespace {

constexpr int Boxes = 3;
constexpr int Runners = 4;
constexpr int Readers = 40;
constexpr int Writers = 12;
constexpr double TrafficFrom = 6;
constexpr double TrafficUntil = 50;
/// The runners are down for this long, once. The longest time for which runners
/// are down in the site file `kpc-ci` is 4.95 s.
constexpr double CrashAt = 14;
constexpr double DownFor = 3;
/// From now on the thing is there: the read is answered with 200.
constexpr double ThereFrom = 30;

struct Count {
  std::atomic<int> Sent{0}, Ok{0}, NotThere{0}, Barred{0}, OtherOwn4xx{0},
      Refused{0}, Failed{0};
};

/// A runner of the plain service `desk-app`.
class Runner {
public:
  Runner(int Number, std::string Host, int Port, Store &To, Record &Log)
      : m_Number(Number), m_Host(std::move(Host)), m_Port(Port), m_Store(To),
        m_Log(Log),
        m_Server(m_Host, Port, [this](const Message &Request, Wire &Back) {
          return handle(Request, Back);
        }) {}

  void start() {
    m_Id = "i-" + std::to_string(m_Number) + "x" + std::to_string(++m_Life);
    if (!m_Server.start())
      throw std::runtime_error("a runner's port is taken");
    m_Store.put("servers/" + m_Id,
                Json{{"service", "desk-app"},
                     {"address", m_Host + ":" + std::to_string(m_Port)},
                     {"zone", "kl-a"},
                     {"version", "v1"},
                     {"slots", 6},
                     {"state", "ready"},
                     {"coldRemainingMs", 0},
                     {"sequenceNumber", 0}}
                    .dump());
    m_Log.write("runner %s starts", m_Id.c_str());
  }
  /// Says nothing; the entry goes after three heartbeats of silence.
  void crash() {
    m_Log.write("runner %s crashes", m_Id.c_str());
    m_Server.stop();
    m_Lapses.emplace_back(m_Id, seconds() + 3.6);
  }
  void tick() {
    while (!m_Lapses.empty() && seconds() >= m_Lapses.front().second) {
      m_Store.remove("servers/" + m_Lapses.front().first);
      m_Lapses.pop_front();
    }
  }
  int ran() const { return m_Ran; }

private:
  bool handle(const Message &Request, Wire &Back) {
    const std::string Attempt = Request.header("X-Attempt-Id");
    if (Request.target() == "/health")
      return Back.send(answer(200, "", "X-Instance-Id: " + m_Id + "\r\n"));
    if (Request.header("X-Expected-Instance") != m_Id)
      return Back.send(answer(421, "", "X-Instance-Id: " + m_Id + "\r\n"));
    ++m_Ran;
    m_Log.write("runner %s runs %s %s", m_Id.c_str(), Attempt.c_str(),
                Request.target().c_str());
    sleepFor(0.1);
    const bool There = Request.method() != "GET" || seconds() >= ThereFrom;
    return Back.send(answer(There ? 200 : 404, There ? "here it is" : "not yet",
                            "X-Attempt-Id: " + Attempt +
                                "\r\nX-Server-Signature: " + m_Id + "." +
                                Attempt + "\r\n"));
  }

  int m_Number;
  std::string m_Host;
  int m_Port;
  Store &m_Store;
  Record &m_Log;
  std::string m_Id;
  int m_Life = 0;
  std::atomic<int> m_Ran{0};
  std::list<std::pair<std::string, double>> m_Lapses;
  Server m_Server;
};

/// A client that asks for the same thing every 0.2 s or so, or writes something of its
/// own.
void callOften(int Number, const Machine &To, bool Read, double Pause,
               Count &Counts, Record &Log) {
  int Tries = 0;
  std::mt19937 Random(static_cast<unsigned>(Number));
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  sleepFor(Pause * Spread(Random));
  while (seconds() < TrafficUntil) {
    const std::string Id =
        (Read ? "a" : "b") + std::to_string(Number * 100000 + ++Tries);
    const double Sent = seconds();
    int Status = 0;
    bool Signed = false;
    const int Fd = connectTo(To.address(), To.clients(), 1);
    if (Fd >= 0) {
      Wire Connection(Fd);
      const std::string Body = Read ? "" : "note " + Id;
      const std::string Head =
          (Read ? "GET /slots/spin-1800" : "POST /checkin/" + Id) +
          std::string(" HTTP/1.1\r\nHost: gym.example\r\nX-Attempt-Id: ") + Id +
          "\r\nX-Deadline-Remaining-Ms: 1000\r\nConnection: close\r\n" +
          (Read ? ""
                : "Content-Length: " + std::to_string(Body.size()) + "\r\n") +
          "\r\n";
      Message Answer;
      if (Connection.send(Head + Body) && Connection.read(Answer, 1.1)) {
        Status = Answer.status();
        Signed = !Answer.header("X-Server-Signature").empty();
      }
    }
    ++Counts.Sent;
    if (Status == 200)
      ++Counts.Ok;
    else if (Status == 404 && Signed)
      ++Counts.NotThere;
    else if (Status == 400 && !Signed)
      ++Counts.Barred;
    else if (Status / 100 == 4 && !Signed && Status != 408 && Status != 421 &&
             Status != 429)
      ++Counts.OtherOwn4xx;
    else if (Status == 429 || Status == 503)
      ++Counts.Refused;
    else
      ++Counts.Failed;
    Log.write("client %s at %s: %s -> %d after %.0f ms", Id.c_str(),
              To.name().c_str(), Read ? "GET /slots/spin-1800" : "POST /checkin/",
              Status, 1000 * (seconds() - Sent));
    sleepFor(Pause * Spread(Random));
  }
}

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  const bool Trouble = Arguments[3] == std::string("1");
  Record Log(Arguments[1]);
  const std::string Folder = Arguments[2];
  std::vector<std::string> Hosts;
  for (int Each = 0; Each < Boxes; ++Each)
    Hosts.push_back("127.0.71." + std::to_string(1 + Each));
  Hosts.push_back("127.0.71.100");
  const int Port = freePorts(Hosts);
  Store Platform("127.0.71.100", Port);
  if (!Platform.start())
    return 2;
  const auto RouteOf = [](const std::string &Name, const std::string &Kind,
                          int Attempts) {
    return Json{{"name", Name},
                {"host", "gym.example"},
                {"pathPrefix", "/" + Name + "/"},
                {"routeKind", Kind},
                {"timeoutMs", 1000},
                {"targetLatencyMs", 150},
                {"priority", 2},
                {"service", "desk-app"},
                {"maxAttempts", Attempts},
                {"resumable", false}};
  };
  Platform.put("op/config",
               Json{{"version", 1},
                    {"routes",
                     {RouteOf("slots", "safe", 2), RouteOf("checkin", "unsafe", 1)}},
                    {"services",
                     Json::array({{{"name", "desk-app"},
                                   {"healthPath", "/health"},
                                   {"connectionLimit", 100},
                                   {"protocol", "h1"}}})},
                    {"limits",
                     {{"maxHeaderBytes", 16384},
                      {"maxBodyBytes", 4194304},
                      {"headerTimeoutMs", 3000},
                      {"idleTimeoutMs", 15000}}}}
                   .dump());
  std::vector<std::unique_ptr<Runner>> Service;
  for (int Each = 0; Each < Runners; ++Each) {
    Service.push_back(std::make_unique<Runner>(Each, "127.0.71.100",
                                               Port + 1 + Each, Platform, Log));
    Service.back()->start();
  }
  std::vector<std::unique_ptr<Machine>> System;
  for (int Each = 0; Each < Boxes; ++Each) {
    System.push_back(std::make_unique<Machine>(Machine::Options{
        .Name = "frontend-" + std::to_string(1 + Each),
        .Zone = "kl-a",
        .Address = Hosts[static_cast<std::size_t>(Each)],
        .Folder = Folder,
        .Store = "127.0.71.100:" + std::to_string(Port),
        .FirstPort = Port,
        .Seeds = {Hosts[0] + ":" + std::to_string(Port + 2)},
        .Zones = {{"kl-a", "my-central"}},
        .Bounds = smallBounds()}));
    System.back()->start();
  }
  sleepFor(TrafficFrom - seconds());
  for (const auto &Each : System)
    if (!Each->ready()) {
      Log.write("%s is not ready", Each->name().c_str());
      return 2;
    }
  Count Reads, Writes;
  std::vector<std::thread> Clients;
  const auto BoxOf = [&](int Number) -> Machine & {
    return *System[static_cast<std::size_t>(Number % Boxes)];
  };
  for (int Each = 0; Each < Readers; ++Each)
    Clients.emplace_back([&, Each] {
      callOften(Each, BoxOf(Each), true, 0.2, Reads, Log);
    });
  for (int Each = 0; Each < Writers; ++Each)
    Clients.emplace_back([&, Each] {
      callOften(Each, BoxOf(Each), false, 0.8, Writes, Log);
    });
  bool Down = false;
  while (seconds() < TrafficUntil) {
    const bool WantDown =
        Trouble && seconds() >= CrashAt && seconds() < CrashAt + DownFor;
    if (WantDown != Down) {
      std::list<std::thread> AtOnce;
      for (const auto &Each : Service)
        AtOnce.emplace_back(
            [&] { WantDown ? Each->crash() : Each->start(); });
      for (std::thread &Each : AtOnce)
        Each.join();
    }
    Down = WantDown;
    for (const auto &Each : Service)
      Each->tick();
    sleepFor(0.01);
  }
  for (std::thread &Each : Clients)
    Each.join();
  const int All = Reads.Sent + Writes.Sent;
  const int Denied = Reads.Barred + Reads.OtherOwn4xx + Writes.Barred +
                     Writes.OtherOwn4xx;
  const double Allowed = 5 + All / 500.0;
  Log.write("reads: %d sent, %d answered 200, %d not there yet, %d own 400, %d other own 4xx, %d "
            "refused, %d failed",
            Reads.Sent.load(), Reads.Ok.load(), Reads.NotThere.load(),
            Reads.Barred.load(),
            Reads.OtherOwn4xx.load(), Reads.Refused.load(), Reads.Failed.load());
  Log.write("writes: %d sent, %d answered 200, %d own 400, %d other own 4xx, %d "
            "refused, %d failed",
            Writes.Sent.load(), Writes.Ok.load(), Writes.Barred.load(),
            Writes.OtherOwn4xx.load(), Writes.Refused.load(),
            Writes.Failed.load());
  const bool Broken = Denied > Allowed;
  Log.write("DENIED: %d own 4xx answers to proper requests, %.1f allowed: %s",
            Denied, Allowed, Broken ? "BROKEN" : "held");
  if (!Trouble && Reads.Ok == 0)
    return 2;
  return Broken ? 1 : 0;
}
