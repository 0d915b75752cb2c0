// Case: callers send bodies of the size that the operator's limits allow. When
// more of them come at once the process holds more than its machine's memory,
// the platform kills it, and what it had accepted is lost.
#include "Standin.h"

#include <random>

using namespace review;

namespace {

constexpr int MemoryMb = 260;
/// `maxBodyBytes` of the configuration.
constexpr std::size_t BodyBytes = 4194304;
constexpr int Clients = 30;
constexpr double WorkS = 2;
/// A client's pause between an answer and its next request, usually and in the
/// burst: 30 / (2 + 3.2) = 5.8 requests a second, and 30 / 2 = 15, which is 2.6
/// times as many. The largest burst in the site file `kpc-ci` is 2.6, for 5.1 s.
constexpr double UsualPause = 3.2;
constexpr double BurstPause = 0;
constexpr double TrafficFrom = 5;
constexpr double BurstFrom = 20;
constexpr double BurstUntil = 25;
constexpr double TrafficUntil = 34;

struct Count {
  std::atomic<int> Sent{0}, Ok{0}, Refused{0}, OtherFailure{0};
  /// A kept connection was closed without an answer after the request had been
  /// sent whole and a runner had taken it.
  std::atomic<int> Lost{0}, ClosedBefore{0};
};

std::mutex RanMutex;
std::set<std::string> Ran;

void client(int Number, const Machine &To, bool Trouble, Count &Counts,
            Record &Log) {
  std::mt19937 Random(static_cast<unsigned>(Number));
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  const std::string Body(BodyBytes, static_cast<char>('a' + Number % 26));
  sleepFor((WorkS + UsualPause) * Number / Clients);
  std::unique_ptr<Wire> Connection;
  int Tries = 0, OnThis = 0;
  while (seconds() < TrafficUntil) {
    const std::string Id = "u" + std::to_string(Number * 1000 + ++Tries);
    if (!Connection) {
      const int Fd = connectTo(To.address(), To.clients(), 1);
      if (Fd < 0) {
        Log.write("client %s: no connection", Id.c_str());
        sleepFor(0.5);
        continue;
      }
      Connection = std::make_unique<Wire>(Fd);
      OnThis = 0;
    }
    ++OnThis;
    ++Counts.Sent;
    const double Sent = seconds();
    const std::string Head =
        "POST /review/" + Id + " HTTP/1.1\r\nHost: ci.example\r\n"
        "X-Attempt-Id: " + Id + "\r\nX-Deadline-Remaining-Ms: 12000\r\n"
        "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    Message Answer;
    const bool Whole = Connection->send(Head + Body);
    const bool Got = Whole && Connection->read(Answer, 12.5);
    bool Taken = false;
    {
      std::lock_guard Lock(RanMutex);
      Taken = Ran.contains(Id);
    }
    const int Status = Got ? Answer.status() : 0;
    if (Status == 200 && !Answer.header("X-Server-Signature").empty())
      ++Counts.Ok;
    else if (Status == 503 || Status == 429)
      ++Counts.Refused;
    else if (Got || !Connection->ended())
      ++Counts.OtherFailure;
    else if (Whole && Taken && OnThis > 1)
      ++Counts.Lost;
    else
      ++Counts.ClosedBefore;
    Log.write("client %s, request %d on its connection -> %s after %.0f ms%s",
              Id.c_str(), OnThis,
              Got ? std::to_string(Status).c_str() : "closed, no answer",
              1000 * (seconds() - Sent),
              Taken ? ", a runner had taken it" : "");
    if (!Got || lower(Answer.header("Connection")) == "close")
      Connection.reset();
    const bool Burst =
        Trouble && seconds() >= BurstFrom && seconds() < BurstUntil;
    sleepFor((Burst ? BurstPause : UsualPause) * Spread(Random));
  }
}

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  const bool Trouble = Arguments[3] == std::string("1");
  Record Log(Arguments[1]);
  const std::string Box = "127.0.72.1", Other = "127.0.72.100";
  const int Port = freePorts({Box, Other});
  Store Platform(Other, Port);
  if (!Platform.start())
    return 2;
  Platform.put(
      "op/config",
      Json{{"version", 1},
           {"routes",
            Json::array({{{"name", "review"},
                          {"host", "ci.example"},
                          {"pathPrefix", "/review/"},
                          {"routeKind", "unsafe"},
                          {"timeoutMs", 12000},
                          {"targetLatencyMs", 5000},
                          {"priority", 1},
                          {"service", "review-api"},
                          {"maxAttempts", 1},
                          {"resumable", false}}})},
           {"services", Json::array({{{"name", "review-api"},
                                      {"healthPath", "/health"},
                                      {"connectionLimit", 370},
                                      {"protocol", "h1"}}})},
           {"limits",
            {{"maxHeaderBytes", 16384},
             {"maxBodyBytes", BodyBytes},
             {"headerTimeoutMs", 3000},
             {"idleTimeoutMs", 15000}}}}
          .dump());
  std::vector<std::unique_ptr<Server>> Runners;
  for (int Each = 0; Each < 3; ++Each) {
    const std::string Id = "i-" + std::to_string(Each);
    Runners.push_back(std::make_unique<Server>(
        Other, Port + 1 + Each, [&Log, Id](const Message &Request, Wire &Back) {
          const std::string Attempt = Request.header("X-Attempt-Id");
          if (Request.target() == "/health")
            return Back.send(answer(200, "", "X-Instance-Id: " + Id + "\r\n"));
          {
            std::lock_guard Lock(RanMutex);
            Ran.insert(Attempt);
          }
          Log.write("runner %s runs %s", Id.c_str(), Attempt.c_str());
          sleepFor(WorkS);
          return Back.send(answer(200, "reviewed",
                                  "X-Attempt-Id: " + Attempt +
                                      "\r\nX-Server-Signature: " + Id + "." +
                                      Attempt + "\r\n"));
        }));
    if (!Runners.back()->start())
      return 2;
    Platform.put("servers/" + Id,
                 Json{{"service", "review-api"},
                      {"address", Other + ":" + std::to_string(Port + 1 + Each)},
                      {"zone", "midrand-a"},
                      {"version", "v1"},
                      {"slots", 64},
                      {"state", "ready"},
                      {"coldRemainingMs", 0},
                      {"sequenceNumber", 0}}
                     .dump());
  }
  Machine System({.Name = "frontend-1",
                  .Zone = "midrand-a",
                  .Address = Box,
                  .Folder = Arguments[2],
                  .Store = Other + ":" + std::to_string(Port),
                  .FirstPort = Port,
                  .Seeds = {Box + ":" + std::to_string(Port + 2)},
                  .Zones = {{"midrand-a", "my-central"}},
                  .Bounds = smallBounds(),
                  .MemoryMb = MemoryMb});
  System.start();
  sleepFor(TrafficFrom - seconds());
  if (!System.ready()) {
    Log.write("the machine is not ready");
    return 2;
  }
  Count Counts;
  std::vector<std::thread> All;
  for (int Each = 0; Each < Clients; ++Each)
    All.emplace_back([&, Each] { client(Each, System, Trouble, Counts, Log); });
  int Kills = 0;
  double Most = 0, Told = 0;
  while (seconds() < TrafficUntil + 14) {
    const double Now = System.memoryMb();
    Most = std::max(Most, Now);
    if (seconds() - Told >= 1) {
      Told = seconds();
      Log.write("memory of frontend-1: %.0f MB", Now);
    }
    if (Now > MemoryMb || System.ended()) {
      Log.write("frontend-1 holds %.0f MB of its %d: the platform kills it", Now,
                MemoryMb);
      ++Kills;
      System.kill(SIGKILL);
      sleepFor(0.3);
      System.start();
    }
    if (seconds() > TrafficUntil && Told + 0.5 < seconds() && Counts.Sent ==
        Counts.Ok + Counts.Refused + Counts.OtherFailure + Counts.Lost +
            Counts.ClosedBefore)
      break;
    sleepFor(0.02);
  }
  for (std::thread &Each : All)
    Each.join();
  const bool Broken = Counts.Lost > 3;
  Log.write("%d sent, %d answered 200, %d refused, %d other failures, %d on kept "
            "connections taken by a runner and closed without an answer, %d "
            "closed else; most memory %.0f MB; killed %d times",
            Counts.Sent.load(), Counts.Ok.load(), Counts.Refused.load(),
            Counts.OtherFailure.load(), Counts.Lost.load(),
            Counts.ClosedBefore.load(), Most, Kills);
  Log.write("LOST: %d, 3 allowed: %s", Counts.Lost.load(),
            Broken ? "BROKEN" : "held");
  if (!Trouble && Counts.Ok == 0)
    return 2;
  return Broken ? 1 : 0;
}
