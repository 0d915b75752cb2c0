// No case, as no page says that clients ask for models that don't exist: one
// client names another one in each request.
#include "ModelRunner.h"

using namespace review;

namespace {

constexpr int Boxes = 3;
constexpr int Runners = 4;
/// As the platform limits the machines of kpc-ci.
constexpr int MemoryMb = 260;
constexpr double AskFrom = 12;
constexpr double Until = 100;
constexpr std::size_t NameBytes = 8000;

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  const bool Trouble = Arguments[3] == std::string("1");
  Record Log(Arguments[1]);
  std::vector<std::string> Hosts;
  for (int Each = 0; Each < Boxes; ++Each)
    Hosts.push_back("127.0.76." + std::to_string(1 + Each));
  const std::string Platform = "127.0.76.100";
  Hosts.push_back(Platform);
  const int Port = freePorts(Hosts);
  Store List(Platform, Port);
  if (!List.start())
    return 2;
  List.put("op/config", config().dump());
  std::vector<std::unique_ptr<ModelRunner>> Service;
  for (int Each = 0; Each < Runners; ++Each) {
    Service.push_back(std::make_unique<ModelRunner>(
        "i-" + std::to_string(Each) + "x1", Platform, Port + 1 + Each,
        std::set{modelName(2 * Each), modelName(2 * Each + 1)}, List, Log));
    if (!Service.back()->start())
      return 2;
  }
  std::vector<std::unique_ptr<Machine>> System;
  for (int Each = 0; Each < Boxes; ++Each) {
    System.push_back(std::make_unique<Machine>(Machine::Options{
        .Name = "frontend-" + std::to_string(1 + Each),
        .Zone = "kl-a",
        .Address = Hosts[static_cast<std::size_t>(Each)],
        .Folder = Arguments[2],
        .Store = Platform + ":" + std::to_string(Port),
        .FirstPort = Port,
        .Seeds = {Hosts[0] + ":" + std::to_string(Port + 2)},
        .Zones = {{"kl-a", "my-central"}},
        .Bounds = smallBounds(),
        .MemoryMb = MemoryMb}));
    System.back()->start();
  }
  sleepFor(AskFrom - seconds());
  for (const auto &Each : System)
    if (!Each->ready())
      return 2;
  std::atomic<bool> Ended{false};
  std::atomic<int> Asked{0}, Answered{0};
  std::vector<std::thread> Clients;
  for (int Each = 0; Each < 4; ++Each)
    Clients.emplace_back([&, Each] {
      std::unique_ptr<Wire> Kept;
      for (int Number = 0; !Ended; ++Number) {
        if (!Kept) {
          const int Fd = connectTo(Hosts[0], Port, 1);
          if (Fd < 0) {
            sleepFor(0.1);
            continue;
          }
          Kept = std::make_unique<Wire>(Fd);
        }
        const std::string Id =
            "c" + std::to_string(Each) + "-" + std::to_string(Number);
        std::string Model = modelName(Number % 8);
        if (Trouble)
          Model = Id + std::string(NameBytes - Id.size(), 'm');
        ++Asked;
        Message Answer;
        if (Kept->send("POST /gen/x HTTP/1.1\r\nHost: ci.example\r\n"
                       "X-Attempt-Id: " +
                       Id + "\r\nX-Model-Name: " + Model +
                       "\r\nX-Token-Counts: 800,40\r\n"
                       "X-Deadline-Remaining-Ms: 50\r\n"
                       "Content-Length: 2\r\n\r\nhi") &&
            Kept->read(Answer, 2)) {
          ++Answered;
          if (Number % 100 == 0)
            Log.write("client %s -> %d", Id.c_str(), Answer.status());
        } else
          Kept.reset();
      }
    });
  int Killed = 0;
  double Most = 0;
  while (seconds() < Until) {
    sleepFor(0.1);
    for (const auto &Each : System) {
      const double Now = Each->memoryMb();
      Most = std::max(Most, Now);
      if (Each->ended()) {
        Log.write("%s has ended by itself", Each->name().c_str());
        ++Killed;
      } else if (Now * 1e6 > MemoryMb * 1024.0 * 1024.0) {
        Log.write("%s has %.0f MB: the platform kills it", Each->name().c_str(),
                  Now);
        Each->kill(SIGKILL);
        ++Killed;
      }
    }
    if (static_cast<int>(seconds() * 10) % 50 == 0)
      Log.write("memory: %.0f %.0f %.0f MB", System[0]->memoryMb(),
                System[1]->memoryMb(), System[2]->memoryMb());
    if (Killed == Boxes)
      break;
  }
  Ended = true;
  for (std::thread &Each : Clients)
    Each.join();
  Log.write("%d requests, %d answered, at most %.0f MB, %d of %d machines "
            "ended",
            Asked.load(), Answered.load(), Most, Killed, Boxes);
  return Killed > 0 ? 1 : 0;
}
