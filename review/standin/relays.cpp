// No case, as it breaks no rule that counts: the three large machines of a zone
// are lost for good. Machines that start again later say that they are ready
// and refuse every request, though all runners are there.
#include "Standin.h"

using namespace review;

namespace {

constexpr int Boxes = 24;
constexpr int Large = 3;
constexpr int Runners = 6;
/// Four runners are there from the start; one more comes at each of these.
constexpr double NextRunnerAt[] = {14, 20};
constexpr double LossAt = 28;
/// From then on these machines are stopped and started again, in turn.
constexpr double RestartFrom = 42;
constexpr double RestartEvery = 4;
constexpr int Restarted[] = {14, 16, 18};
constexpr double AskFrom = 62;
constexpr double AskUntil = 92;
constexpr double AskEvery = 1;

/// Asks for one thing. \returns the status, or 0 without an answer.
int ask(const Machine &To, const std::string &Id) {
  const int Fd = connectTo(To.address(), To.clients(), 1);
  if (Fd < 0)
    return 0;
  Wire Connection(Fd);
  Message Answer;
  return Connection.send("GET /slots/spin-1800 HTTP/1.1\r\nHost: gym.example"
                         "\r\nX-Attempt-Id: " +
                         Id +
                         "\r\nX-Deadline-Remaining-Ms: 1000\r\n"
                         "Connection: close\r\n\r\n") &&
                 Connection.read(Answer, 1.5)
             ? Answer.status()
             : 0;
}

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  const bool Trouble = Arguments[3] == std::string("1");
  Record Log(Arguments[1]);
  const std::string Folder = Arguments[2];
  std::vector<std::string> Hosts;
  for (int Each = 0; Each < Boxes; ++Each)
    Hosts.push_back("127.0.74." + std::to_string(1 + Each));
  Hosts.push_back("127.0.74.100");
  const int Port = freePorts(Hosts);
  Store Platform("127.0.74.100", Port);
  if (!Platform.start())
    return 2;
  Platform.put("op/config",
               Json{{"version", 1},
                    {"routes",
                     Json::array({{{"name", "slots"},
                                   {"host", "gym.example"},
                                   {"pathPrefix", "/slots/"},
                                   {"routeKind", "safe"},
                                   {"timeoutMs", 1000},
                                   {"targetLatencyMs", 150},
                                   {"priority", 2},
                                   {"service", "desk-app"},
                                   {"maxAttempts", 2},
                                   {"resumable", false}}})},
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
  std::vector<std::unique_ptr<Server>> Service;
  const auto StartRunner = [&] {
    const int Number = static_cast<int>(Service.size());
    const std::string Id = "i-" + std::to_string(Number) + "x1";
    Service.push_back(std::make_unique<Server>(
        "127.0.74.100", Port + 1 + Number,
        [Id, &Log](const Message &Request, Wire &Back) {
          if (Request.target() == "/health")
            return Back.send(answer(200, "", "X-Instance-Id: " + Id + "\r\n"));
          if (Request.header("X-Expected-Instance") != Id)
            return Back.send(answer(421, "", "X-Instance-Id: " + Id + "\r\n"));
          const std::string Attempt = Request.header("X-Attempt-Id");
          Log.write("runner %s runs %s", Id.c_str(), Attempt.c_str());
          sleepFor(0.02);
          return Back.send(answer(200, "here it is",
                                  "X-Attempt-Id: " + Attempt +
                                      "\r\nX-Server-Signature: " + Id + "." +
                                      Attempt + "\r\n"));
        }));
    if (!Service.back()->start())
      throw std::runtime_error("a runner's port is taken");
    Platform.put("servers/" + Id,
                 Json{{"service", "desk-app"},
                      {"address",
                       "127.0.74.100:" + std::to_string(Port + 1 + Number)},
                      {"zone", "kl-a"},
                      {"version", "v1"},
                      {"slots", 6},
                      {"state", "ready"},
                      {"coldRemainingMs", 0},
                      {"sequenceNumber", 0}}
                     .dump());
    Log.write("runner %s starts", Id.c_str());
  };
  while (Service.size() + std::size(NextRunnerAt) < Runners)
    StartRunner();
  std::vector<std::unique_ptr<Machine>> System;
  for (int Each = 0; Each < Boxes; ++Each) {
    const bool IsLarge = Each < Large;
    System.push_back(std::make_unique<Machine>(Machine::Options{
        .Name = "frontend-" + std::to_string(10 + Each),
        .Zone = "kl-a",
        .Address = Hosts[static_cast<std::size_t>(Each)],
        .Folder = Folder,
        .Store = "127.0.74.100:" + std::to_string(Port),
        .FirstPort = Port,
        .Seeds = {Hosts[0] + ":" + std::to_string(Port + 2)},
        .Zones = {{"kl-a", "my-central"}},
        .Bounds = smallBounds(),
        .MemoryMb = IsLarge ? 512 : 160,
        .Cpu = IsLarge ? 0.5 : 0.12}));
    System.back()->start();
  }
  for (const double At : NextRunnerAt) {
    sleepFor(At - seconds());
    StartRunner();
  }
  sleepFor(LossAt - seconds());
  for (const auto &Each : System)
    if (!Each->ready() || ask(*Each, "first-" + Each->name()) != 200) {
      Log.write("%s doesn't serve", Each->name().c_str());
      return 2;
    }
  if (Trouble)
    for (int Each = 0; Each < Large; ++Each) {
      System[static_cast<std::size_t>(Each)]->kill(SIGKILL);
      Log.write("%s is lost", System[static_cast<std::size_t>(Each)]->name().c_str());
    }
  double Turn = RestartFrom;
  for (const int Each : Restarted) {
    sleepFor(Turn - seconds());
    Turn += RestartEvery;
    Machine &At = *System[static_cast<std::size_t>(Each)];
    At.kill(SIGTERM);
    Log.write("%s has ended after a SIGTERM", At.name().c_str());
    At.start();
  }
  sleepFor(AskFrom - seconds());
  struct Count {
    int Sent = 0, Ok = 0, Refused = 0, Ready = 0;
  };
  std::vector<Count> Counts(Boxes);
  for (int Round = 0; seconds() < AskUntil; ++Round) {
    const double Next = AskFrom + AskEvery * (Round + 1);
    std::vector<std::thread> AtOnce;
    for (int Each = Trouble ? Large : 0; Each < Boxes; ++Each)
      AtOnce.emplace_back([&, Each] {
        const Machine &At = *System[static_cast<std::size_t>(Each)];
        Count &Here = Counts[static_cast<std::size_t>(Each)];
        const std::string Id =
            "a" + std::to_string(Round) + "-" + std::to_string(Each);
        const int Status = ask(At, Id);
        ++Here.Sent;
        Here.Ok += Status == 200;
        Here.Refused += Status == 503;
        Here.Ready += At.ready();
        Log.write("client %s at %s -> %d", Id.c_str(), At.name().c_str(),
                  Status);
      });
    for (std::thread &Each : AtOnce)
      Each.join();
    sleepFor(Next - seconds());
  }
  int Deaf = 0, Left = 0;
  for (int Each = Trouble ? Large : 0; Each < Boxes; ++Each) {
    const Count &Here = Counts[static_cast<std::size_t>(Each)];
    ++Left;
    Deaf += Here.Ok == 0;
    Log.write("%s: %d sent, %d answered 200, %d refused with 503, ready %d times",
              System[static_cast<std::size_t>(Each)]->name().c_str(), Here.Sent,
              Here.Ok, Here.Refused, Here.Ready);
  }
  Log.write("%d machines of %d served nothing in %.0f s, with %d runners there",
            Deaf, Left, AskUntil - AskFrom, Runners);
  return Deaf > 0 ? 1 : 0;
}
