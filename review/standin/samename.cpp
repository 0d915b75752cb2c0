// No case, as no page says that a replacement carries the name of the machine
// that it replaces: the machine that gives orders is replaced, and the new one
// has its `nodeName` and another address.
#include "ModelRunner.h"

using namespace review;

namespace {

constexpr int Boxes = 3;
constexpr int Runners = 4;
constexpr double FirstAt = 25;
constexpr double Every = 14;
constexpr int Times = 5;
constexpr double Until = FirstAt + Every * Times;

int ask(const std::string &Host, int Port, const std::string &Id,
        const std::string &Model) {
  const int Fd = connectTo(Host, Port, 1);
  if (Fd < 0)
    return 0;
  Wire Connection(Fd);
  Message Answer;
  return Connection.send(
             "POST /gen/x HTTP/1.1\r\nHost: ci.example\r\nX-Attempt-Id: " + Id +
             "\r\nX-Model-Name: " + Model +
             "\r\nX-Token-Counts: 800,40\r\nX-Deadline-Remaining-Ms: 5000\r\n"
             "Content-Length: 2\r\nConnection: close\r\n\r\nhi") &&
                 Connection.read(Answer, 6)
             ? Answer.status()
             : 0;
}

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  const bool Trouble = Arguments[3] == std::string("1");
  // For comparison: SAME_NAME=0 gives the new machine a name of its own.
  const char *Wanted = getenv("SAME_NAME");
  const bool SameName = Wanted == nullptr || Wanted != std::string("0");
  Record Log(Arguments[1]);
  std::vector<std::string> Hosts;
  for (int Each = 0; Each < Boxes + Times; ++Each)
    Hosts.push_back("127.0.75." + std::to_string(1 + Each));
  const std::string Platform = "127.0.75.100";
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
  std::mutex Mutex; // Of the machines and where clients find them.
  std::vector<std::unique_ptr<Machine>> System, Gone;
  int Addresses = 0;
  const auto NewMachine = [&](const std::string &Name) {
    return std::make_unique<Machine>(Machine::Options{
        .Name = Name,
        .Zone = "kl-a",
        .Address = Hosts[static_cast<std::size_t>(Addresses++)],
        .Folder = Arguments[2],
        .Store = Platform + ":" + std::to_string(Port),
        .FirstPort = Port,
        .Seeds = {Hosts[0] + ":" + std::to_string(Port + 2),
                  Hosts[1] + ":" + std::to_string(Port + 2),
                  Hosts[2] + ":" + std::to_string(Port + 2)},
        .Zones = {{"kl-a", "my-central"}},
        .Bounds = smallBounds()});
  };
  for (int Each = 0; Each < Boxes; ++Each) {
    System.push_back(NewMachine("frontend-" + std::to_string(1 + Each)));
    System.back()->start();
  }
  std::atomic<bool> Ended{false};
  std::thread Steps([&] {
    while (!Ended) {
      for (const auto &Each : Service)
        Each->step();
      sleepFor(0.05);
    }
  });
  std::atomic<int> Asked{0}, Served{0};
  std::vector<std::thread> Clients;
  for (int Each = 0; Each < 6; ++Each)
    Clients.emplace_back([&, Each] {
      unsigned Drawn = 977u * static_cast<unsigned>(Each + 1);
      sleepFor(8);
      for (int Number = 0; !Ended; ++Number) {
        Drawn = Drawn * 1103515245u + 12345u;
        std::string Host;
        {
          std::lock_guard Lock(Mutex);
          Host = System[(Drawn >> 16) % System.size()]->address();
        }
        // Three models are asked for, and others than 2 s before.
        Drawn = Drawn * 1103515245u + 12345u;
        const int Busy = static_cast<int>(seconds() / 2) * 3 % Models;
        const int Model = (Busy + static_cast<int>((Drawn >> 16) % 3)) % Models;
        const std::string Id =
            "c" + std::to_string(Each) + "-" + std::to_string(Number);
        ++Asked;
        const int Status = ask(Host, Port, Id, modelName(Model));
        Served += Status == 200;
        Log.write("client %s for %s -> %d", Id.c_str(),
                  modelName(Model).c_str(), Status);
        sleepFor(0.05);
      }
    });
  /// The name that the last order bore.
  const auto LastHolder = [&] {
    Order Last;
    for (const auto &Each : Service)
      for (const Order &Given : Each->orders())
        if (Given.At > Last.At)
          Last = Given;
    return Last.Holder;
  };
  struct Change {
    double At;
    std::string Name;
  };
  std::vector<Change> Changes;
  for (int Time = 0; Time < Times; ++Time) {
    sleepFor(FirstAt + Every * Time - seconds());
    const std::string Name = LastHolder();
    Log.write("the last order was of '%s'", Name.c_str());
    if (!Trouble)
      continue;
    for (auto &Each : System)
      if (Each->name() == Name) {
        auto Next = NewMachine(SameName ? Name : Name + "-next");
        // As in `replace_core`, planned: the new one first, then SIGTERM.
        Next->start();
        sleepFor(2);
        Changes.push_back({seconds(), Name});
        Log.write("%s at %s gets SIGTERM, %s is there", Name.c_str(),
                  Each->address().c_str(), Next->address().c_str());
        Each->signal(SIGTERM);
        std::lock_guard Lock(Mutex);
        Gone.push_back(std::move(Each));
        Each = std::move(Next);
        break;
      }
  }
  sleepFor(Until - seconds());
  Ended = true;
  for (std::thread &Each : Clients)
    Each.join();
  Steps.join();
  for (const auto &Each : Gone)
    Each->kill(SIGKILL);
  // A token belongs to one process, and a name's next token after its change to
  // the machine that came.
  int Turns = 0, Orders = 0;
  for (const auto &Each : Service) {
    const std::vector<Order> All = Each->orders();
    Orders += static_cast<int>(All.size());
    for (std::size_t At = 1; At < All.size(); ++At) {
      const Order &Before = All[At - 1], &Now = All[At];
      const bool Other =
          Before.Holder != Now.Holder ||
          std::any_of(Changes.begin(), Changes.end(),
                      [&](const Change &Between) {
                        return Before.Holder == Between.Name &&
                               Before.Token != Now.Token &&
                               Before.At < Between.At + 1 &&
                               Now.At > Between.At;
                      });
      if (!Other || Now.At - Before.At >= 3)
        continue;
      ++Turns;
      Log.write("runner %s: orders of two machines, named %s and %s, %.3f s apart, "
                "with the tokens %llu and %llu",
                Each->id().c_str(), Before.Holder.c_str(), Now.Holder.c_str(),
                Now.At - Before.At,
                static_cast<unsigned long long>(Before.Token),
                static_cast<unsigned long long>(Now.Token));
    }
  }
  Log.write("%d of %d requests served, %d orders, %d turns of two machines "
            "within 3 s, %zu replaced",
            Served.load(), Asked.load(), Orders, Turns, Changes.size());
  if (Orders < 20 || (Trouble && Changes.empty()))
    return 2;
  return Turns > 0 ? 1 : 0;
}
