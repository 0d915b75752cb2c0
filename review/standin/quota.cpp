// Case: a tenant asks for somewhat more than its quota, so that its requests
// wait for their turn, as their latency objective allows. The machines get
// SIGTERM in turn. What still waits when a process ends gets no answer at all.
#include "Standin.h"

using namespace review;

namespace {

constexpr int Boxes = 2;
constexpr int Runners = 4;
/// Both as for `free-brief` of the site file `mwangaza-nbo-grown`.
constexpr int AimMs = 8000;
constexpr int DeadlineMs = 10000;
/// A request costs 200 tokens, so five a second are within the quota.
constexpr int RatePerS = 1000;
constexpr int TokensEach = 200;
constexpr double SendEvery = 0.125;
constexpr double TrafficFrom = 6;
/// The machines are stopped and started again in turn.
constexpr double FirstTermAt = 26;
constexpr double TermEvery = 16;
constexpr int Terms = 4;
constexpr double TrafficUntil = 84;
constexpr double GracePeriod = 8;
constexpr double LossTolerance = 0.2;

struct Counts {
  std::atomic<int> Sent{0}, Ok{0}, Limited{0}, Refused{0}, Other{0}, Lost{0},
      NoAnswerElse{0};
};

/// The entry point: asks the machines whether they are ready, and takes one out
/// after two answers in a row without a 200.
class EntryPoint {
public:
  explicit EntryPoint(std::vector<std::unique_ptr<Machine>> &All) : m_All(All) {
    for (int &Each : m_Failed)
      Each = 0;
    m_Asking = std::thread([this] {
      while (!m_Stop) {
        for (std::size_t Each = 0; Each < m_All.size(); ++Each)
          m_Failed[Each] = m_All[Each]->ready() ? 0 : m_Failed[Each] + 1;
        sleepFor(0.5);
      }
    });
  }
  ~EntryPoint() {
    m_Stop = true;
    m_Asking.join();
  }
  /// \returns the machine for the next request, or -1.
  int next() {
    for (int Try = 0; Try < Boxes; ++Try) {
      m_Last = (m_Last + 1) % Boxes;
      if (m_Failed[m_Last] < 2)
        return m_Last;
    }
    return -1;
  }

private:
  std::vector<std::unique_ptr<Machine>> &m_All;
  int m_Failed[Boxes];
  int m_Last = 0;
  std::atomic<bool> m_Stop{false};
  std::thread m_Asking;
};

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  const bool Trouble = Arguments[3] == std::string("1");
  Record Log(Arguments[1]);
  const std::string Folder = Arguments[2];
  std::vector<std::string> Hosts;
  for (int Each = 0; Each < Boxes; ++Each)
    Hosts.push_back("127.0.75." + std::to_string(1 + Each));
  Hosts.push_back("127.0.75.100");
  const int Port = freePorts(Hosts);
  Store Platform("127.0.75.100", Port);
  if (!Platform.start())
    return 2;
  Platform.put("op/config",
               Json{{"version", 1},
                    {"routes",
                     Json::array({{{"name", "briefs"},
                                   {"host", "desk.example"},
                                   {"pathPrefix", "/briefs/"},
                                   {"routeKind", "unsafe"},
                                   {"timeoutMs", DeadlineMs},
                                   {"targetLatencyMs", AimMs},
                                   {"priority", 2},
                                   {"service", "desk-app"},
                                   {"maxAttempts", 1},
                                   {"public", false},
                                   {"resumable", false}}})},
                    {"services",
                     Json::array({{{"name", "desk-app"},
                                   {"healthPath", "/health"},
                                   {"connectionLimit", 100},
                                   {"protocol", "h1"}}})},
                    {"tenants",
                     Json::array({{{"name", "hule930"},
                                   {"apiKeys", {"asnmgkcuyj8pjbvk9m68"}},
                                   {"priority", 1},
                                   {"unit", "token_generation"},
                                   {"uncachedTokens", TokensEach},
                                   {"ratePerS", RatePerS},
                                   {"burstSize", RatePerS}}})},
                    {"limits",
                     {{"maxHeaderBytes", 16384},
                      {"maxBodyBytes", 4194304},
                      {"headerTimeoutMs", 3000},
                      {"idleTimeoutMs", 15000}}}}
                   .dump());
  std::mutex RunsMutex;
  std::set<std::string> Runs;
  std::vector<std::unique_ptr<Server>> Service;
  for (int Each = 0; Each < Runners; ++Each) {
    const std::string Id = "i-" + std::to_string(Each) + "x1";
    Service.push_back(std::make_unique<Server>(
        "127.0.75.100", Port + 1 + Each,
        [&, Id](const Message &Request, Wire &Back) {
          if (Request.target() == "/health")
            return Back.send(answer(200, "", "X-Instance-Id: " + Id + "\r\n"));
          if (Request.header("X-Expected-Instance") != Id)
            return Back.send(answer(421, "", "X-Instance-Id: " + Id + "\r\n"));
          const std::string Attempt = Request.header("X-Attempt-Id");
          Log.write("runner %s runs %s for %s", Id.c_str(), Attempt.c_str(),
                    Request.header("X-Tenant-Name").c_str());
          {
            std::lock_guard Lock(RunsMutex);
            Runs.insert(Attempt);
          }
          sleepFor(0.05);
          return Back.send(answer(200, "done",
                                  "X-Attempt-Id: " + Attempt +
                                      "\r\nX-Server-Signature: " + Id + "." +
                                      Attempt + "\r\n"));
        }));
    if (!Service.back()->start())
      return 2;
    Platform.put("servers/" + Id,
                 Json{{"service", "desk-app"},
                      {"address",
                       "127.0.75.100:" + std::to_string(Port + 1 + Each)},
                      {"zone", "kl-a"},
                      {"version", "v1"},
                      {"slots", 6},
                      {"state", "ready"},
                      {"coldRemainingMs", 0},
                      {"sequenceNumber", 0}}
                     .dump());
  }
  Json Bounds = smallBounds();
  Bounds["failClosed"] = false;
  Bounds["revocationMs"] = 5000;
  Bounds["quotaWindowS"] = 8;
  Bounds["quotaOverage"] = 0.1;
  Bounds["quotaAllowance"] = 2000;
  std::vector<std::unique_ptr<Machine>> System;
  for (int Each = 0; Each < Boxes; ++Each) {
    System.push_back(std::make_unique<Machine>(Machine::Options{
        .Name = "frontend-" + std::to_string(1 + Each),
        .Zone = "kl-a",
        .Address = Hosts[static_cast<std::size_t>(Each)],
        .Folder = Folder,
        .Store = "127.0.75.100:" + std::to_string(Port),
        .FirstPort = Port,
        .Seeds = {Hosts[0] + ":" + std::to_string(Port + 2)},
        .Zones = {{"kl-a", "my-central"}},
        .Bounds = Bounds}));
    System.back()->start();
  }
  sleepFor(TrafficFrom - seconds());
  for (const auto &Each : System)
    if (!Each->ready()) {
      Log.write("%s is not ready", Each->name().c_str());
      return 2;
    }
  Counts All;
  std::atomic<int> Open{0};
  /// When each machine got its latest SIGTERM.
  std::atomic<double> TermSent[Boxes] = {1e9, 1e9};
  const auto Ask = [&](int Number, int At) {
    const Machine &To = *System[static_cast<std::size_t>(At)];
    const std::string Id = "a" + std::to_string(Number);
    const std::string Body = "brief " + Id;
    Message Answer;
    int Status = 0;
    double Sent = seconds(), Ended = 0;
    bool Whole = false;
    const int Fd = connectTo(To.address(), To.clients(), 1);
    if (Fd >= 0) {
      Wire Connection(Fd);
      Whole = Connection.send(
          "POST /briefs/" + Id + " HTTP/1.1\r\nHost: desk.example\r\n" +
          "X-Attempt-Id: " + Id + "\r\nX-Deadline-Remaining-Ms: " +
          std::to_string(DeadlineMs) +
          "\r\nApi-Key: asnmgkcuyj8pjbvk9m68\r\nConnection: close\r\n"
          "Content-Length: " +
          std::to_string(Body.size()) + "\r\n\r\n" + Body);
      Sent = seconds();
      if (Whole && Connection.read(Answer, DeadlineMs / 1000.0))
        Status = Answer.status();
      Ended = seconds();
      // The connection has closed, before the deadline, without an answer.
      Whole = Whole && Connection.ended();
    }
    ++All.Sent;
    const double Term = TermSent[At];
    const bool Around = Ended >= Term && Sent <= Term + GracePeriod + 1;
    const bool IsLost =
        Status == 0 && Whole && Ended - Sent > LossTolerance && Around;
    ++(Status == 200   ? All.Ok
       : Status == 429 ? All.Limited
       : Status == 503 ? All.Refused
       : Status != 0   ? All.Other
       : IsLost        ? All.Lost
                       : All.NoAnswerElse);
    Log.write("client %s at %s, sent at %.3f -> %d after %.0f ms%s", Id.c_str(),
              To.name().c_str(), Sent, Status, 1000 * (Ended - Sent),
              IsLost ? ": LOST, the connection closed without an answer" : "");
    --Open;
  };
  {
    EntryPoint Entry(System);
    int Termed = 0;
    bool Stopping = false;
    for (int Number = 0; seconds() < TrafficUntil; ++Number) {
      sleepFor(TrafficFrom + Number * SendEvery - seconds());
      if (Trouble && !Stopping && Termed < Terms &&
          seconds() >= FirstTermAt + Termed * TermEvery) {
        const int Which = Termed++ % Boxes;
        Stopping = true;
        TermSent[Which] = seconds();
        System[static_cast<std::size_t>(Which)]->signal(SIGTERM);
        Log.write("frontend-%d gets SIGTERM", Which + 1);
      }
      const int Latest = (Termed + Boxes - 1) % Boxes;
      if (Stopping && System[static_cast<std::size_t>(Latest)]->ended()) {
        Stopping = false;
        Log.write("frontend-%d has ended, %.1f s after the SIGTERM; it starts "
                  "again",
                  Latest + 1, seconds() - TermSent[Latest]);
        System[static_cast<std::size_t>(Latest)]->start();
      }
      const int At = Entry.next();
      if (At < 0)
        continue;
      ++Open;
      std::thread(Ask, Number, At).detach();
    }
    while (Open > 0)
      sleepFor(0.05);
  }
  Log.write("%d sent, %d answered 200, %d over the quota (429), %d refused "
            "(503), %d other answers, %d without an answer elsewhere; %zu run",
            All.Sent.load(), All.Ok.load(), All.Limited.load(),
            All.Refused.load(), All.Other.load(), All.NoAnswerElse.load(),
            Runs.size());
  const bool Broken = All.Lost > 0;
  Log.write("LOST: %d whole requests around a SIGTERM without an answer: %s",
            All.Lost.load(), Broken ? "BROKEN" : "held");
  return Broken ? 1 : All.Ok > 0 ? 0 : 2;
}
